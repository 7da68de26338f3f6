//! The leader's decisions, without any I/O: events and the time go in, actions come out.
//!
//! - `ledger`: jobs, machines and allocations.
//! - `reconcile`: heartbeats rebuild and update the ledger; commands answer them; failover.
//! - [`placement`]: one scheduling cycle: which task runs on which machine, and the demand for machines.
//! - `resources`, `task_ranges`: amounts of resources, and sets of task numbers.
//! - `autoscale`: scale-out and scale-in.
//! - `persist`: what must be written to the state service, in batches, and the machine registry.
//! - `staffed_hours`: work that is held outside staffed hours.
//! - `run_times`: learned run times and what is estimated from them.

mod audit;
mod autoscale;
mod config;
mod ledger;
mod persist;
pub mod placement;
mod placement_schedule;
mod reconcile;
mod resources;
mod run_times;
mod staffed_hours;
mod task_ranges;
mod tuning;

pub use autoscale::provisioning;
pub use autoscale::scale_out::ScaleOutOutcome;
pub use config::SchedulerConfig;
pub use ledger::{
    Allocation, AllocationState, EndRecord, Job, JobRecord, Load, Machine, MachinePhase, WaitReason,
};
pub use persist::batch::{Batch, BatchError, RegistryPage, Write};
pub use reconcile::heartbeats::HeartbeatReply;
pub use reconcile::restart_check::RestartDecision;
pub use resources::{Resources, Team, unschedulable_reason};
pub use run_times::{CapacityQuery, CompletedRun, CompletionEstimate};
pub use task_ranges::TaskRanges;
pub use tuning::Tuning;

use crate::autoscale::inventory::CloudInventory;
use crate::autoscale::provisioning::ProvisioningEstimator;
use crate::autoscale::scale_out::PendingScaleOuts;
use crate::persist::records::Writes;
use crate::persist::registry::MachineRegistry;
use crate::placement::reservation::Reservations;
use crate::placement_schedule::PlacementSchedule;
use crate::reconcile::failover::Reconciliation;
use crate::reconcile::probes::FailoverProbes;
use crate::reconcile::unresponsive::{PartitionedZones, ReceiveHealth};
use crate::run_times::LearnedRunTimes;
use crate::staffed_hours::Staffing;
use hopyoke_consistency::Tombstones;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::worker::Command;
use hopyoke_types::{FencingToken, JobId, MachineId, Micros, ModRevision};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the daemon or the simulator is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Request instances from the cloud.
    ScaleOut {
        /// Names the request, so that it can be repeated.
        request: String,
        /// Type of the instances.
        machine_type: String,
        /// Their zone.
        zone: String,
        /// Whether the cloud may take them away.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Delete instances.
    Delete {
        /// Which.
        machines: Vec<MachineId>,
    },
    /// Read the job's record again: a write of it failed or went unanswered.
    ReloadRecord {
        /// The job.
        job: JobId,
    },
    /// Send commands to an agent without waiting for its heartbeat; none: a probe.
    PushCommands {
        /// The agent's machine.
        machine: MachineId,
        /// Where the agent listens.
        address: std::net::SocketAddr,
        /// The epoch for which they are meant: an agent in another refuses them.
        epoch: u64,
        /// What the agent is to do.
        commands: Vec<Command>,
    },
}

/// How often expired leases and unresponsive machines are searched for.
const SWEEP_INTERVAL: Micros = Micros::from_millis(100);

/// The scheduler's state machine.
///
/// Each part owns its state; only the ledger and the settings are open to the daemon and the simulator.
pub struct Scheduler {
    /// What the settings say.
    pub cfg: SchedulerConfig,
    /// What operators may tune.
    pub tuning: Tuning,
    /// The fencing token of this leader: the revision at which its shards were granted.
    pub token: FencingToken,
    /// The ledger of unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// The ledger of machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The catalog of machine types.
    pub types: Vec<MachineType>,
    /// When this leader last began, or began again, to act.
    resumed_at: Micros,
    last_tick_at: Micros,
    /// When unresponsive machines and expired leases are searched for again.
    next_sweep_at: Micros,
    next_fleet_log_at: Micros,
    /// Counts requests and attempts of this leader.
    counter: u64,
    /// Jobs whose record has left `job/`.
    tombstones: Tombstones,
    reconciliation: Reconciliation,
    probes: FailoverProbes,
    receive_health: ReceiveHealth,
    partitioned_zones: PartitionedZones,
    /// Machines whose commands have changed since they were last sent.
    commands_due: BTreeSet<MachineId>,
    placement_schedule: PlacementSchedule,
    reservations: Reservations,
    defragmentation: DefragmentationBudget,
    staffing: Staffing,
    pending_scale_outs: PendingScaleOuts,
    provisioning_estimator: ProvisioningEstimator,
    inventory: CloudInventory,
    registry: MachineRegistry,
    writes: Writes,
    learned: LearnedRunTimes,
    actions: VecDeque<Action>,
    /// Machines, jobs, bins and allocations visited so far; scenarios assert that it stays in bounds.
    entities_visited: Cell<u64>,
}

/// What moves of replicas may cost.
#[derive(Debug)]
struct DefragmentationBudget {
    /// Seconds that moves may still take.
    budget_s: f64,
    /// Up to when the budget was earned.
    credited_at: Micros,
    /// No replica is moved before this.
    next_at: Micros,
}

impl DefragmentationBudget {
    fn new(now: Micros) -> DefragmentationBudget {
        DefragmentationBudget {
            budget_s: 0.0,
            credited_at: now,
            next_at: Micros::ZERO,
        }
    }
}

impl Scheduler {
    /// A new leader's scheduler: `jobs` and `registry` are as read after the grant of `token`.
    pub fn new(
        cfg: SchedulerConfig,
        token: FencingToken,
        jobs: Vec<(JobId, JobRecord, ModRevision)>,
        registry: Vec<(String, ModRevision, Option<RegistryPage>)>,
        now: Micros,
    ) -> Scheduler {
        let mut scheduler = Scheduler::without_work(cfg, token, now);
        for (id, record, mod_revision) in jobs {
            scheduler.job_record_changed(id, record, mod_revision, now);
        }
        for (key, mod_revision, page) in registry {
            scheduler.adopt_registry_page(key, mod_revision, page.as_ref(), now);
        }
        scheduler.reconciliation = Reconciliation::new(now, !scheduler.registry.is_empty());
        scheduler
    }

    fn without_work(cfg: SchedulerConfig, token: FencingToken, now: Micros) -> Scheduler {
        let tuning = Tuning::default();
        Scheduler {
            writes: Writes::new(&cfg, now),
            cfg,
            token,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            types: Vec::new(),
            resumed_at: now,
            last_tick_at: now,
            next_sweep_at: Micros::ZERO,
            next_fleet_log_at: Micros::ZERO,
            counter: 0,
            tombstones: Tombstones::default(),
            reconciliation: Reconciliation::new(now, false),
            probes: FailoverProbes::default(),
            receive_health: ReceiveHealth::of_new_leader(now),
            partitioned_zones: PartitionedZones::default(),
            commands_due: BTreeSet::new(),
            placement_schedule: PlacementSchedule::new(tuning.plan_gap_least),
            tuning,
            reservations: Reservations::default(),
            defragmentation: DefragmentationBudget::new(now),
            staffing: Staffing::default(),
            pending_scale_outs: PendingScaleOuts::default(),
            provisioning_estimator: ProvisioningEstimator::default(),
            inventory: CloudInventory::default(),
            registry: MachineRegistry::default(),
            learned: LearnedRunTimes::default(),
            actions: VecDeque::new(),
            entities_visited: Cell::new(0),
        }
    }

    fn adopt_registry_page(
        &mut self,
        key: String,
        mod_revision: ModRevision,
        page: Option<&RegistryPage>,
        now: Micros,
    ) {
        for id in self.registry.load_page(key, mod_revision, page) {
            let Some(p) = page else { continue };
            let mut m = Machine::new(
                id.clone(),
                p.machine_type.clone(),
                p.zone.clone(),
                p.spot,
                now,
            );
            (m.is_registered, m.inherited) = (true, true);
            m.address = p.machines.get(&id).and_then(|a| a.parse().ok());
            self.probes.push(id.clone());
            // An earlier leader may have answered it until just before our grant.
            m.lease_end = now + self.cfg.lease_bound();
            self.machines.insert(id, m);
        }
    }

    /// The machine types that the cloud offers.
    pub fn set_catalog(&mut self, types: Vec<MachineType>) {
        if self.types != types {
            self.types = types;
            self.placement_schedule.request();
        }
    }

    /// Ids of all unfinished jobs, in order.
    pub fn job_ids(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    /// The next action, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Something waits to be done or sent.
    pub fn has_actions(&self) -> bool {
        !self.actions.is_empty() || !self.commands_due.is_empty() || self.can_probe()
    }

    /// Does what is due; to be called after events and at least every half second.
    pub fn tick(&mut self, now: Micros) {
        self.run_due_work(now);
        self.send_probes(now);
        self.push_commands(now);
    }

    /// All of a tick but the sending of probes and pushed commands.
    fn run_due_work(&mut self, now: Micros) {
        if now > self.last_tick_at + Micros::from_secs(1) {
            self.resumed_at = now;
        }
        self.last_tick_at = now;
        self.apply_staffed_hours(now);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL;
            self.add_visited(4 * self.machines.len());
            self.detect_partitioned_zones(now);
            self.expire_leases(now);
            self.remove_unresponsive(now);
            self.update_reconciliation(now);
            self.observe_runs(now);
        }
        if self.placement_schedule.is_due(now) {
            self.placement_schedule.begin(now);
            self.evict_disrupted_tasks();
            let demand = self.run_placement_cycle(now);
            self.scale_out(demand, now);
            self.scale_in(now);
        }
    }

    /// Machines, jobs, bins and allocations visited so far: a measure of work that does not depend on the processor.
    pub fn entities_visited(&self) -> u64 {
        self.entities_visited.get()
    }

    fn add_visited(&self, n: usize) {
        self.entities_visited
            .set(self.entities_visited.get() + n as u64);
    }

    fn new_request(&mut self) -> String {
        self.counter += 1;
        format!("hy-{}-{}", self.token, self.counter)
    }

    fn boot_time(&self, name: &str) -> Micros {
        self.machine_type(name)
            .map_or(Micros::ZERO, |t| Micros::from_secs_f64(t.boot_s))
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}
