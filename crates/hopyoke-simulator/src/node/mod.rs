//! Nodes: the real scheduler, with leadership, reads and writes of the store and messages as the daemon does them.

mod commands;
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

/// Cancellations that a node remembers; so few that scenarios reach the bound.
const CANCELLATION_LOG_CAPACITY: usize = 6;

/// How long a watch stays open without a change.
const WATCH_TIMEOUT: Micros = Micros::from_secs(2);

/// A node and what its current process knows.
pub(crate) struct Node {
    /// Its share of the store's rates, where those are limited.
    pub(crate) limits_of_node: Option<NodeLimits>,
    /// Its process runs.
    pub(crate) up: bool,
    /// Number of its current process: messages of an earlier one find it changed.
    pub(crate) process: u64,
    /// What it knows as the leader.
    pub(crate) leadership: Option<Leadership>,
    /// The leader, as far as it knows.
    pub(crate) observed_leader: Option<usize>,
    /// It does not succeed another node before this: a former process may have granted lease support.
    takeover_not_before: Micros,
    /// It does not campaign at all before this: it has granted lease support, or stepped down.
    campaign_not_before: Micros,
    /// A campaign whose answer is waited for: no other one begins meanwhile.
    open_campaign: Option<OpenCampaign>,
    /// The lease that it has won, while it reads the records.
    acquired_lease: Option<AcquiredLease>,
    /// Campaigns whose outcome is unknown: they may succeed late.
    pending_campaigns: u32,
    /// Cancellations that this node has confirmed to users.
    pub(crate) cancellation_log: CancellationLog,
    /// Latency of the store as this process has measured it.
    pub(crate) store_latency: StoreLatency,
    /// Final states that it has written or read.
    pub(crate) terminal_states: BTreeMap<JobId, JobState>,
}

/// A campaign under way.
#[derive(Debug, Clone, Copy)]
struct OpenCampaign {
    sent: Micros,
    /// Until when its answer is waited for.
    until: Micros,
}

/// A leader lease under which a node does not lead yet.
#[derive(Debug, Clone, Copy)]
struct AcquiredLease {
    lease: u64,
    /// Until when it is valid without a further renewal.
    until: Micros,
}

/// What a node knows as the leader.
pub(crate) struct Leadership {
    /// The real scheduler.
    pub(crate) scheduler: Scheduler,
    /// Its lease at the store.
    lease: u64,
    /// Until when it may act.
    leader_lease: LeaderLease,
    /// Up to where peers have delivered the cancellations that they confirmed.
    delivery_cursors: DeliveryCursors,
    /// Number of the watch that is open.
    watch: u64,
    /// A batch of writes has no outcome yet.
    batch_in_flight: bool,
    /// When it was elected, until its reconciliation is complete.
    reconciling_since: Option<Micros>,
    next_audit_at: Micros,
}

impl Default for Node {
    fn default() -> Node {
        Node {
            limits_of_node: None,
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
    pub fn start_node(&mut self, i: usize) {
        let (now, nodes) = (self.now, self.nodes.len());
        let limits_of_node = self
            .limits
            .as_ref()
            .map(|l| l.node_limits(nodes, &self.config.teams, now));
        let n = &mut self.nodes[i];
        n.limits_of_node = limits_of_node;
        n.up = true;
        n.process += 1;
        n.leadership = None;
        n.takeover_not_before = self.now + SUPPORT_DURATION.with_drift();
        n.campaign_not_before = Micros::ZERO;
        n.open_campaign = None;
        n.acquired_lease = None;
        n.pending_campaigns = 0;
        n.cancellation_log = CancellationLog::new(CANCELLATION_LOG_CAPACITY);
        n.terminal_states.clear();
        n.store_latency = StoreLatency::default();
        let p = n.process;
        self.read_start_revision(i, p);
        let wait = Micros(self.random(1_000, 100_000));
        self.timer(i, wait, move |w| w.campaign(i, p, true));
        if self.limits.is_some() {
            self.gossip_queue(i, p);
        }
    }

    /// Ends a node's process; another one starts after `back`.
    pub fn crash_node(&mut self, i: usize, back: Micros) {
        let n = &mut self.nodes[i];
        n.up = false;
        n.leadership = None;
        n.process += 1;
        self.paused_nodes.remove(&i);
        self.log(|| format!("node {i} crashes"));
        self.after(back, move |w| w.start_node(i));
    }

    /// Reads the revision at which the process began: former processes may have confirmed cancellations before it.
    fn read_start_revision(&mut self, i: usize, process: u64) {
        if !self.alive(i, process) {
            return;
        }
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) {
                return w.after(Micros::from_millis(500), move |w| {
                    w.read_start_revision(i, process)
                });
            }
            let revision = ModRevision(w.kv_store.revision);
            w.send(Host::KvStore, Host::Node(i), move |w| {
                if w.alive(i, process) {
                    w.nodes[i].cancellation_log.started_before(revision);
                }
            });
        });
    }

    /// The process is still the node's current one.
    pub(crate) fn alive(&self, i: usize, process: u64) -> bool {
        self.nodes[i].up && self.nodes[i].process == process
    }

    /// The node leads, and its leader lease is valid.
    pub(super) fn lease_is_valid(&self, i: usize) -> bool {
        self.nodes[i]
            .leadership
            .as_ref()
            .is_some_and(|l| l.leader_lease.is_valid(self.now))
    }

    /// What the process knows as the leader; `None` if it doesn't lead or is gone.
    pub(crate) fn leadership(&mut self, i: usize, process: u64) -> Option<&mut Leadership> {
        if !self.alive(i, process) {
            return None;
        }
        self.nodes[i].leadership.as_mut()
    }
}
