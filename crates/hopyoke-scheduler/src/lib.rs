//! The leader's scheduler as a state machine without I/O: events and the time go in, actions come out.
//!
//! - `ledger`: jobs, machines and allocations.
//! - `reconcile`: updates of the ledger from heartbeats, commands to agents, and failover.
//! - [`placement`]: the placement cycle, which assigns tasks to machines and computes the demand for
//!   instances.
//! - `placement_schedule`: when placement cycles run.
//! - `resources`, `task_ranges`: resource amounts, and sets of task numbers.
//! - `autoscale`: scale-out and scale-in.
//! - `persist`: batched writes to the key-value store, and the machine registry.
//! - `staffed_hours`: jobs that are held outside staffed hours.
//! - `run_times`: learned run times, and estimates from them.
//! - `audit`: consistency checks for tests.

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
    Allocation, AllocationState, EndRecord, Job, JobRecord, Load, Machine, MachinePhase,
    RecordTooLong, WaitReason,
};
pub use persist::batch::{Batch, BatchError, RegistryPage, Write};
pub use persist::rejected_writes::{Rejection, WriteKey};
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
use crate::reconcile::command_tokens::CommandTokens;
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

/// An effect that the caller must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Request instances from the cloud.
    ScaleOut {
        /// Idempotency key of the request.
        request: String,
        /// Machine type of the instances.
        machine_type: String,
        /// Zone of the instances.
        zone: String,
        /// True for spot instances.
        spot: bool,
        /// Number of instances.
        count: u32,
    },
    /// Delete instances.
    Delete {
        /// Instances to delete.
        machines: Vec<MachineId>,
    },
    /// Reload the job's record, because a write of it failed or got no response.
    ReloadRecord {
        /// The job.
        job: JobId,
    },
    /// Send commands to an agent without waiting for its heartbeat. An empty list probes the agent.
    PushCommands {
        /// The agent's machine.
        machine: MachineId,
        /// Address on which the agent listens.
        address: std::net::SocketAddr,
        /// Fencing token of the commands.
        token: FencingToken,
        /// Epoch for which the commands are meant. An agent in another epoch rejects them.
        epoch: u64,
        /// Commands to execute.
        commands: Vec<Command>,
    },
}

/// Time between two checks for expired leases and unresponsive machines.
const SWEEP_INTERVAL: Micros = Micros::from_millis(100);

/// The scheduler's state machine.
///
/// Each module owns its part of the state. Callers may access the ledger, the configuration and the tuning
/// directly.
pub struct Scheduler {
    /// Configuration from the settings file.
    pub cfg: SchedulerConfig,
    /// Parameters that operators may tune at run time.
    pub tuning: Tuning,
    /// Fencing token of this leader's writes, and the lowest one of its commands: the revision at which its shards were
    /// granted.
    pub token: FencingToken,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Known machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Catalog of machine types.
    pub types: Vec<MachineType>,
    /// When ticks last began: at the election, or after a stall of more than a second. The silence of
    /// agents is counted from then.
    resumed_at: Micros,
    last_tick_at: Micros,
    /// Time of the next check for expired leases and unresponsive machines.
    next_sweep_at: Micros,
    next_fleet_log_at: Micros,
    /// Sequence number of this leader's requests and attempts.
    sequence_number: u64,
    /// Jobs whose records were removed from `job/`.
    tombstones: Tombstones,
    command_tokens: CommandTokens,
    reconciliation: Reconciliation,
    probes: FailoverProbes,
    receive_health: ReceiveHealth,
    partitioned_zones: PartitionedZones,
    /// Machines with commands that are yet to be sent.
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
    /// See [`Scheduler::entities_visited`].
    entities_visited: Cell<u64>,
}

/// Bounds the interruption of service replicas by migrations.
#[derive(Debug)]
struct DefragmentationBudget {
    /// Interruption that migrations may still cause, in seconds.
    budget_s: f64,
    /// Time up to which the budget has been credited.
    credited_at: Micros,
    /// No replica is migrated before this time.
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
    /// Creates the scheduler of a new leader. `jobs` and `registry` must have been read after the grant of
    /// `token`; a registry page of `None` can't be decoded.
    pub fn new(
        cfg: SchedulerConfig,
        token: FencingToken,
        jobs: Vec<(JobId, JobRecord, ModRevision)>,
        registry: Vec<(String, ModRevision, Option<RegistryPage>)>,
        now: Micros,
    ) -> Scheduler {
        let mut scheduler = Scheduler::empty(cfg, token, now);
        for (id, record, mod_revision) in jobs {
            scheduler.job_record_changed(id, record, mod_revision, now);
        }
        for (key, mod_revision, page) in registry {
            scheduler.load_registry_page(key, mod_revision, page.as_ref(), now);
        }
        scheduler.reconciliation = Reconciliation::new(now, !scheduler.registry.is_empty());
        scheduler
    }

    fn empty(cfg: SchedulerConfig, token: FencingToken, now: Micros) -> Scheduler {
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
            sequence_number: 0,
            tombstones: Tombstones::default(),
            command_tokens: CommandTokens::new(token),
            reconciliation: Reconciliation::new(now, false),
            probes: FailoverProbes::default(),
            receive_health: ReceiveHealth::for_new_leader(now),
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

    fn load_registry_page(
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
                self.token,
                now,
            );
            (m.is_registered, m.inherited) = (true, true);
            m.address = p.machines.get(&id).and_then(|a| a.parse().ok());
            self.probes.push(id.clone());
            // An earlier leader may have renewed its lease until just before this leader's grant.
            m.lease_end = now + self.cfg.lease_bound();
            self.machines.insert(id, m);
        }
    }

    /// Replaces the catalog of machine types.
    pub fn set_catalog(&mut self, types: Vec<MachineType>) {
        if self.types != types {
            self.types = types;
            self.placement_schedule.request();
        }
    }

    /// Returns the ids of all unfinished jobs, in order.
    pub fn job_ids(&self) -> Vec<JobId> {
        self.jobs.keys().cloned().collect()
    }

    /// Removes and returns the next action. Returns `None` if there is none.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns true if actions, commands or probes are pending.
    pub fn has_actions(&self) -> bool {
        !self.actions.is_empty() || !self.commands_due.is_empty() || self.can_probe()
    }

    /// Performs the work that is due. Must be called after events and at least every 500 ms.
    pub fn tick(&mut self, now: Micros) {
        self.run_due_work(now);
        self.send_probes(now);
        self.push_commands(now);
    }

    /// Performs all work of a tick except sending probes and pushing commands.
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

    /// Returns the number of machines, jobs, bins and allocations visited so far: a measure of work that does
    /// not depend on the processor, bounded by tests.
    pub fn entities_visited(&self) -> u64 {
        self.entities_visited.get()
    }

    fn add_visited(&self, n: usize) {
        self.entities_visited
            .set(self.entities_visited.get() + n as u64);
    }

    fn new_request(&mut self) -> String {
        self.sequence_number += 1;
        format!("hy-{}-{}", self.token, self.sequence_number)
    }

    fn boot_time(&self, name: &str) -> Micros {
        self.machine_type(name)
            .map_or(Micros::ZERO, |t| Micros::from_secs_f64(t.boot_s))
    }

    fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}
