//! What the routines of one controller node share.

use crate::api::admission::AdmissionController;
use crate::cloud::Cloud;
use crate::leadership::lease_support::LeaseSupport;
use crate::peers::client::PeerClients;
use crate::peers::heartbeat_relay::HeartbeatRelay;
use crate::store::client::KvClient;
use crate::store::read_index::Replica;
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
use hopyoke_types::Micros;
use hopyoke_workflow::{Engine, Limits};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tracing::debug;

pub struct Node {
    pub settings: Settings,
    /// The operators' own settings.
    pub policy: Policy,
    pub config: SchedulerConfig,
    pub state: KvClient,
    pub admission: AdmissionController,
    pub cloud: Cloud,
    pub catalog: RefCell<Vec<MachineType>>,
    /// The node that leads, as last seen.
    pub leader: RefCell<Option<String>>,
    /// Set while this node leads.
    pub leadership: RefCell<Option<Rc<Leadership>>>,
    /// What this node promises its peers.
    pub lease_support: LeaseSupport,
    pub terminal_states: TerminalStateCache,
    pub peers: PeerClients,
    /// Users' and workers' connections that are open.
    pub open: OpenConnections,
    /// Where workers' reports go.
    pub routes: RefCell<Routes>,
    pub heartbeat_relay: HeartbeatRelay,
    /// Until then this process counts as behind on its processor.
    pub behind_until: Cell<Micros>,
    /// Runs of workflows, if this node takes part.
    pub flows: Option<Flows>,
    pub cancel: CancellationToken,
}

/// What a node has to carry runs of workflows.
pub struct Flows {
    pub engine: RefCell<Engine>,
    /// Rung when the engine has something to do.
    pub wakeup: Notify,
    /// The lease on which this node's grants are.
    pub lease: Cell<Option<u64>>,
    /// Actions under way.
    pub busy: Cell<usize>,
    /// Plan pages may be written again from then on.
    pub pages_from: Cell<Micros>,
}

/// What a leading node has.
pub struct Leadership {
    pub scheduler: RefCell<Scheduler>,
    /// How long we may command workers.
    pub leader_lease: Rc<RefCell<LeaderLease>>,
    /// Whether workers reach us.
    pub heartbeat_monitor: RefCell<HeartbeatMonitor>,
    /// Rung when the core has changed.
    pub wakeup: Notify,
    /// Rung when something is to be written.
    pub write_wakeup: Notify,
    pub cancel: CancellationToken,
    /// Polls that wait until the core is known to follow the records.
    pub replica: Replica,
    /// How far we have the peers' accounts of cancellations.
    pub delivered: RefCell<DeliveryCursors>,
    /// What plans have cost since `plans_from`, and the share of what they might have.
    pub plan_cost: Cell<Micros>,
    pub plans_from: Cell<Micros>,
    pub plans_may: f64,
}

/// Plans of a process that is behind take this much of what they may.
const PLANS_WHEN_BEHIND: f64 = 0.4;

impl Leadership {
    /// The share of this node's processor share that plans took since this was last asked.
    pub fn plan_busy(&self) -> f64 {
        let now = runtime::now();
        let span = (now - self.plans_from.replace(now)).as_secs_f64().max(1e-3);
        self.plan_cost.replace(Micros::ZERO).as_secs_f64() / (span * self.plans_may.max(1e-3))
    }

    /// We may command workers, and renew their leases. Past our lease another node may lead;
    /// without news of cancellations we must not keep tasks alive. (Guards `ran_twice` and
    /// `ran_cancelled`.)
    pub fn lease_is_valid(&self) -> bool {
        self.leader_lease.borrow().is_valid(runtime::now()) && !self.cancel.is_cancelled()
    }

    /// Waits until the core is known to include all that was written before now; false: nobody can say so in
    /// time, or we lead no more. (Whoever asks for the reads that wait ends with our leadership: without this
    /// they would wait for ever, each with its user's connection.)
    pub async fn is_current(&self) -> bool {
        self.cancel.run(self.replica.current()).await == Some(true)
    }

    /// Does something with the core that may make a plan, and has the time between plans follow
    /// from what that cost: a part (`plan_share`) of the processor's share may go to plans.
    pub fn planning<T>(
        &self,
        node: &Node,
        scheduler: &mut Scheduler,
        f: impl FnOnce(&mut Scheduler) -> T,
    ) -> T {
        let (plans, began) = (scheduler.plans(), runtime::now());
        let out = f(scheduler);
        if scheduler.plans() != plans {
            let cost = runtime::now() - began;
            self.plan_cost.set(self.plan_cost.get() + cost);
            debug!(
                cost_us = cost.0,
                machines = scheduler.machines.len(),
                jobs = scheduler.jobs.len(),
                "plan"
            );
            // A process that is behind hears its machines first.
            let part = if node.is_behind() {
                PLANS_WHEN_BEHIND
            } else {
                1.0
            };
            let share = node.settings.facts.limits.cpu_share * scheduler.tuning.plan_share * part;
            scheduler.plan_cost(cost, share);
        }
        out
    }
}

impl Node {
    /// `flows`: what runs of workflows may take, if this node is to carry them.
    pub fn new(settings: Settings, policy: Policy, flows: Option<Limits>) -> Node {
        let flows = flows.map(|limits| {
            let peers = settings.peers.iter().map(|p| p.node.clone());
            let nodes = peers.chain([settings.node.clone()]).collect();
            let ops = settings.facts.state.txn_ops as usize;
            let engine = Engine::new(
                limits,
                &settings.node,
                nodes,
                ops,
                rand::random(),
                runtime::now(),
            );
            Flows {
                engine: RefCell::new(engine),
                wakeup: Notify::default(),
                lease: Cell::new(None),
                busy: Cell::new(0),
                pages_from: Cell::new(Micros::ZERO),
            }
        });
        let bounds = |per_second| SharedLimit {
            per_second,
            nodes: settings.facts.nodes,
        };
        Node {
            flows,
            config: SchedulerConfig::of(&settings),
            state: KvClient::new(settings.endpoints.state, bounds(settings.facts.state.rps)),
            admission: AdmissionController::new(
                bounds(settings.facts.state.write_rps),
                &SchedulerConfig::of(&settings).teams,
            ),
            cloud: Cloud::new(settings.endpoints.cloud, settings.facts.cloud.rps),
            catalog: RefCell::default(),
            leader: RefCell::default(),
            leadership: RefCell::default(),
            lease_support: LeaseSupport::of_new_process(),
            terminal_states: TerminalStateCache::default(),
            peers: PeerClients::new(&settings.peers),
            open: OpenConnections::default(),
            routes: RefCell::new(Routes::new(settings.peers.len())),
            heartbeat_relay: HeartbeatRelay::default(),
            behind_until: Cell::new(Micros::ZERO),
            cancel: CancellationToken::new(),
            settings,
            policy,
        }
    }

    /// This process woke late of late.
    pub fn is_behind(&self) -> bool {
        runtime::now() < self.behind_until.get()
    }

    /// Users' and workers' connections at once: the rest of the sockets is for the state service, the
    /// cloud, orders to workers and the mesh.
    pub fn most_connections(&self) -> u64 {
        self.settings.facts.limits.max_connections as u64 * 3 / 4
    }

    pub fn leadership(&self) -> Option<Rc<Leadership>> {
        self.leadership.borrow().clone()
    }
}
