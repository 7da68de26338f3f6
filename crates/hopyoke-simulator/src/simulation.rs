//! State of a simulation.

use crate::agent::Agent;
use crate::cloud::Cloud;
use crate::digest::{Channel, Digest};
use crate::event_queue::EventQueue;
use crate::kv_store::{FaultWindow, HeartbeatsForNextLeader, KvStore};
use crate::limits::StoreLimits;
use crate::node::commands::ExecutedPush;
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

/// Largest number of machines for which cluster-wide invariants are checked after each event. In larger clusters they
/// are checked periodically; invariants of a task start are always checked.
const MAX_MACHINES_CHECKED_EACH_EVENT: usize = 100;

/// True wall-clock time at the start of a simulation, since the Unix epoch.
pub(crate) const START_TIME_OF_DAY: Micros = Micros::from_secs(10_000);

/// A simulated cluster in virtual time.
pub struct Simulation {
    /// Virtual time since the start.
    pub now: Micros,
    /// Pending events.
    pub(crate) events: EventQueue,
    /// Source of all random draws.
    rng: StdRng,
    /// Scheduler settings.
    pub config: SchedulerConfig,
    /// Scheduler settings that can change at run time.
    pub tuning: Tuning,
    /// Staffed hours, if configured. The simulation starts at [`START_TIME_OF_DAY`] on Thursday, 1970-01-01 UTC.
    pub(crate) hours: Option<StaffedHours>,
    /// Duration of a leader's lease after a renewal.
    pub(crate) lease_ttl: Micros,
    /// Time after a user observed a cancellation from which no task of the job may run.
    pub(crate) cancellation_bound: Micros,
    /// Machine types that the cloud offers.
    pub machine_types: Vec<MachineType>,
    /// Number of machines that the cloud can still provide, by (machine type, zone, spot).
    pub(crate) capacity: BTreeMap<(String, String, bool), u32>,
    /// Existing machines with their agents.
    pub(crate) machines: BTreeMap<MachineId, Agent>,
    /// Number from which the next machine's ID is made.
    pub(crate) next_machine: u32,
    /// Created machines by scale-out request.
    pub(crate) scale_outs: BTreeMap<String, Vec<MachineId>>,
    /// Number of upcoming machines that never boot.
    pub(crate) failed_boots_left: u32,
    pub(crate) cloud: Cloud,
    pub(crate) kv_store: KvStore,
    /// Nodes, by index.
    pub(crate) nodes: Vec<Node>,
    /// Network partitions, including healed ones.
    pub(crate) partitions: Vec<NetworkPartition>,
    /// Delays of messages at nodes, including past ones.
    pub(crate) delivery_delays: Vec<DeliveryDelay>,
    /// Paused nodes, and when they resume.
    pub(crate) paused_nodes: BTreeMap<usize, Micros>,
    /// Rate limits of the key-value store. `None` if it has none.
    pub(crate) limits: Option<StoreLimits>,
    /// Time from the first submission after which users stop retrying. `None` if they never do.
    pub(crate) submission_timeout: Option<Micros>,
    /// Until when a node has no sockets left for connections to agents.
    pub(crate) sockets_exhausted_until: BTreeMap<usize, Micros>,
    /// Until when every node refuses connections of an agent.
    pub(crate) connections_refused_until: BTreeMap<MachineId, Micros>,
    /// Share of the heartbeats that are delivered a second time.
    pub(crate) duplicated_heartbeats: FaultWindow,
    /// Share of the pushed commands that are delayed without a response.
    pub(crate) delayed_commands: FaultWindow,
    /// Pushed commands that agents have executed, which the network may repeat.
    pub(crate) executed_pushes: Vec<ExecutedPush>,
    /// Heartbeats that are held back for the next leader.
    pub(crate) heartbeats_for_next_leader: HeartbeatsForNextLeader,
    /// End of the last fault injected so far.
    pub(crate) faults_end_at: Micros,
    /// User behavior beyond submitting and polling.
    pub(crate) user_behavior: UserBehavior,
    /// Jobs of all users.
    pub jobs: BTreeMap<JobId, JobGroundTruth>,
    /// Violations of invariants, as text.
    pub violations: Vec<String>,
    /// Number of leaders elected so far.
    pub elected_leaders: u32,
    /// Number of agent epochs that ended by lease expiry.
    pub(crate) expired_epochs: u32,
    /// Longest reconciliation, from an election until all registered machines were accounted for.
    pub(crate) longest_reconciliation: Micros,
    /// For each task start of a cancelled job, the time since its user observed the cancellation.
    pub(crate) starts_after_cancellation: Vec<Micros>,
    /// Since when jobs have been waiting although they could run.
    pub(crate) schedulable_since: BTreeMap<JobId, Micros>,
    /// Time of the next check for such jobs.
    pub(crate) next_schedulable_check_at: Micros,
    /// Largest number of entities that the scheduler visited for a heartbeat without a placement.
    pub(crate) max_entities_per_heartbeat: u64,
    /// Largest number of entities that the scheduler visited for a tick.
    pub(crate) max_entities_per_tick: u64,
    /// Time of the next check of cluster-wide invariants, if they aren't checked after each event.
    pub(crate) next_check_at: Micros,
    /// Number of checks of cluster-wide invariants so far.
    pub(crate) check_count: u64,
    /// Finished jobs whose records were found to agree with the ground truth.
    pub(crate) verified_jobs: BTreeSet<JobId>,
    /// Whether events are traced to stderr.
    trace: bool,
    /// Digest of all messages and random draws so far.
    pub(crate) digest: Digest,
    /// Whether all invariants are checked after each event, unless there are too many machines.
    pub exhaustive_checks: bool,
}

/// Returns the scheduler settings, without teams.
fn scheduler_config() -> SchedulerConfig {
    SchedulerConfig {
        zones: vec!["a".into(), "b".into(), "c".into()],
        teams: Vec::new(),
        heartbeat_interval: Micros::from_secs(2),
        lease: Micros::from_secs(14),
        gang_start_timeout: Micros::from_secs(50),
        gang_peer_timeout: Micros::from_secs(6),
        max_list_lag: Micros::from_secs(4),
        max_value_bytes: 8192,
        max_txn_ops: 16,
        max_writes_per_s: 25.0,
        response_margin: Micros::from_millis(500),
    }
}

impl Simulation {
    /// Creates a cluster of `nodes` nodes, none of them up, without machines and jobs.
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
            executed_pushes: Vec::new(),
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

    /// Returns whether all invariants are checked after each event.
    pub(crate) fn checks_each_event(&self) -> bool {
        self.exhaustive_checks && self.machines.len() <= MAX_MACHINES_CHECKED_EACH_EVENT
    }

    /// Returns the wall-clock time at a node, since the Unix epoch. With staffed hours the clocks of nodes are skewed
    /// by multiples of the skew bound: node 0 lags, node 1 is exact and later nodes are ahead.
    pub(crate) fn time_of_day(&self, node: usize) -> Micros {
        let skew = self.hours.as_ref().map_or(0, |h| h.max_clock_skew.0);
        Micros(START_TIME_OF_DAY.0 + self.now.0 + skew * node as u64) - Micros(skew)
    }

    /// Prints an event to stderr if `SIM_TRACE` is set.
    pub(crate) fn log(&self, event: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:10.4} {}", self.now.as_secs_f64(), event());
        }
    }

    /// Draws a uniform random number from `low` to `high`, both inclusive.
    pub(crate) fn random(&mut self, low: u64, high: u64) -> u64 {
        let drawn = self.rng.random_range(low..=high);
        self.digest_bytes(Channel::Draw, &drawn.to_le_bytes());
        drawn
    }

    /// Returns the machine type with a name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub(crate) fn machine_type(&self, name: &str) -> MachineType {
        self.machine_types
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("machine type is in the catalog")
    }

    /// Returns the team with a name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub(crate) fn team(&self, name: &str) -> Team {
        self.config
            .teams
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("team is configured")
    }

    /// Returns the first node that considers itself the leader. It may have been deposed without knowing yet.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.leadership.is_some())
    }

    /// Returns the leadership state of the first node that considers itself the leader.
    pub(crate) fn current_leadership(&self) -> Option<&Leadership> {
        self.nodes.iter().find_map(|n| n.leadership.as_ref())
    }

    /// Returns the scheduler of the first node that considers itself the leader.
    pub fn leader_scheduler(&self) -> Option<&Scheduler> {
        self.current_leadership().map(|l| &l.scheduler)
    }
}
