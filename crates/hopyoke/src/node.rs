//! State shared by the background tasks of one controller node.

use crate::api::admission::AdmissionController;
use crate::cloud::CloudClient;
use crate::leadership::candidacy::Candidacy;
use crate::leadership::lease_support::LeaseSupport;
use crate::peers::client::PeerClients;
use crate::peers::heartbeat_relay::HeartbeatRelay;
use crate::store::client::KvClient;
use crate::store::read_index::WaitingReads;
use crate::store::records::BackgroundLookups;
use crate::store::terminal_states::TerminalStateCache;
use hopyoke_admission::SharedLimit;
use hopyoke_consistency::DeliveryCursors;
use hopyoke_consistency::leader_lease::LeaderLease;
use hopyoke_event_loop::http::OpenConnections;
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_heartbeat::{HeartbeatMonitor, Routes};
use hopyoke_policy::Policy;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_scheduler::{Scheduler, SchedulerConfig};
use hopyoke_settings::Settings;
use hopyoke_types::{JobId, Micros};
use hopyoke_workflow::{Engine, Limits};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::debug;

/// State of one controller node.
pub(crate) struct Node {
    /// The platform's settings.
    pub(crate) settings: Settings,
    /// The operators' settings.
    pub(crate) policy: Policy,
    pub(crate) config: SchedulerConfig,
    /// Client of the key-value store.
    pub(crate) store: KvClient,
    pub(crate) admission: AdmissionController,
    pub(crate) cloud: CloudClient,
    /// Machine types offered by the cloud, as last read.
    pub(crate) catalog: RefCell<Vec<MachineType>>,
    /// Name of the leading node, as last observed.
    pub(crate) leader: RefCell<Option<String>>,
    /// Set while this node leads.
    pub(crate) leadership: RefCell<Option<Rc<Leadership>>>,
    /// State of this node in elections.
    pub(crate) candidacy: RefCell<Candidacy>,
    /// Support that this node grants to a peer's leader lease.
    pub(crate) lease_support: LeaseSupport,
    pub(crate) terminal_states: TerminalStateCache,
    /// Jobs whose records are being read for the next poll.
    pub(crate) background_lookups: BackgroundLookups,
    pub(crate) peers: PeerClients,
    /// Open connections of users and agents.
    pub(crate) open_connections: OpenConnections,
    /// Routing of agents' heartbeats.
    pub(crate) routes: RefCell<Routes>,
    pub(crate) heartbeat_relay: HeartbeatRelay,
    /// End of the time for which the processor of this node counts as overloaded, after a timer fired late.
    pub(crate) cpu_overloaded_until: Cell<Micros>,
    /// Execution of workflows, if this node takes part in it.
    pub(crate) workflows: Option<WorkflowExecution>,
    /// Ends all background tasks of the node.
    pub(crate) cancel: CancellationToken,
}

/// State of the execution of workflow runs on this node.
pub(crate) struct WorkflowExecution {
    pub(crate) engine: RefCell<Engine>,
    /// Notified when the engine has work.
    pub(crate) wakeup: Notify,
    /// Lease to which this node's claims on runs are attached.
    pub(crate) lease: Cell<Option<u64>>,
    /// Number of actions in progress.
    pub(crate) running_actions: Cell<usize>,
    /// Earliest time at which further pages of a plan may be written.
    pub(crate) next_plan_write_at: Cell<Micros>,
}

impl WorkflowExecution {
    fn new(settings: &Settings, limits: Limits) -> WorkflowExecution {
        let peers = settings.peers.iter().map(|p| p.node.clone());
        let nodes = peers.chain([settings.node.clone()]).collect();
        let engine = Engine::new(
            limits,
            &settings.node,
            nodes,
            settings.platform.store.max_txn_mutations as usize,
            rand::random(),
            runtime::now(),
        );
        WorkflowExecution {
            engine: RefCell::new(engine),
            wakeup: Notify::default(),
            lease: Cell::new(None),
            running_actions: Cell::new(0),
            next_plan_write_at: Cell::new(Micros::ZERO),
        }
    }
}

/// State of a leading node, for one term.
pub(crate) struct Leadership {
    pub(crate) scheduler: RefCell<Scheduler>,
    /// Tracks whether this node may command agents.
    pub(crate) leader_lease: Rc<RefCell<LeaderLease>>,
    /// Tracks whether agents' heartbeats reach this node.
    pub(crate) heartbeat_monitor: RefCell<HeartbeatMonitor>,
    /// Notified when the scheduler has changed.
    pub(crate) wakeup: Notify,
    /// Notified when records are to be written.
    pub(crate) write_wakeup: Notify,
    /// Ends all background tasks of the term.
    pub(crate) cancel: CancellationToken,
    /// Reads that wait until the scheduler is known to include all earlier writes.
    pub(crate) waiting_reads: WaitingReads,
    /// Reads that wait for confirmation by the peers instead, while the key-value store is too slow for their time
    /// limit.
    pub(crate) peer_confirmed_reads: WaitingReads,
    /// Positions in the peers' cancellation logs.
    pub(crate) delivery_cursors: RefCell<DeliveryCursors>,
    placement_cost: PlacementCost,
}

/// Processor time spent on placement cycles.
struct PlacementCost {
    spent: Cell<Micros>,
    /// Time of the last call of [`PlacementCost::take_utilization`].
    since: Cell<Micros>,
    /// This node's share of its processor, from 0 to 1.
    cpu_share: f64,
}

impl PlacementCost {
    /// Returns the fraction of the node's processor share that was spent since the last call.
    fn take_utilization(&self) -> f64 {
        let now = runtime::now();
        let span = (now - self.since.replace(now)).as_secs_f64().max(1e-3);
        self.spent.replace(Micros::ZERO).as_secs_f64() / (span * self.cpu_share.max(1e-3))
    }
}

/// Factor on the processor share of placement cycles while the processor is overloaded.
const PLACEMENT_SHARE_FACTOR_WHEN_CPU_OVERLOADED: f64 = 0.4;

impl Leadership {
    /// Creates the state of a term that begins now, with the scheduler as built from the records.
    pub(crate) fn new(
        node: &Node,
        scheduler: Scheduler,
        leader_lease: Rc<RefCell<LeaderLease>>,
        cancel: CancellationToken,
        now: Micros,
    ) -> Leadership {
        Leadership {
            scheduler: RefCell::new(scheduler),
            leader_lease,
            heartbeat_monitor: RefCell::new(HeartbeatMonitor::new(
                node.config.heartbeat_interval,
                node.settings.platform.nodes,
                now,
            )),
            wakeup: Notify::default(),
            write_wakeup: Notify::default(),
            cancel,
            waiting_reads: WaitingReads::default(),
            peer_confirmed_reads: WaitingReads::default(),
            delivery_cursors: RefCell::new(DeliveryCursors::new(node.peers.all().len())),
            placement_cost: PlacementCost {
                spent: Cell::new(Micros::ZERO),
                since: Cell::new(now),
                cpu_share: node.settings.platform.limits.cpu_cores,
            },
        }
    }

    /// Returns the fraction of this node's processor share that placement cycles took since the last call. It may
    /// exceed 1.
    pub(crate) fn take_placement_utilization(&self) -> f64 {
        self.placement_cost.take_utilization()
    }

    /// Returns whether this node may command agents and renew their leases. After the leader lease has expired
    /// another node may lead, and without received cancellations leases must not be renewed. Guards the invariants
    /// `ran_twice` and `ran_cancelled`.
    pub(crate) fn lease_is_valid(&self) -> bool {
        self.leader_lease.borrow().is_valid(runtime::now()) && !self.cancel.is_cancelled()
    }

    /// Waits until the scheduler is known to include all writes that preceded this call. Returns false if that is not
    /// known by `deadline` or the term ends. The queries for pending reads end with the term, so a read that outlived
    /// it would wait forever and hold its user's connection.
    pub(crate) async fn wait_until_current(&self, deadline: Micros) -> bool {
        self.cancel
            .run(self.waiting_reads.wait_until_current(deadline))
            .await
            == Some(true)
    }

    /// Waits until all peers have confirmed, by messages sent after this call, which cancellations they have recorded.
    /// Returns false if that is not known by `deadline` or the term ends.
    ///
    /// A job that the scheduler then reports as unfinished is unfinished for every user, without a read of the store:
    ///
    /// - No response to a user has reported it as done. Only the leader records that, this node's lease was valid
    ///   until the peers had answered, its scheduler has tasks of the job that are not done, and the failover read
    ///   what an earlier leader recorded.
    /// - No response to a user has reported it as cancelled. Each node logs a cancellation before it responds to the
    ///   user, and a peer whose log may lack some, because it was restarted since, confirms nothing.
    ///
    /// Guards the invariant `went_back`.
    pub(crate) async fn wait_until_confirmed(&self, deadline: Micros) -> bool {
        self.cancel
            .run(self.peer_confirmed_reads.wait_until_current(deadline))
            .await
            == Some(true)
    }

    /// Returns whether the job is unfinished in this leader's scheduler and its end is not being recorded.
    pub(crate) fn has_unfinished(&self, id: &JobId) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.jobs.get(id).is_some_and(|job| !job.is_finished())
    }

    /// Runs a step of the scheduler that may include a placement cycle, and reports the cost of the cycle to the
    /// scheduler. The interval between cycles follows from their cost, so that they take at most the fraction
    /// `plan_share` of the node's processor share.
    pub(crate) fn track_placement_cost<T>(
        &self,
        node: &Node,
        scheduler: &mut Scheduler,
        step: impl FnOnce(&mut Scheduler) -> T,
    ) -> T {
        let (cycles_before, started_at) = (scheduler.cycles(), runtime::now());
        let result = step(scheduler);
        if scheduler.cycles() != cycles_before {
            let cost = runtime::now() - started_at;
            self.placement_cost
                .spent
                .set(self.placement_cost.spent.get() + cost);
            debug!(
                cost_us = cost.0,
                machines = scheduler.machines.len(),
                jobs = scheduler.jobs.len(),
                "placement cycle completed"
            );
            // While the processor is overloaded, heartbeats have priority.
            let factor = if node.is_cpu_overloaded() {
                PLACEMENT_SHARE_FACTOR_WHEN_CPU_OVERLOADED
            } else {
                1.0
            };
            let share =
                node.settings.platform.limits.cpu_cores * scheduler.tuning.plan_share * factor;
            scheduler.record_cycle_cost(cost, share);
        }
        result
    }
}

impl Node {
    /// Creates the state of a node that starts now. `workflow_limits` are the limits of workflow runs, or `None` if
    /// this node does not execute any.
    pub(crate) fn new(settings: Settings, policy: Policy, workflow_limits: Option<Limits>) -> Node {
        let workflows = workflow_limits.map(|limits| WorkflowExecution::new(&settings, limits));
        let limit = |per_second| SharedLimit {
            per_second,
            nodes: settings.platform.nodes,
        };
        Node {
            workflows,
            config: SchedulerConfig::from_settings(&settings),
            store: KvClient::new(
                settings.endpoints.store,
                limit(settings.platform.store.max_requests_per_s),
                settings.leader_lease_ttl(),
            ),
            admission: AdmissionController::new(
                limit(settings.platform.store.max_writes_per_s),
                &SchedulerConfig::from_settings(&settings).teams,
            ),
            cloud: CloudClient::new(
                settings.endpoints.cloud,
                settings.platform.cloud.max_requests_per_s,
            ),
            catalog: RefCell::default(),
            leader: RefCell::default(),
            leadership: RefCell::default(),
            candidacy: RefCell::new(Candidacy::Starting),
            lease_support: LeaseSupport::for_new_process(),
            terminal_states: TerminalStateCache::default(),
            background_lookups: BackgroundLookups::default(),
            peers: PeerClients::new(&settings.peers),
            open_connections: OpenConnections::default(),
            routes: RefCell::new(Routes::new(settings.peers.len())),
            heartbeat_relay: HeartbeatRelay::default(),
            cpu_overloaded_until: Cell::new(Micros::ZERO),
            cancel: CancellationToken::new(),
            settings,
            policy,
        }
    }

    /// Returns whether this process was recently scheduled too late by its processor.
    pub(crate) fn is_cpu_overloaded(&self) -> bool {
        runtime::now() < self.cpu_overloaded_until.get()
    }

    /// Returns the maximum number of open connections of users and agents. The remaining sockets are reserved for the
    /// key-value store, the cloud, commands pushed to agents, and peers.
    pub(crate) fn max_open_connections(&self) -> u64 {
        self.settings.platform.limits.max_connections as u64 * 3 / 4
    }

    /// Sets the state of this node in elections.
    pub(crate) fn set_candidacy(&self, candidacy: Candidacy) {
        *self.candidacy.borrow_mut() = candidacy;
    }

    /// Returns the state of this node's term, or `None` if it does not lead.
    pub(crate) fn leadership(&self) -> Option<Rc<Leadership>> {
        self.leadership.borrow().clone()
    }
}
