//! Defragmentation: replicas are moved together, so that whole machines fall free.

use super::TaskKey;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::{Allocation, Machine};
use crate::resources::Resources;
use hopyoke_types::{MachineId, Micros};
use tracing::info;

/// Time between two searches for machines to drain.
const SEARCH_INTERVAL: Micros = Micros::from_secs(2);
/// Seconds for which earned move time is kept.
const MAX_EARNING_S: f64 = 20.0;
/// A deployment with fewer replicas earns move time as if it had this many: about a move a minute.
const MIN_EARNING_REPLICAS: u32 = 16;
/// Seconds added to the cost of one move in the budget's upper bound, for fetching an image.
const FETCH_ALLOWANCE_S: f64 = 30.0;
/// Download rate assumed at least, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 0.05;

/// Machines that may give away or take replicas, the emptiest first.
struct Hosts {
    /// Indices of their bins.
    bins: Vec<usize>,
    /// Room that is left on each when the moves decided so far are done.
    free: Vec<Resources>,
}

/// The move of one replica to another host.
struct ReplicaMove {
    machine: MachineId,
    task: TaskKey,
    /// Seconds for a checkpoint.
    grace_s: f64,
    /// Index of the host that it is expected to go to.
    target: usize,
    resources: Resources,
}

/// Moves of replicas off one machine.
struct Drain {
    /// Seconds that the replicas are away, in all.
    cost_s: f64,
    moves: Vec<ReplicaMove>,
}

impl Scheduler {
    /// Moves replicas off machines that hold little else than free room, to fuller ones: the machine can then hold a
    /// gang, or be scaled in. A move interrupts the replica, so a small share of all replicas' time is the bound for
    /// moves. (Moving replicas to drain a machine is allowed.)
    pub(super) fn defragment(&mut self, snapshot: &ClusterSnapshot, now: Micros) {
        self.earn_move_budget(snapshot, now);
        if now < self.defragmentation.next_at || self.is_reconciling() {
            return;
        }
        self.defragmentation.next_at = now + SEARCH_INTERVAL;
        let mut hosts = replica_hosts(snapshot);
        let mut moves = Vec::new();
        // Each search visits all hosts; machines that are not reached now are reached when others have been drained.
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
                // Nothing is moved to a machine that is being drained.
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

    /// Adds what replicas have earned since the last cycle to the seconds that moves may cost.
    fn earn_move_budget(&mut self, snapshot: &ClusterSnapshot, now: Micros) {
        let replicas: u32 = snapshot.bins.iter().map(|b| b.replicas).sum();
        let earned = f64::from(replicas.max(MIN_EARNING_REPLICAS))
            * self.tuning.move_share
            * (now - self.defragmentation.credited_at).as_secs_f64();
        self.defragmentation.credited_at = now;
        // The bound is enough for one move at least.
        let max = (f64::from(replicas) * self.tuning.move_share * MAX_EARNING_S)
            .max(self.tuning.move_cost.as_secs_f64() + FETCH_ALLOWANCE_S);
        self.defragmentation.budget_s = (self.defragmentation.budget_s + earned).min(max);
    }

    /// Finds another host for each of the replicas, until one has none; their room there is reserved in `hosts`.
    fn plan_drain(
        &self,
        source: usize,
        machine: &MachineId,
        replicas: Vec<TaskKey>,
        hosts: &mut Hosts,
        snapshot: &ClusterSnapshot,
    ) -> Drain {
        let source_zone = snapshot.bins[hosts.bins[source]].zone;
        let mut drain = Drain {
            cost_s: 0.0,
            moves: Vec::new(),
        };
        for task in replicas {
            let Some(mut request) = self.request(&task.0.job) else {
                break;
            };
            request.zones[source_zone] = request.zones[source_zone].saturating_sub(1);
            let fits = |i: usize| {
                let b = &snapshot.bins[hosts.bins[i]];
                request.task.fits_in(&hosts.free[i])
                    && self.passes_filters(&request, b)
                    && request.zone_allows(b.zone)
            };
            let has_image =
                |i: &usize| snapshot.has_image(&snapshot.bins[hosts.bins[*i]], request.image);
            // The fullest first. Each drained machine is one machine less, so that this comes to an end.
            let fuller = || (source + 1..hosts.bins.len()).rev();
            let Some(target) = fuller()
                .filter(has_image)
                .find(|&i| fits(i))
                .or_else(|| fuller().find(|&i| fits(i)))
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
            hosts.free[target] = hosts.free[target] - request.task;
            drain.moves.push(ReplicaMove {
                machine: machine.clone(),
                task,
                grace_s: request.spec.checkpoint_save_s,
                target,
                resources: request.task,
            });
        }
        drain
    }

    /// The replicas whose leaving would empty a machine, if it holds nothing else and all of them have run for a while.
    fn drainable_replicas(&self, m: &Machine, now: Micros) -> Option<Vec<TaskKey>> {
        let min_run = self.tuning.move_settled;
        let load = m.cached_load()?;
        if load.live == 0 || load.live != load.replicas {
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

/// Ready machines with replicas and free room, the emptiest first.
fn replica_hosts(snapshot: &ClusterSnapshot) -> Hosts {
    let usage = |b: &Bin| {
        let total = snapshot.type_resources[b.type_index];
        1.0 - (b.free.gpus + b.free.cpus) / (total.gpus + total.cpus)
    };
    let has_room = |b: &Bin| {
        let has_gpus = snapshot.type_resources[b.type_index].gpus != 0.0;
        b.free.gpus > 0.0 || !has_gpus && b.free.cpus > 0.0
    };
    let mut by_usage: Vec<(f64, usize)> = snapshot
        .bins
        .iter()
        .enumerate()
        .filter(|(_, b)| b.ready && b.replicas > 0 && has_room(b))
        .map(|(i, b)| (usage(b), i))
        .collect();
    by_usage.sort_by(|a, b| a.0.total_cmp(&b.0));
    let bins: Vec<usize> = by_usage.into_iter().map(|(_, bin)| bin).collect();
    Hosts {
        free: bins.iter().map(|&bin| snapshot.bins[bin].free).collect(),
        bins,
    }
}
