//! The state that the routines of one controller node share.

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

/// One controller node.
pub(crate) struct Node {
    /// The platform's settings.
    pub(crate) settings: Settings,
    /// The operators' own settings.
    pub(crate) policy: Policy,
    pub(crate) config: SchedulerConfig,
    /// Client of the key-value store.
    pub(crate) store: KvClient,
    pub(crate) admission: AdmissionController,
    pub(crate) cloud: CloudClient,
    /// The machine types that the cloud offers, as last read.
    pub(crate) catalog: RefCell<Vec<MachineType>>,
    /// The leading node, as last observed.
    pub(crate) leader: RefCell<Option<String>>,
    /// Set while this node leads.
    pub(crate) leadership: RefCell<Option<Rc<Leadership>>>,
    /// Where this node stands in elections.
    pub(crate) candidacy: RefCell<Candidacy>,
    /// The support that this node grants to a peer's leader lease.
    pub(crate) lease_support: LeaseSupport,
    pub(crate) terminal_states: TerminalStateCache,
    /// Jobs whose records are read for the next poll.
    pub(crate) background_lookups: BackgroundLookups,
    pub(crate) peers: PeerClients,
    /// Open connections of users and agents.
    pub(crate) open_connections: OpenConnections,
    /// Where agents' heartbeats are routed.
    pub(crate) routes: RefCell<Routes>,
    pub(crate) heartbeat_relay: HeartbeatRelay,
    /// Until then this process counts as behind: it got its processor too late.
    pub(crate) lagging_until: Cell<Micros>,
    /// Execution of workflows, if this node takes part in it.
    pub(crate) workflows: Option<WorkflowExecution>,
    /// Ends all routines of the node.
    pub(crate) cancel: CancellationToken,
}

/// What a node needs to execute runs of workflows.
pub(crate) struct WorkflowExecution {
    pub(crate) engine: RefCell<Engine>,
    /// Notified when the engine has something to do.
    pub(crate) wakeup: Notify,
    /// The lease that this node's claims on runs are attached to.
    pub(crate) lease: Cell<Option<u64>>,
    /// Actions being performed.
    pub(crate) running_actions: Cell<usize>,
    /// When the next pages of a plan may be written.
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
            settings.facts.state.txn_ops as usize,
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

/// The state of a leading node, for one term.
pub(crate) struct Leadership {
    pub(crate) scheduler: RefCell<Scheduler>,
    /// How long this node may command agents.
    pub(crate) leader_lease: Rc<RefCell<LeaderLease>>,
    /// Whether agents' heartbeats reach this node.
    pub(crate) heartbeat_monitor: RefCell<HeartbeatMonitor>,
    /// Notified when the scheduler has changed.
    pub(crate) wakeup: Notify,
    /// Notified when records are to be written.
    pub(crate) write_wakeup: Notify,
    /// Ends all routines of the term.
    pub(crate) cancel: CancellationToken,
    /// Reads that wait until the scheduler is known to include all earlier writes.
    pub(crate) waiting_reads: WaitingReads,
    /// Reads that wait for the peers' word instead, while the key-value store is too slow for their users.
    pub(crate) peer_confirmed_reads: WaitingReads,
    /// How far the peers' cancellation logs have been received.
    pub(crate) delivery_cursors: RefCell<DeliveryCursors>,
    plan_cost: PlanCost,
}

/// The processor time that plans have taken.
struct PlanCost {
    spent: Cell<Micros>,
    /// When it was last reported.
    since: Cell<Micros>,
    /// This node's share of its processor, from 0 to 1.
    cpu_share: f64,
}

impl PlanCost {
    /// The part of the node's processor share that was spent since this was last called.
    fn take_utilization(&self) -> f64 {
        let now = runtime::now();
        let span = (now - self.since.replace(now)).as_secs_f64().max(1e-3);
        self.spent.replace(Micros::ZERO).as_secs_f64() / (span * self.cpu_share.max(1e-3))
    }
}

/// Plans of a process that is behind may take this part of what they otherwise may.
const PLAN_SHARE_WHEN_LAGGING: f64 = 0.4;

impl Leadership {
    /// The state of a term that begins now, with the scheduler as built from the records.
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
                node.settings.facts.nodes,
                now,
            )),
            wakeup: Notify::default(),
            write_wakeup: Notify::default(),
            cancel,
            waiting_reads: WaitingReads::default(),
            peer_confirmed_reads: WaitingReads::default(),
            delivery_cursors: RefCell::new(DeliveryCursors::new(node.peers.all().len())),
            plan_cost: PlanCost {
                spent: Cell::new(Micros::ZERO),
                since: Cell::new(now),
                cpu_share: node.settings.facts.limits.cpu_share,
            },
        }
    }

    /// The part of this node's processor share that plans took since this was last called, from 0 on.
    pub(crate) fn plan_utilization(&self) -> f64 {
        self.plan_cost.take_utilization()
    }

    /// This node may command agents, and renew their leases. Past the leader lease another node may lead;
    /// without news of cancellations tasks must not be kept alive. (Guards `ran_twice` and `ran_cancelled`.)
    pub(crate) fn lease_is_valid(&self) -> bool {
        self.leader_lease.borrow().is_valid(runtime::now()) && !self.cancel.is_cancelled()
    }

    /// Waits until the scheduler is known to include all that was written before now; false if that is not known by
    /// `deadline`, or the term ends. (The queries for waiting reads end with the term: reads that outlived it would wait
    /// for ever, each with its user's connection.)
    pub(crate) async fn wait_until_current(&self, deadline: Micros) -> bool {
        self.cancel
            .run(self.waiting_reads.wait_until_current(deadline))
            .await
            == Some(true)
    }

    /// Waits until all peers have confirmed, by messages sent after now, which cancellations they know of; false if that is
    /// not known by `deadline`.
    ///
    /// Then a job that the scheduler calls unfinished is so for every user, without a read of the store. Nobody has been
    /// told that it is done: only the leader records that, this node's lease was valid until the peers had answered, its
    /// scheduler has tasks of the job that are not done, and what a former leader recorded was read at the failover. Nobody
    /// has been told that it is cancelled: each node logs a cancellation before it tells of it, and a peer whose log may
    /// lack some, being restarted since, confirms nothing. (Guards `went_back`.)
    pub(crate) async fn wait_until_confirmed(&self, deadline: Micros) -> bool {
        self.cancel
            .run(self.peer_confirmed_reads.wait_until_current(deadline))
            .await
            == Some(true)
    }

    /// The job is unfinished by this leader's scheduler, and its end is not being recorded.
    pub(crate) fn has_unfinished(&self, id: &JobId) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.jobs.get(id).is_some_and(|job| !job.is_finished())
    }

    /// Runs a step of the scheduler that may make a plan, and reports to it what the plan cost: the time between
    /// plans follows from that, so that they take a part (`plan_share`) of the processor's share.
    pub(crate) fn track_plan_cost<T>(
        &self,
        node: &Node,
        scheduler: &mut Scheduler,
        step: impl FnOnce(&mut Scheduler) -> T,
    ) -> T {
        let (plans_before, started_at) = (scheduler.plans(), runtime::now());
        let result = step(scheduler);
        if scheduler.plans() != plans_before {
            let cost = runtime::now() - started_at;
            self.plan_cost.spent.set(self.plan_cost.spent.get() + cost);
            debug!(
                cost_us = cost.0,
                machines = scheduler.machines.len(),
                jobs = scheduler.jobs.len(),
                "plan made"
            );
            // A process that is behind serves heartbeats first.
            let factor = if node.is_lagging() {
                PLAN_SHARE_WHEN_LAGGING
            } else {
                1.0
            };
            let share = node.settings.facts.limits.cpu_share * scheduler.tuning.plan_share * factor;
            scheduler.plan_cost(cost, share);
        }
        result
    }
}

impl Node {
    /// A node that starts now. `workflow_limits`: what runs of workflows may take, if this node is to execute them.
    pub(crate) fn new(settings: Settings, policy: Policy, workflow_limits: Option<Limits>) -> Node {
        let workflows = workflow_limits.map(|limits| WorkflowExecution::new(&settings, limits));
        let limit = |per_second| SharedLimit {
            per_second,
            nodes: settings.facts.nodes,
        };
        Node {
            workflows,
            config: SchedulerConfig::of(&settings),
            store: KvClient::new(
                settings.endpoints.state,
                limit(settings.facts.state.rps),
                settings.leader_ttl(),
            ),
            admission: AdmissionController::new(
                limit(settings.facts.state.write_rps),
                &SchedulerConfig::of(&settings).teams,
            ),
            cloud: CloudClient::new(settings.endpoints.cloud, settings.facts.cloud.rps),
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
            lagging_until: Cell::new(Micros::ZERO),
            cancel: CancellationToken::new(),
            settings,
            policy,
        }
    }

    /// This process got its processor too late a short while ago.
    pub(crate) fn is_lagging(&self) -> bool {
        runtime::now() < self.lagging_until.get()
    }

    /// How many connections users and agents may have open: the rest of the sockets is for the key-value store, the
    /// cloud, commands pushed to agents, and peers.
    pub(crate) fn max_open_connections(&self) -> u64 {
        self.settings.facts.limits.max_connections as u64 * 3 / 4
    }

    /// Notes where this node stands in elections.
    pub(crate) fn set_candidacy(&self, candidacy: Candidacy) {
        *self.candidacy.borrow_mut() = candidacy;
    }

    /// The state of this node's term, while it leads.
    pub(crate) fn leadership(&self) -> Option<Rc<Leadership>> {
        self.leadership.borrow().clone()
    }
}
