//! Defragmentation: migrates service replicas together so that whole machines become free.

use super::AttemptKey;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::{Allocation, Machine};
use crate::resources::Resources;
use hopyoke_types::{MachineId, Micros};
use tracing::info;

/// Interval between searches for machines to drain.
const SEARCH_INTERVAL: Micros = Micros::from_secs(2);
/// Maximum accrual time of the move budget, in seconds.
const MAX_ACCRUAL_S: f64 = 20.0;
/// Minimum number of replicas for which the move budget accrues, so that small deployments can
/// afford about one move a minute.
const MIN_ACCRUAL_REPLICAS: u32 = 16;
/// Allowance in seconds for fetching an image, added to the budget's upper bound.
const FETCH_ALLOWANCE_S: f64 = 30.0;
/// Lower bound on the assumed image download rate, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.05;

/// Machines that replicas may be moved off or onto, sorted by ascending utilization.
struct ReplicaHosts {
    /// Indices of the machines' bins in the snapshot.
    bins: Vec<usize>,
    /// Free resources of each host once the moves planned so far are done.
    free: Vec<Resources>,
}

/// A planned migration of one replica to another host.
struct ReplicaMove {
    machine: MachineId,
    task: AttemptKey,
    /// Grace period for writing a checkpoint, in seconds.
    grace_s: f64,
    /// Index in [`ReplicaHosts`] of the host that the replica is expected to move to.
    target: usize,
    resources: Resources,
}

/// The migrations that would empty one machine.
struct DrainPlan {
    /// Total expected downtime of the replicas, in seconds.
    cost_s: f64,
    moves: Vec<ReplicaMove>,
}

impl Scheduler {
    /// Migrates replicas off underutilized machines to fuller ones, so that the emptied machines
    /// can hold a gang or be scaled in.
    ///
    /// Draining a machine is a permitted reason to interrupt a replica. The downtime is limited to a
    /// small share (`move_share`) of the run time of all replicas.
    pub(super) fn defragment(&mut self, snapshot: &ClusterSnapshot, now: Micros) {
        self.accrue_move_budget(snapshot, now);
        if now < self.defragmentation.next_at || self.is_reconciling() {
            return;
        }
        self.defragmentation.next_at = now + SEARCH_INTERVAL;
        let mut hosts = replica_hosts(snapshot);
        let mut moves = Vec::new();
        // A search visits every host, so the number of searches is limited. Hosts beyond the limit
        // are considered once emptier ones have been drained.
        for source in 0..hosts.bins.len().min(self.tuning.drain_looks) {
            let bin = &snapshot.bins[hosts.bins[source]];
            let machine = bin.machine.as_ref();
            let Some(m) = machine.and_then(|id| self.machines.get(id)) else {
                continue;
            };
            self.add_visited(hosts.bins.len());
            let Some(replicas) = self.drainable_replicas(m, now) else {
                continue;
            };
            let drain = self.plan_drain(source, &m.id, replicas, &mut hosts, snapshot);
            if drain.moves.len() as u32 == bin.replicas
                && drain.cost_s <= self.defragmentation.budget_s
            {
                self.defragmentation.budget_s -= drain.cost_s;
                // A machine that is being drained is no target for later moves.
                hosts.free[source] = Resources::default();
                moves.extend(drain.moves);
            } else {
                for m in drain.moves {
                    hosts.free[m.target] = hosts.free[m.target] + m.resources;
                }
            }
        }
        for m in moves {
            let (task, attempt) = m.task;
            info!(machine = %m.machine, task = %task, "moving replica to drain machine");
            self.stop_allocation(&m.machine, &task.job, task.index, attempt, m.grace_s);
        }
    }

    /// Credits the move budget for the time since the previous cycle.
    fn accrue_move_budget(&mut self, snapshot: &ClusterSnapshot, now: Micros) {
        let replicas: u32 = snapshot.bins.iter().map(|b| b.replicas).sum();
        let accrued = f64::from(replicas.max(MIN_ACCRUAL_REPLICAS))
            * self.tuning.move_share
            * (now - self.defragmentation.credited_at).as_secs_f64();
        self.defragmentation.credited_at = now;
        // The cap always leaves enough for one move.
        let max = (f64::from(replicas) * self.tuning.move_share * MAX_ACCRUAL_S)
            .max(self.tuning.move_cost.as_secs_f64() + FETCH_ALLOWANCE_S);
        self.defragmentation.budget_s = (self.defragmentation.budget_s + accrued).min(max);
    }

    /// Selects another host for each replica and reserves its resources there in `hosts`.
    ///
    /// Stops at the first replica that fits no host; the returned plan is then incomplete, and the
    /// caller must release its reservations.
    fn plan_drain(
        &self,
        source: usize,
        machine: &MachineId,
        replicas: Vec<AttemptKey>,
        hosts: &mut ReplicaHosts,
        snapshot: &ClusterSnapshot,
    ) -> DrainPlan {
        let source_zone = snapshot.bins[hosts.bins[source]].zone;
        let mut drain = DrainPlan {
            cost_s: 0.0,
            moves: Vec::new(),
        };
        for task in replicas {
            let Some(mut request) = self.placement_request(&task.0.job) else {
                break;
            };
            request.tasks_by_zone[source_zone] =
                request.tasks_by_zone[source_zone].saturating_sub(1);
            let fits = |i: usize| {
                let b = &snapshot.bins[hosts.bins[i]];
                request.task_resources.fits_in(&hosts.free[i])
                    && self.passes_filters(&request, b)
                    && request.zone_allows(b.zone)
            };
            let has_image =
                |i: &usize| snapshot.has_image(&snapshot.bins[hosts.bins[*i]], request.image);
            // Only fuller hosts are targets, the fullest first. Every drain thus empties one more
            // machine, and defragmentation terminates.
            let fuller_hosts = || (source + 1..hosts.bins.len()).rev();
            let Some(target) = fuller_hosts()
                .filter(has_image)
                .find(|&i| fits(i))
                .or_else(|| fuller_hosts().find(|&i| fits(i)))
            else {
                break;
            };
            let target_type = &self.types[snapshot.bins[hosts.bins[target]].type_index];
            drain.cost_s += self.tuning.move_cost.as_secs_f64()
                + if has_image(&target) {
                    0.0
                } else {
                    request.spec.image_gb / target_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
                };
            hosts.free[target] = hosts.free[target] - request.task_resources;
            drain.moves.push(ReplicaMove {
                machine: machine.clone(),
                task,
                grace_s: request.spec.checkpoint_save_s,
                target,
                resources: request.task_resources,
            });
        }
        drain
    }

    /// Returns the live replicas of a machine if draining them would empty it.
    ///
    /// Returns `None` if the machine has other live attempts or none at all, or if a replica is
    /// being stopped or has not run for `move_settled`.
    fn drainable_replicas(&self, m: &Machine, now: Micros) -> Option<Vec<AttemptKey>> {
        let min_run = self.tuning.move_settled;
        let load = m.cached_load()?;
        if load.live_attempts == 0 || load.live_attempts != load.service_replicas {
            return None;
        }
        let may_move = |s: &Allocation| {
            s.stop.is_none() && s.running_since.is_some_and(|t| now >= t + min_run)
        };
        let live = || m.allocations().iter().filter(|(_, s)| s.is_live());
        live()
            .all(|(_, s)| may_move(s))
            .then(|| live().map(|(k, _)| k.clone()).collect())
    }
}

/// Returns the ready machines with replicas and free resources, sorted by ascending utilization.
fn replica_hosts(snapshot: &ClusterSnapshot) -> ReplicaHosts {
    let utilization = |b: &Bin| {
        let total = snapshot.type_resources[b.type_index];
        1.0 - (b.free.gpus + b.free.cpus) / (total.gpus + total.cpus)
    };
    let has_free_capacity = |b: &Bin| {
        let has_gpus = snapshot.type_resources[b.type_index].gpus != 0.0;
        b.free.gpus > 0.0 || !has_gpus && b.free.cpus > 0.0
    };
    let mut by_utilization: Vec<(f64, usize)> = snapshot
        .bins
        .iter()
        .enumerate()
        .filter(|(_, b)| b.ready && b.replicas > 0 && has_free_capacity(b))
        .map(|(i, b)| (utilization(b), i))
        .collect();
    by_utilization.sort_by(|a, b| a.0.total_cmp(&b.0));
    let bins: Vec<usize> = by_utilization.into_iter().map(|(_, bin)| bin).collect();
    ReplicaHosts {
        free: bins.iter().map(|&bin| snapshot.bins[bin].free).collect(),
        bins,
    }
}
