//! The state of a simulation.

use crate::agent::Agent;
use crate::cloud::Cloud;
use crate::digest::{Channel, Digest};
use crate::event_queue::EventQueue;
use crate::kv_store::{FaultWindow, HeartbeatsForNextLeader, KvStore};
use crate::limits::StoreLimits;
use crate::node::{Leadership, Node};
use crate::users::UserBehavior;
use crate::{DeliveryDelay, JobGroundTruth, NetworkPartition};
use hopyoke_calendar::StaffedHours;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_scheduler::{Scheduler, SchedulerConfig, Team, Tuning};
use hopyoke_types::{JobId, MachineId, Micros};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// With more machines than this, invariants of the whole cluster are checked a few times a second of virtual time
/// instead of after each event. Those of a task's start are always checked.
const MAX_MACHINES_CHECKED_EACH_EVENT: usize = 100;

/// The true time of day at the beginning, after the epoch.
pub(crate) const START_TIME_OF_DAY: Micros = Micros::from_secs(10_000);

/// A cluster in virtual time.
pub struct Simulation {
    /// The virtual time, since the beginning.
    pub now: Micros,
    /// Events that are still to come.
    pub(crate) events: EventQueue,
    /// The source of all random draws.
    rng: StdRng,
    /// Settings of the scheduler.
    pub config: SchedulerConfig,
    /// Settings of the scheduler that can change while it runs.
    pub tuning: Tuning,
    /// Staffed hours; the simulation begins at [`START_TIME_OF_DAY`] on Thursday 1970-01-01 in UTC.
    pub(crate) hours: Option<StaffedHours>,
    /// How long a leader's lease lasts after a renewal.
    pub(crate) lease_ttl: Micros,
    /// So long after the confirmation of its cancellation no task of a job may run.
    pub(crate) cancellation_bound: Micros,
    /// Machine types that the cloud offers.
    pub machine_types: Vec<MachineType>,
    /// Capacity left by (type, zone, spot).
    pub(crate) capacity: BTreeMap<(String, String, bool), u32>,
    /// Machines that exist, with their agents.
    pub(crate) machines: BTreeMap<MachineId, Agent>,
    /// Number of the next machine.
    pub(crate) next_machine: u32,
    /// Machines by the scale-out request that they were created for.
    pub(crate) scale_outs: BTreeMap<String, Vec<MachineId>>,
    /// So many of the next machines never boot.
    pub(crate) failed_boots_left: u32,
    pub(crate) cloud: Cloud,
    pub(crate) kv_store: KvStore,
    /// The nodes, by number.
    pub(crate) nodes: Vec<Node>,
    /// Network partitions, healed ones too.
    pub(crate) partitions: Vec<NetworkPartition>,
    /// Nodes that handle messages late, past delays too.
    pub(crate) delivery_delays: Vec<DeliveryDelay>,
    /// Nodes whose processes are paused, and until when.
    pub(crate) paused_nodes: BTreeMap<usize, Micros>,
    /// Rates that the key-value store accepts; `None`: any.
    pub(crate) limits: Option<StoreLimits>,
    /// Users give up so long after their first submission; `None`: never.
    pub(crate) submission_timeout: Option<Micros>,
    /// Until when a node has no socket left for connections of its own to agents.
    pub(crate) sockets_exhausted_until: BTreeMap<usize, Micros>,
    /// Until when an agent's connections are refused by every node.
    pub(crate) connections_refused_until: BTreeMap<MachineId, Micros>,
    /// Share of the heartbeats of which a copy arrives again.
    pub(crate) duplicated_heartbeats: FaultWindow,
    /// Share of the pushed commands that are held up unanswered.
    pub(crate) delayed_commands: FaultWindow,
    /// Heartbeats that reach the next leader.
    pub(crate) heartbeats_for_next_leader: HeartbeatsForNextLeader,
    /// When the last fault so far is over.
    pub(crate) faults_end_at: Micros,
    /// What users do besides submitting and polling.
    pub(crate) user_behavior: UserBehavior,
    /// The jobs of all users.
    pub jobs: BTreeMap<JobId, JobGroundTruth>,
    /// Invariants that were violated.
    pub violations: Vec<String>,
    /// Leaders that were elected so far.
    pub elected_leaders: u32,
    /// Agent epochs that ended because no heartbeat was answered in time.
    pub(crate) expired_epochs: u32,
    /// Longest reconciliation: from an election until all registered machines were accounted for.
    pub(crate) longest_reconciliation: Micros,
    /// Starts of tasks of cancelled jobs: how long after the confirmation of the cancellation.
    pub(crate) starts_after_cancellation: Vec<Micros>,
    /// Since when jobs have waited though they could run.
    pub(crate) schedulable_since: BTreeMap<JobId, Micros>,
    /// When waiting jobs are checked next.
    pub(crate) next_schedulable_check_at: Micros,
    /// Most entities that the scheduler visited for a heartbeat without a placement.
    pub(crate) max_entities_per_heartbeat: u64,
    /// Most entities that the scheduler visited for a tick.
    pub(crate) max_entities_per_tick: u64,
    /// When invariants of the whole cluster are checked next, where not after each event.
    pub(crate) next_check_at: Micros,
    /// Checks of the invariants of the whole cluster so far.
    pub(crate) check_count: u64,
    /// Jobs that were found over, with a record that agrees with the truth.
    pub(crate) verified_jobs: BTreeSet<JobId>,
    /// What happens is printed to stderr.
    trace: bool,
    /// Of all messages and draws so far.
    pub(crate) digest: Digest,
    /// All invariants are checked after each event, unless there are too many machines.
    pub exhaustive_checks: bool,
}

/// The scheduler's settings, but for teams.
fn scheduler_config() -> SchedulerConfig {
    SchedulerConfig {
        zones: vec!["a".into(), "b".into(), "c".into()],
        teams: Vec::new(),
        heartbeat_interval: Micros::from_secs(2),
        lease: Micros::from_secs(14),
        gang_wait: Micros::from_secs(50),
        gang_peer: Micros::from_secs(6),
        list_lag: Micros::from_secs(4),
        value_bytes: 8192,
        txn_ops: 16,
        write_rps: 25.0,
        margin: Micros::from_millis(500),
    }
}

impl Simulation {
    /// A cluster of so many nodes, none of them up yet, without machines and jobs.
    pub fn new(seed: u64, nodes: usize) -> Simulation {
        Simulation {
            now: Micros::ZERO,
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            config: scheduler_config(),
            tuning: Tuning::default(),
            hours: None,
            lease_ttl: Micros::from_secs(5),
            cancellation_bound: Micros::from_secs(34),
            machine_types: Vec::new(),
            capacity: BTreeMap::new(),
            machines: BTreeMap::new(),
            next_machine: 0,
            scale_outs: BTreeMap::new(),
            failed_boots_left: 0,
            cloud: Cloud::default(),
            kv_store: KvStore::default(),
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            partitions: Vec::new(),
            delivery_delays: Vec::new(),
            paused_nodes: BTreeMap::new(),
            limits: None,
            submission_timeout: None,
            sockets_exhausted_until: BTreeMap::new(),
            connections_refused_until: BTreeMap::new(),
            duplicated_heartbeats: FaultWindow::default(),
            delayed_commands: FaultWindow::default(),
            heartbeats_for_next_leader: HeartbeatsForNextLeader::default(),
            faults_end_at: Micros::ZERO,
            user_behavior: UserBehavior::default(),
            jobs: BTreeMap::new(),
            violations: Vec::new(),
            elected_leaders: 0,
            expired_epochs: 0,
            longest_reconciliation: Micros::ZERO,
            starts_after_cancellation: Vec::new(),
            schedulable_since: BTreeMap::new(),
            next_schedulable_check_at: Micros::ZERO,
            max_entities_per_heartbeat: 0,
            max_entities_per_tick: 0,
            next_check_at: Micros::ZERO,
            check_count: 0,
            verified_jobs: BTreeSet::new(),
            exhaustive_checks: true,
            trace: std::env::var_os("SIM_TRACE").is_some(),
            digest: Digest::default(),
        }
    }

    /// All invariants are checked after each event.
    pub(crate) fn checks_each_event(&self) -> bool {
        self.exhaustive_checks && self.machines.len() <= MAX_MACHINES_CHECKED_EACH_EVENT
    }

    /// The time of day by a node's clock: off by as much as the hours' bound allows, each another way.
    pub(crate) fn time_of_day(&self, node: usize) -> Micros {
        let skew = self.hours.as_ref().map_or(0, |h| h.max_clock_skew.0);
        Micros(START_TIME_OF_DAY.0 + self.now.0 + skew * node as u64) - Micros(skew)
    }

    /// Prints what happens, where `SIM_TRACE` is set.
    pub(crate) fn log(&self, event: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:10.4} {}", self.now.as_secs_f64(), event());
        }
    }

    /// Draws a number between `low` and `high`, both included.
    pub(crate) fn random(&mut self, low: u64, high: u64) -> u64 {
        let drawn = self.rng.random_range(low..=high);
        self.digest_bytes(Channel::Draw, &drawn.to_le_bytes());
        drawn
    }

    /// The machine type of a name.
    pub(crate) fn machine_type(&self, name: &str) -> MachineType {
        self.machine_types
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("a known machine type")
    }

    /// The team of a name.
    pub(crate) fn team(&self, name: &str) -> Team {
        self.config
            .teams
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("a known team")
    }

    /// The first node that leads, or has not learned yet that it was deposed.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.leadership.is_some())
    }

    /// What the first node that leads knows.
    pub(crate) fn current_leadership(&self) -> Option<&Leadership> {
        self.nodes.iter().find_map(|n| n.leadership.as_ref())
    }

    /// The scheduler of the first node that leads.
    pub fn leader_scheduler(&self) -> Option<&Scheduler> {
        self.current_leadership().map(|l| &l.scheduler)
    }
}
