//! Gang scheduling: places all tasks of a gang at once, or reserves machines until that is
//! possible.

use super::Binding;
use super::request::PlacementRequest;
use super::snapshot::{BinState, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::{Job, WaitReason};
use crate::reconcile::restart_check::RestartDecision;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_types::{JobId, Micros};
use std::cmp::Reverse;
use tracing::debug;

/// Number of a gang's tasks that fit into one zone.
#[derive(Clone, Copy, Default)]
struct ZoneCapacity {
    /// Tasks that fit onto ready machines.
    ready: u32,
    total: u32,
    /// Tasks that fit onto ready machines that have the image.
    ready_with_image: u32,
}

/// A machine that can be reserved for a gang.
#[derive(Clone, Copy)]
struct GangHost {
    /// Tasks that fit into its free resources.
    free_tasks: u32,
    /// Tasks that fit into its total resources.
    total_tasks: u32,
    bin: usize,
}

/// A set of machines selected for a gang.
struct GangHostSet {
    /// Tasks that fit into their total resources, at most the gang's size.
    total_tasks: u32,
    /// Tasks that fit into their free resources.
    free_tasks: u32,
    bins: Vec<usize>,
}

/// The snapshot's state before an attempt to reserve resources for a gang, used to roll back.
struct Savepoint {
    bins: usize,
    open_bins: usize,
    demand: Vec<u32>,
    /// Modified bins with their previous states, in order of modification.
    changed: Vec<(usize, BinState)>,
}

impl Savepoint {
    fn new(snapshot: &ClusterSnapshot) -> Savepoint {
        Savepoint {
            bins: snapshot.bins.len(),
            open_bins: snapshot.open_bins.len(),
            demand: snapshot.demand.clone(),
            changed: Vec::new(),
        }
    }

    fn undo(self, snapshot: &mut ClusterSnapshot) {
        for (bin, state) in self.changed.into_iter().rev() {
            snapshot.bins[bin].restore(state);
        }
        snapshot.bins.truncate(self.bins);
        snapshot.open_bins.truncate(self.open_bins);
        snapshot.demand = self.demand;
    }
}

impl Scheduler {
    /// Places all tasks of a gang at once, or the missing tasks of a gang that is bound but has not
    /// started.
    ///
    /// Returns the reason why the gang still waits, or `None` if it doesn't.
    pub(super) fn place_gang(
        &mut self,
        id: &JobId,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> Option<WaitReason> {
        let (Some(request), Some(job)) = (self.placement_request(id), self.jobs.get(id)) else {
            return None;
        };
        let missing: Vec<u32> = (0..job.spec.tasks)
            .filter(|i| !job.attempts.contains_key(i))
            .collect();
        if missing.is_empty() || job.is_done() {
            return None;
        }
        let is_new = missing.len() == job.spec.tasks as usize;
        if let Some(reason) = self.gang_block_reason(job, &missing, is_new) {
            return Some(reason);
        }
        let count = missing.len() as u32;
        if !snapshot.charge(&request, count, &self.cfg.teams) {
            if snapshot.reservations_enabled && !request.is_crash_looping {
                self.reserve_quota(&request, snapshot, count);
            }
            return Some(WaitReason::TeamLimit);
        }
        // A crash-looping gang neither requests instances nor reserves machines.
        let offers = request
            .is_crash_looping
            .then(|| std::mem::take(&mut snapshot.offers));
        let chosen = self.reserve_gang(&request, snapshot, count);
        if let Some(offers) = offers {
            snapshot.offers = offers;
        }
        let Some(bins) = chosen else {
            snapshot.refund(&request, count);
            if snapshot.reservations_enabled && !request.is_crash_looping {
                self.reserve_machines(&request, snapshot, count, now);
            }
            return Some(WaitReason::Machines);
        };
        if !bins.iter().all(|&b| snapshot.bins[b].ready) {
            if !snapshot.reservations_enabled {
                snapshot.release_ready(&request, &bins);
            }
            return Some(WaitReason::Provisioning);
        }
        self.start_gang(&request, missing, &bins, is_new, snapshot, now);
        None
    }

    /// Returns the reason why the gang must not be placed now, irrespective of free resources.
    fn gang_block_reason(&self, job: &Job, missing: &[u32], is_new: bool) -> Option<WaitReason> {
        // No new attempt is placed until all tasks of the previous one have exited.
        if job.gang_failing || (job.gang_started && !is_new) {
            return Some(WaitReason::PreviousAttempt);
        }
        missing
            .iter()
            .any(|&i| self.restart_decision(job, i) != RestartDecision::Restart)
            .then_some(WaitReason::Reconciliation)
    }

    /// Binds the missing tasks to their machines.
    ///
    /// A new gang gets a new attempt. The job record must name this attempt before any of its tasks
    /// is commanded to start.
    fn start_gang(
        &mut self,
        request: &PlacementRequest,
        missing: Vec<u32>,
        bins: &[usize],
        is_new: bool,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        let id = &request.id;
        let Some(previous) = self.jobs.get(id).map(|job| job.start_attempt) else {
            return;
        };
        let attempt = if is_new {
            self.new_attempt(now)
        } else {
            previous
        };
        if is_new && let Some(job) = self.jobs.get_mut(id) {
            job.start_attempt = attempt;
            job.gang_started = false;
            let waited_ms = (now - job.first_seen_at).as_millis();
            let (class, tasks, waited_for) = (
                &job.spec.class,
                job.spec.tasks,
                job.last_wait_reason.map_or("", WaitReason::as_str),
            );
            let warm = bins
                .iter()
                .filter(|b| snapshot.had_image_before_cycle(&snapshot.bins[**b], request.image))
                .count();
            debug!(job = %id, class, tasks, waited_ms, waited_for, warm, first = previous.0 == 0, "gang bound to machines");
            self.writes.mark_dirty(id);
        }
        for (index, &bin) in missing.into_iter().zip(bins) {
            if let Some(machine) = snapshot.bins[bin].machine.clone() {
                let has_image = snapshot.had_image_before_cycle(&snapshot.bins[bin], request.image);
                snapshot.bindings.push(Binding {
                    job: id.clone(),
                    index,
                    machine,
                    attempt,
                    has_image,
                });
            }
        }
    }

    /// Reserves resources for `count` tasks at once, within a single zone if the job requires it.
    ///
    /// Resources on machines that are not ready yet are reserved too, so that no other job takes them.
    /// Returns `None` and leaves the snapshot unchanged if the tasks don't all fit.
    fn reserve_gang(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
    ) -> Option<Vec<usize>> {
        let zones: Vec<Option<usize>> = if request.spec.one_zone {
            let zones = self.zones_by_capacity(request, snapshot, count);
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        zones
            .into_iter()
            .find_map(|zone| self.reserve_gang_in(zone, request, snapshot, count))
    }

    /// Returns the zones in the order in which a single-zone gang tries them.
    ///
    /// Zones where all tasks can start now come first. Among these, zones with more tasks on
    /// machines that have the image are preferred, as a gang starts only when its last task has
    /// fetched the image.
    fn zones_by_capacity(
        &self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
        count: u32,
    ) -> Vec<usize> {
        let mut zone_capacities = vec![ZoneCapacity::default(); self.cfg.zones.len()];
        for &i in &snapshot.open_bins {
            let b = &snapshot.bins[i];
            let Some(capacity) = zone_capacities.get_mut(b.zone) else {
                continue;
            };
            let tasks = b.free.max_tasks(&request.task_resources);
            if tasks > 0 && self.passes_filters(request, b) {
                capacity.total += tasks;
                if b.ready {
                    capacity.ready += tasks;
                    if snapshot.has_image(b, request.image) {
                        capacity.ready_with_image += tasks;
                    }
                }
            }
        }
        let mut zones: Vec<usize> = (0..zone_capacities.len()).collect();
        zones.sort_by_key(|&z| {
            let capacity = zone_capacities[z];
            Reverse((
                capacity.ready.min(count),
                capacity.total.min(count),
                capacity.ready_with_image.min(count),
            ))
        });
        zones
    }

    /// Reserves resources for `count` tasks at once, restricted to `zone` if given.
    ///
    /// Returns one bin per task. Returns `None` and leaves the snapshot unchanged if the tasks
    /// don't all fit.
    fn reserve_gang_in(
        &self,
        zone: Option<usize>,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
    ) -> Option<Vec<usize>> {
        let mut reserving = request.clone();
        let mut candidates = self.candidates(request, snapshot, zone);
        let mut reserved: Vec<usize> = Vec::new();
        let mut savepoint = Savepoint::new(snapshot);
        for remaining in (1..=count).rev() {
            let found = candidates
                .best(&reserving, snapshot, |b| snapshot.score(&reserving, b))
                .or_else(|| {
                    let new = snapshot.reserve_new_instance(&reserving, zone, remaining)?;
                    candidates.put_first(new, snapshot.bins[new].zone);
                    Some(new)
                });
            let Some(bin) = found else { break };
            if bin < savepoint.bins {
                savepoint.changed.push((bin, snapshot.bins[bin].state()));
            }
            snapshot.reserve(bin, &mut reserving);
            reserved.push(bin);
        }
        if reserved.len() == count as usize {
            return Some(reserved);
        }
        savepoint.undo(snapshot);
        None
    }

    /// Reserves quota for a gang that exceeds its team's remaining limit, by charging it to the
    /// team for the rest of the cycle.
    ///
    /// Without this, single tasks take each part of the limit as it is released, and a gang that
    /// needs much of the limit never starts. Nothing is reserved if the team's services, which
    /// don't end, leave too little of the limit for the gang. Only cycles with reservations call
    /// this. (Scenario `largest_begin`.)
    fn reserve_quota(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
    ) {
        let Some(team) = request.team else { return };
        self.add_visited(self.jobs.len());
        let is_service_of_team =
            |spec: &JobSpec| spec.kind == JobKind::Service && spec.team == request.spec.team;
        let services = self.jobs.values().filter(|j| is_service_of_team(&j.spec));
        let services = services.fold(Resources::default(), |sum, j| {
            sum + j.task_resources.times(j.attempts.len() as f64)
        });
        let gang = request.task_resources.times(f64::from(count));
        if self.cfg.teams[team].is_within_limit(&(services + gang)) {
            snapshot.team_usage[team] = snapshot.team_usage[team] + gang;
        }
    }

    /// Reserves machines for a gang that fits nowhere, within a single zone if the job requires it.
    ///
    /// Without this, single tasks take all resources as they are released, and gangs starve.
    /// Machines with replicas are excluded because replicas are long-running; those with the most
    /// free resources come first.
    fn reserve_machines(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
        now: Micros,
    ) {
        if snapshot.gang_reservations >= self.tuning.gang_reservations {
            return;
        }
        snapshot.gang_reservations += 1;
        self.add_visited(snapshot.bins.len());
        let mut best: Option<GangHostSet> = None;
        for hosts in self.gang_hosts(request, snapshot) {
            let hosts = select_hosts(hosts, count);
            if best.as_ref().is_none_or(|b| {
                (hosts.total_tasks, hosts.free_tasks) > (b.total_tasks, b.free_tasks)
            }) {
                best = Some(hosts);
            }
        }
        if let Some(hosts) = best
            && hosts.total_tasks >= count
        {
            if self.tuning.use_for_backfill {
                self.allow_backfill(&hosts.bins, snapshot, now);
            }
            for bin in hosts.bins {
                snapshot.bins[bin].reserved = true;
                snapshot.bins[bin].free = Resources::default();
            }
        }
    }

    /// Returns the machines that can be reserved for a gang: one list per zone if it must run in a
    /// single zone, otherwise one list.
    fn gang_hosts(
        &self,
        request: &PlacementRequest,
        snapshot: &ClusterSnapshot,
    ) -> Vec<Vec<GangHost>> {
        let capacities: Vec<u32> = snapshot
            .type_resources
            .iter()
            .map(|capacity| capacity.max_tasks(&request.task_resources))
            .collect();
        let zones = if request.spec.one_zone {
            self.cfg.zones.len() + 1
        } else {
            1
        };
        let mut hosts: Vec<Vec<GangHost>> = vec![Vec::new(); zones];
        for (bin, b) in snapshot.bins.iter().enumerate() {
            let total_tasks = capacities[b.type_index];
            if b.replicas == 0 && total_tasks > 0 && self.passes_filters(request, b) {
                hosts[b.zone.min(zones - 1)].push(GangHost {
                    free_tasks: b.free.max_tasks(&request.task_resources),
                    total_tasks,
                    bin,
                });
            }
        }
        hosts
    }
}

/// Selects the hosts with the most free resources until `count` tasks fit into their total
/// resources. Selects all hosts if they don't suffice.
fn select_hosts(mut hosts: Vec<GangHost>, count: u32) -> GangHostSet {
    hosts.sort_unstable_by_key(|h| Reverse((h.free_tasks, h.total_tasks)));
    let mut chosen = GangHostSet {
        total_tasks: 0,
        free_tasks: 0,
        bins: Vec::new(),
    };
    for host in hosts {
        if chosen.total_tasks >= count {
            break;
        }
        chosen.total_tasks += host.total_tasks;
        chosen.free_tasks += host.free_tasks;
        chosen.bins.push(host.bin);
    }
    chosen.total_tasks = chosen.total_tasks.min(count);
    chosen
}
