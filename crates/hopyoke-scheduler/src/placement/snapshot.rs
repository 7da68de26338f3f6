//! Snapshot of the cluster for one placement cycle: machines as bins, instance offers and team
//! usage.
//!
//! A cycle makes its reservations in the snapshot. The ledger changes only when tasks are bound.

use super::queue::QueueItem;
use super::request::PlacementRequest;
use super::{AttemptKey, Binding};
use crate::Scheduler;
use crate::autoscale::provisioning::ProvisioningState;
use crate::autoscale::scale_out::{Demand, Offer};
use crate::ledger::{ImageKey, Machine, MachinePhase};
use crate::placement::sole_choice::SoleChoiceTypes;
use crate::resources::{Resources, Team};
use hopyoke_protocol::user::JobKind;
use hopyoke_types::{JobId, MachineId, Micros};
use std::collections::BTreeMap;
use std::ops::Range;
use tracing::debug;

/// Maximum number of attempts per machine, including ended ones.
///
/// An agent lists each attempt in about 90 characters until its end is recorded, and a heartbeat is
/// limited to 64 KiB. Guards against heartbeats that every node rejects as too large, which would
/// let the machine's lease expire: large machines with many tiny tasks. (Scenario `tiny_tasks`.)
const MAX_REPORTED_ATTEMPTS: usize = 560;

/// A machine, or an instance that is yet to be requested.
pub(super) struct Bin {
    /// The machine's id. `None` for an instance that has not been requested or confirmed yet.
    pub(super) machine: Option<MachineId>,
    /// Whether tasks can be started on it now.
    pub(super) ready: bool,
    /// Index of its type in the catalog.
    pub(super) type_index: usize,
    /// Index of its zone in the settings. An unknown zone has the index after the last one.
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) free: Resources,
    /// Whether it has no live attempt.
    pub(super) empty: bool,
    /// Number of further attempts that its agent's heartbeat can list.
    pub(super) heartbeat_capacity: usize,
    /// Number of service replicas on it.
    pub(super) replicas: u32,
    /// Resources of attempts that are being stopped immediately.
    pub(super) freeing: Resources,
    /// Resources of attempts that production work may preempt.
    pub(super) preemptible: Resources,
    /// Range of its images in [`ClusterSnapshot::images`].
    pub(super) images: Range<usize>,
    /// Image of the latest task that this cycle placed on it.
    pub(super) last_image: Option<ImageKey>,
    /// Whether tasks of some job failed on it.
    pub(super) has_failures: bool,
    /// Whether its lease expired in a partitioned zone. It may come back, but production work
    /// doesn't wait for it.
    pub(super) partitioned: bool,
    /// Whether this cycle relies on it, so that it must not be scaled in.
    pub(super) reserved: bool,
    /// Resources reserved for a gang that short tasks may use in the meantime.
    pub(super) backfill_capacity: Option<BackfillCapacity>,
}

/// Resources reserved for a gang that can't start yet.
#[derive(Clone, Copy)]
pub(super) struct BackfillCapacity {
    pub(super) free: Resources,
    /// Seconds until all machines of the gang are expected to be free.
    pub(super) available_s: f64,
}

/// A machine type that the cloud offers in one zone, as spot or on-demand instance.
pub(super) struct InstanceOffer {
    pub(super) offer: Offer,
    /// Index of its type in the catalog.
    pub(super) type_index: usize,
    /// Index of its zone in the settings.
    pub(super) zone: usize,
    pub(super) spot: bool,
    /// Price, increased by the zone's share of the fleet and by the type's boot time.
    pub(super) cost: f64,
}

/// Resources that running tasks are expected to free before a new instance would be ready.
pub(super) struct ExpectedCapacity {
    pub(super) type_index: usize,
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) resources: Resources,
}

/// The first task of a starving array, placed ahead of the array's regular position.
#[derive(Clone, Copy)]
pub(super) struct EarlyStart {
    pub(super) index: u32,
    pub(super) zone: usize,
}

/// The cluster during one cycle, including the cycle's reservations and results.
pub(super) struct ClusterSnapshot {
    pub(super) bins: Vec<Bin>,
    /// Indices of bins that fit the smallest waiting task, and of all bins added during the cycle.
    pub(super) open_bins: Vec<usize>,
    /// Images of all machines; see [`Bin::images`].
    pub(super) images: Vec<ImageKey>,
    /// Total resources of a machine of each catalog type.
    pub(super) type_resources: Vec<Resources>,
    pub(super) offers: Vec<InstanceOffer>,
    /// Number of instances to request, by index in `offers`.
    pub(super) demand: Vec<u32>,
    /// Resources charged to each team, by index in the settings.
    pub(super) team_usage: Vec<Resources>,
    /// Whether some live allocation is orphaned, that is, its job is not in the ledger.
    pub(super) has_orphans: bool,
    /// Whether this cycle reserves resources for gangs; see [`super::reservation::Reservations`].
    pub(super) reservations_enabled: bool,
    pub(super) bindings: Vec<Binding>,
    pub(super) early_starts: BTreeMap<JobId, EarlyStart>,
    /// Attempts to be preempted for production work.
    pub(super) victims: Vec<(MachineId, AttemptKey)>,
    /// Number of gangs for which this cycle has reserved machines or searched for them.
    pub(super) gang_reservations: usize,
    /// Number of preemption searches so far.
    pub(super) preempt_searches: usize,
    /// Indices of bins with backfill capacity.
    pub(super) backfill_bins: Vec<usize>,
    /// Resources expected to be freed. `None` until first needed.
    pub(super) expected_capacity: Option<Vec<ExpectedCapacity>>,
    pub(super) sole_choice_types: SoleChoiceTypes,
}

/// The fields of a bin that a reservation modifies; see [`Bin::restore`].
pub(super) struct BinState {
    free: Resources,
    empty: bool,
    heartbeat_capacity: usize,
    replicas: u32,
    last_image: Option<ImageKey>,
    reserved: bool,
}

/// Totals over a set of machines, for the log of fleet usage.
#[derive(Default)]
struct FleetUsage {
    machines: u32,
    gpus: f64,
    free_gpus: f64,
}

impl Bin {
    /// Returns a bin for an instance that has not been provisioned yet, with all resources free.
    pub(super) fn requested(type_index: usize, zone: usize, spot: bool, total: Resources) -> Bin {
        Bin {
            machine: None,
            ready: false,
            type_index,
            zone,
            spot,
            free: total,
            empty: true,
            heartbeat_capacity: MAX_REPORTED_ATTEMPTS,
            replicas: 0,
            freeing: Resources::default(),
            preemptible: Resources::default(),
            images: 0..0,
            last_image: None,
            has_failures: false,
            partitioned: false,
            reserved: false,
            backfill_capacity: None,
        }
    }

    /// Returns the fields that a reservation modifies, to undo it later.
    pub(super) fn state(&self) -> BinState {
        BinState {
            free: self.free,
            empty: self.empty,
            heartbeat_capacity: self.heartbeat_capacity,
            replicas: self.replicas,
            last_image: self.last_image,
            reserved: self.reserved,
        }
    }

    /// Undoes the reservations made since `state` was taken.
    pub(super) fn restore(&mut self, state: BinState) {
        self.free = state.free;
        self.empty = state.empty;
        self.heartbeat_capacity = state.heartbeat_capacity;
        self.replicas = state.replicas;
        self.last_image = state.last_image;
        self.reserved = state.reserved;
    }
}

impl ClusterSnapshot {
    /// Returns whether the machine has the image or is fetching it, including for tasks placed in
    /// this cycle.
    pub(super) fn has_image(&self, bin: &Bin, image: ImageKey) -> bool {
        bin.last_image == Some(image) || self.had_image_before_cycle(bin, image)
    }

    /// Returns whether the machine had the image or was fetching it before this cycle.
    pub(super) fn had_image_before_cycle(&self, bin: &Bin, image: ImageKey) -> bool {
        self.images[bin.images.clone()].contains(&image)
    }

    /// Scores a bin for a task of the job; higher is better.
    pub(super) fn score(&self, request: &PlacementRequest, bin: &Bin) -> f64 {
        let mut score = 0.0;
        if bin.ready {
            score += 1000.0;
        }
        if self.has_image(bin, request.image) {
            score += 100.0;
        }
        // Leaves on-demand machines to work that must not run on spot machines.
        if bin.spot {
            score += 50.0;
        }
        if !bin.empty {
            score += 20.0;
        }
        // Leaves types that are the only choice of other work to that work.
        if self
            .sole_choice_types
            .should_avoid(bin.type_index, request.eligible_type_count)
        {
            score -= 60.0;
        }
        if request.spec.kind == JobKind::Service {
            // Replicas are long-running. Packing them together keeps whole machines free for gangs
            // and scale-in; spreading a job's replicas over zones limits the effect of a zone
            // failure.
            if bin.replicas > 0 {
                score += 70.0;
            }
            score -= 30.0 * f64::from(request.tasks_by_zone[bin.zone]);
        }
        // Best fit: prefers the least resources left over.
        score
            - (bin.free.gpus - request.task_resources.gpus)
            - (bin.free.cpus - request.task_resources.cpus) / 16.0
    }

    /// Logs fleet usage as it will be once this cycle's tasks run, to show capacity that is paid
    /// for but idle.
    pub(super) fn log_usage(&self) {
        let sum = |filter: &dyn Fn(&&Bin) -> bool| {
            let bins = self.bins.iter().filter(filter);
            bins.fold(FleetUsage::default(), |sum, b| FleetUsage {
                machines: sum.machines + 1,
                gpus: sum.gpus + self.type_resources[b.type_index].gpus,
                free_gpus: sum.free_gpus + b.free.gpus,
            })
        };
        let (ready, idle) = (sum(&|b| b.ready), sum(&|b| b.ready && b.empty));
        let provisioning = sum(&|b| !b.ready && b.machine.is_some());
        let planned = sum(&|b| b.machine.is_none());
        debug!(
            ready = ready.machines,
            ready_gpus = ready.gpus,
            ready_free = ready.free_gpus,
            idle = idle.machines,
            idle_gpus = idle.gpus,
            provisioning = provisioning.machines,
            provisioning_gpus = provisioning.gpus,
            provisioning_free = provisioning.free_gpus,
            planned = planned.machines,
            planned_gpus = planned.gpus,
            planned_free = planned.free_gpus,
            "fleet usage"
        );
    }

    /// Charges `count` tasks to their team. Returns false and charges nothing if this exceeds the
    /// team's limit or the team is unknown.
    pub(super) fn charge(
        &mut self,
        request: &PlacementRequest,
        count: u32,
        teams: &[Team],
    ) -> bool {
        let Some(team) = request.team else {
            return false;
        };
        let sum = self.team_usage[team] + request.task_resources.times(f64::from(count));
        if !teams[team].is_within_limit(&sum) {
            return false;
        }
        self.team_usage[team] = sum;
        true
    }

    /// Reverts a charge of `count` tasks.
    pub(super) fn refund(&mut self, request: &PlacementRequest, count: u32) {
        if let Some(team) = request.team {
            self.team_usage[team] =
                self.team_usage[team] - request.task_resources.times(f64::from(count));
        }
    }

    /// Releases resources reserved on ready machines, and the charged quota, for a gang whose other
    /// machines are still being provisioned.
    pub(super) fn release_ready(&mut self, request: &PlacementRequest, bins: &[usize]) {
        for &bin in bins {
            let b = &mut self.bins[bin];
            if b.ready {
                b.free = b.free + request.task_resources;
            }
        }
        self.refund(request, bins.len() as u32);
    }

    /// Reserves resources for one task of the job.
    pub(super) fn reserve(&mut self, bin: usize, request: &mut PlacementRequest) {
        let b = &mut self.bins[bin];
        b.free = b.free - request.task_resources;
        b.empty = false;
        b.heartbeat_capacity = b.heartbeat_capacity.saturating_sub(1);
        if b.heartbeat_capacity == 0 {
            b.free = Resources::default();
        }
        b.replicas += u32::from(request.spec.kind == JobKind::Service);
        b.last_image = Some(request.image);
        b.reserved = true;
        request.tasks_by_zone[b.zone] += 1;
    }

    /// Returns the instances to request and the machines that must not be scaled in.
    pub(super) fn into_demand(self) -> Demand {
        let offers = self
            .offers
            .into_iter()
            .zip(self.demand)
            .filter(|(_, count)| *count > 0);
        Demand {
            offers: offers.map(|(o, count)| (o.offer, count)).collect(),
            reserved_machines: self
                .bins
                .into_iter()
                .filter(|b| b.reserved)
                .filter_map(|b| b.machine)
                .collect(),
        }
    }
}

impl Scheduler {
    /// Takes a snapshot of the cluster without any reservations of this cycle.
    pub(super) fn take_snapshot(&mut self, queue: &[QueueItem], now: Micros) -> ClusterSnapshot {
        let mut snapshot = ClusterSnapshot {
            bins: Vec::with_capacity(self.machines.len() + 64),
            open_bins: Vec::new(),
            images: Vec::new(),
            type_resources: self.types.iter().map(Resources::of_machine_type).collect(),
            offers: self.offers(now),
            demand: Vec::new(),
            team_usage: vec![Resources::default(); self.cfg.teams.len()],
            has_orphans: false,
            reservations_enabled: self.reservations.should_reserve(now),
            bindings: Vec::new(),
            early_starts: BTreeMap::new(),
            victims: Vec::new(),
            gang_reservations: 0,
            preempt_searches: 0,
            backfill_bins: Vec::new(),
            expected_capacity: None,
            sole_choice_types: self.sole_choice_types(queue),
        };
        snapshot.demand = vec![0; snapshot.offers.len()];
        self.add_machines(&mut snapshot, now);
        self.add_pending_scale_outs(&mut snapshot);
        // Bins that can't fit even the smallest waiting task are excluded from all searches.
        let smallest_task = queue
            .iter()
            .filter_map(|item| self.jobs.get(&item.job))
            .map(|j| j.task_resources)
            .reduce(|a, b| Resources {
                cpus: a.cpus.min(b.cpus),
                gpus: a.gpus.min(b.gpus),
                memory_gb: a.memory_gb.min(b.memory_gb),
            });
        if let Some(smallest_task) = smallest_task {
            snapshot.open_bins = (0..snapshot.bins.len())
                .filter(|&i| smallest_task.fits_in(&snapshot.bins[i].free))
                .collect();
        }
        snapshot
    }

    /// Charges all live attempts to their teams, and adds the machines that accept tasks.
    fn add_machines(&mut self, snapshot: &mut ClusterSnapshot, now: Micros) {
        let heartbeat_timeout = self.cfg.heartbeat_interval.times(2) + Micros::from_secs(2);
        let Scheduler {
            machines,
            cfg,
            types,
            token,
            ..
        } = self;
        for m in machines.values_mut() {
            let load = m.load(&cfg.teams);
            snapshot.has_orphans |= load.has_orphans;
            for (team, amounts) in &load.used_by_team {
                let used = &mut snapshot.team_usage[usize::from(*team)];
                *used = *used + *amounts;
            }
            let fresh = m.phase == MachinePhase::Up && now < m.last_seen + heartbeat_timeout;
            if (m.phase == MachinePhase::Up && !fresh) || !accepts_new_tasks(m, now) {
                continue;
            }
            let Some(type_index) = types.iter().position(|t| t.name == m.machine_type) else {
                continue;
            };
            let Some(load) = m.cached_load() else {
                continue;
            };
            let heartbeat_capacity = MAX_REPORTED_ATTEMPTS.saturating_sub(m.allocations().len());
            let first_image = snapshot.images.len();
            snapshot.images.extend_from_slice(&load.images);
            snapshot.bins.push(Bin {
                machine: Some(m.id.clone()),
                ready: fresh && m.is_registered && m.is_reconciled(*token),
                type_index,
                zone: cfg.zone_index(&m.zone),
                spot: m.spot,
                free: if heartbeat_capacity > 0 {
                    snapshot.type_resources[type_index] - load.used
                } else {
                    Resources::default()
                },
                empty: load.live_attempts == 0,
                heartbeat_capacity,
                replicas: load.service_replicas,
                freeing: load.freeing,
                preemptible: load.preemptible,
                images: first_image..snapshot.images.len(),
                last_image: None,
                has_failures: !m.failed_jobs.is_empty(),
                partitioned: m.phase == MachinePhase::Lost,
                reserved: false,
                backfill_capacity: None,
            });
        }
    }

    /// Adds the instances of scale-out requests that are in progress.
    fn add_pending_scale_outs(&self, snapshot: &mut ClusterSnapshot) {
        for (offer, count) in self.pending_scale_outs.requests() {
            if let Some(type_index) = self.types.iter().position(|t| t.name == offer.machine_type) {
                let zone = self.cfg.zone_index(&offer.zone);
                for _ in 0..count {
                    snapshot.bins.push(Bin::requested(
                        type_index,
                        zone,
                        offer.spot,
                        snapshot.type_resources[type_index],
                    ));
                }
            }
        }
    }
}

/// Returns whether the machine's state permits new tasks, now or once it is up.
fn accepts_new_tasks(m: &Machine, now: Micros) -> bool {
    let is_provisioning_overdue =
        m.phase == MachinePhase::Provisioning && m.provisioning != ProvisioningState::Awaited;
    !(m.deleting
        || m.faulty
        || m.slow
        || is_provisioning_overdue
        || m.preemption_notice_at.is_some()
        || now < m.no_placement_before)
}
