//! Nodes that run the real scheduler, with simulated leadership, store access and messages that follow the daemon's.

pub(crate) mod commands;
mod election;
mod failover;
mod heartbeats;
mod lease;
mod lease_support;
mod persist;
mod record_watch;
mod scheduling;
mod store_latency;

use crate::Host;
use crate::Simulation;
use crate::limits::NodeLimits;
use hopyoke_consistency::latency::StoreLatency;
use hopyoke_consistency::leader_lease::{LeaderLease, SUPPORT_DURATION};
use hopyoke_consistency::{CancellationLog, DeliveryCursors};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::Scheduler;
use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeMap;

/// Capacity of a node's cancellation log, small enough that scenarios reach it.
const CANCELLATION_LOG_CAPACITY: usize = 6;

/// Duration after which a watch without a change ends.
const WATCH_TIMEOUT: Micros = Micros::from_secs(2);

/// A node and the state of its current process.
pub(crate) struct Node {
    /// The node's share of the store's rate limits. `None` if the scenario sets no limits.
    pub(crate) limits: Option<NodeLimits>,
    /// Whether its process is running.
    pub(crate) up: bool,
    /// Incarnation of the process: messages that belong to an earlier one are dropped.
    pub(crate) process: u64,
    /// The node's state as the leader. `None` if it does not lead.
    pub(crate) leadership: Option<Leadership>,
    /// The last leader that the node observed.
    pub(crate) observed_leader: Option<usize>,
    /// Earliest time to succeed another node, since a former process may have granted lease support.
    takeover_not_before: Micros,
    /// Earliest time to campaign at all, since this process granted lease support or stepped down.
    campaign_not_before: Micros,
    /// The campaign that waits for its response. No other one begins meanwhile.
    open_campaign: Option<OpenCampaign>,
    /// The lease under which the node reads the records before it leads.
    acquired_lease: Option<AcquiredLease>,
    /// Number of campaigns that have not definitely failed, including one that was won. While there are any, the node
    /// grants no lease support.
    pending_campaigns: u32,
    /// Cancellations that the node has acknowledged to users.
    pub(crate) cancellation_log: CancellationLog,
    /// Latency of the store, measured by this process.
    pub(crate) store_latency: StoreLatency,
    /// Final job states that the node has written or read.
    pub(crate) terminal_states: BTreeMap<JobId, JobState>,
}

/// A campaign in flight.
#[derive(Debug, Clone, Copy)]
struct OpenCampaign {
    sent: Micros,
    /// When the response times out.
    until: Micros,
}

/// A leader lease under which a node does not lead yet.
#[derive(Debug, Clone, Copy)]
struct AcquiredLease {
    lease: u64,
    /// When the lease expires unless it is renewed again.
    until: Micros,
}

/// The state of a node as the leader.
pub(crate) struct Leadership {
    /// The daemon's scheduler.
    pub(crate) scheduler: Scheduler,
    /// The lease at the store.
    lease: u64,
    /// Validity of the leadership: by renewals at the store and by lease support.
    leader_lease: LeaderLease,
    /// Positions up to which peers have delivered the cancellations that they acknowledged.
    delivery_cursors: DeliveryCursors,
    /// Number of the open watch.
    watch_number: u64,
    /// Whether a batch of writes has no outcome yet.
    batch_in_flight: bool,
    /// When the node was elected. `None` once reconciliation is complete.
    reconciling_since: Option<Micros>,
    next_audit_at: Micros,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            limits: None,
            up: false,
            process: 0,
            leadership: None,
            observed_leader: None,
            takeover_not_before: Micros::ZERO,
            campaign_not_before: Micros::ZERO,
            open_campaign: None,
            acquired_lease: None,
            pending_campaigns: 0,
            cancellation_log: CancellationLog::new(CANCELLATION_LOG_CAPACITY),
            store_latency: StoreLatency::default(),
            terminal_states: BTreeMap::new(),
        }
    }
}

impl Simulation {
    /// Starts a node's process.
    pub fn start_node(&mut self, node: usize) {
        let (now, nodes) = (self.now, self.nodes.len());
        let limits = self
            .limits
            .as_ref()
            .map(|l| l.node_limits(nodes, &self.config.teams, now));
        let state = &mut self.nodes[node];
        state.limits = limits;
        state.up = true;
        state.process += 1;
        state.leadership = None;
        state.takeover_not_before = self.now + SUPPORT_DURATION.with_drift();
        state.campaign_not_before = Micros::ZERO;
        state.open_campaign = None;
        state.acquired_lease = None;
        state.pending_campaigns = 0;
        state.cancellation_log = CancellationLog::new(CANCELLATION_LOG_CAPACITY);
        state.terminal_states.clear();
        state.store_latency = StoreLatency::default();
        let process = state.process;
        self.read_start_revision(node, process);
        let wait = Micros(self.random(1_000, 100_000));
        self.timer(node, wait, move |sim| sim.campaign(node, process, true));
        if self.limits.is_some() {
            self.gossip_queue(node, process);
        }
    }

    /// Ends a node's process. Another one starts after `restart_delay`.
    pub fn crash_node(&mut self, node: usize, restart_delay: Micros) {
        let state = &mut self.nodes[node];
        state.up = false;
        state.leadership = None;
        state.process += 1;
        self.paused_nodes.remove(&node);
        self.log(|| format!("node {node} crashes"));
        self.after(restart_delay, move |sim| sim.start_node(node));
    }

    /// Reads the revision at which the process began, since former processes may have acknowledged cancellations before
    /// it.
    fn read_start_revision(&mut self, node: usize, process: u64) {
        if !self.alive(node, process) {
            return;
        }
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) {
                return sim.after(Micros::from_millis(500), move |sim| {
                    sim.read_start_revision(node, process)
                });
            }
            let revision = ModRevision(sim.kv_store.revision);
            sim.send(Host::KvStore, Host::Node(node), move |sim| {
                if sim.alive(node, process) {
                    sim.nodes[node]
                        .cancellation_log
                        .set_start_revision(revision);
                }
            });
        });
    }

    /// Returns whether the process is the node's current one and is running.
    pub(crate) fn alive(&self, node: usize, process: u64) -> bool {
        self.nodes[node].up && self.nodes[node].process == process
    }

    /// Returns whether the node leads with a valid leader lease.
    pub(super) fn lease_is_valid(&self, node: usize) -> bool {
        self.nodes[node]
            .leadership
            .as_ref()
            .is_some_and(|l| l.leader_lease.is_valid(self.now))
    }

    /// Returns the process's state as the leader. Returns `None` if the process does not lead or has ended.
    pub(crate) fn leadership(&mut self, node: usize, process: u64) -> Option<&mut Leadership> {
        if !self.alive(node, process) {
            return None;
        }
        self.nodes[node].leadership.as_mut()
    }
}
