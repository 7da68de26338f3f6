//! A controller node: what its routines share, and how they are started.

use crate::cloud::Cloud;
use crate::core::{Config, Core};
use crate::entitlement::{Entitlement, PROMISE};
use crate::http::{self, Limits, Request, Response};
use crate::ids::JobId;
use crate::mesh::{self, Links};
use crate::runtime::{self, Bell, Cancel, TcpListener};
use crate::settings::Settings;
use crate::state::State;
use crate::time::Micros;
use crate::wire::cloud::MachineType;
use crate::{api, lead, workers};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tracing::{debug, info};

pub struct Node {
    pub settings: Settings,
    pub config: Config,
    pub state: State,
    pub cloud: Cloud,
    pub catalog: RefCell<Vec<MachineType>>,
    /// The node that leads, as last seen.
    pub leader: RefCell<Option<String>>,
    /// Set while this node leads.
    pub leading: RefCell<Option<Rc<Leading>>>,
    /// What this node promises its peers.
    pub promises: Promises,
    pub finals: api::Finals,
    pub links: Links,
    pub cancel: Cancel,
}

/// What peers may rely on while the state service refuses everybody; see [`crate::entitlement`].
pub struct Promises {
    /// Tells this process from its predecessors and successors.
    pub process: u64,
    /// This process promised not to try to lead before this.
    until: Cell<Micros>,
    /// The process before it may have promised as much.
    inherited_until: Micros,
    /// It leads or tries to, or a try may still succeed late: it can't promise.
    pub leads: Cell<bool>,
    /// Jobs of which users were told here, of late, that they are cancelled.
    cancelled: RefCell<VecDeque<(Micros, JobId)>>,
}

impl Promises {
    /// What a former process promised is forgotten, so all that it can have promised is kept.
    fn new() -> Promises {
        Promises {
            process: rand::random(),
            until: Cell::new(Micros::ZERO),
            inherited_until: runtime::now() + PROMISE.with_drift(),
            leads: Cell::new(false),
            cancelled: RefCell::default(),
        }
    }

    /// This node must not try to lead before this. If its former process still holds the lead, that
    /// had no promise open.
    pub fn kept_until(&self, own_former: bool) -> Micros {
        if own_former { self.until.get() } else { self.until.get().max(self.inherited_until) }
    }

    /// Remembers a cancellation until any leader must have heard of it from the state service.
    pub fn note_cancelled(&self, job: &JobId) {
        let now = runtime::now();
        let mut cancelled = self.cancelled.borrow_mut();
        cancelled.push_back((now, job.clone()));
        while cancelled.front().is_some_and(|(t, _)| now > *t + Micros::from_secs(60)) || cancelled.len() > 1000 {
            cancelled.pop_front();
        }
    }

    pub fn cancelled(&self) -> Vec<String> {
        self.cancelled.borrow().iter().map(|(_, id)| id.to_string()).collect()
    }

    /// Promises not to lead, if that can be kept; for how long.
    pub fn promise(&self) -> Option<Micros> {
        if self.leads.get() {
            return None;
        }
        self.until.set(self.until.get().max(runtime::now() + PROMISE.with_drift()));
        Some(PROMISE)
    }
}

/// What a leading node has.
pub struct Leading {
    pub core: RefCell<Core>,
    /// How long we may command workers.
    pub right: Rc<RefCell<Entitlement>>,
    /// When a worker last reported to us.
    pub last_report: Cell<Micros>,
    /// Rung when the core has changed.
    pub bell: Bell,
    /// Rung when something is to be written.
    pub write_bell: Bell,
    pub cancel: Cancel,
}

impl Leading {
    /// We may command workers, and renew their leases. Past our lease another node may lead;
    /// without news of cancellations we must not keep tasks alive. (Guards `ran_twice` and
    /// `ran_cancelled`.)
    pub fn entitled(&self) -> bool {
        self.right.borrow().holds(runtime::now()) && !self.cancel.is_cancelled()
    }

    /// Does something with the core that may make a plan, and has the time between plans follow
    /// from what that cost: a third of the processor's share may go to plans.
    pub fn planning<T>(&self, node: &Node, core: &mut Core, f: impl FnOnce(&mut Core) -> T) -> T {
        let (plans, began) = (core.plans(), runtime::now());
        let out = f(core);
        if core.plans() != plans {
            let cost = runtime::now() - began;
            debug!(cost_us = cost.0, machines = core.machines.len(), jobs = core.jobs.len(), "plan");
            core.plan_cost(cost, node.settings.facts.limits.cpu_share / 3.0);
        }
        out
    }
}

impl Node {
    pub fn new(settings: Settings) -> Node {
        Node {
            config: Config::of(&settings),
            state: State::new(settings.endpoints.state),
            cloud: Cloud::new(settings.endpoints.cloud, settings.facts.cloud.rps),
            catalog: RefCell::default(),
            leader: RefCell::default(),
            leading: RefCell::default(),
            promises: Promises::new(),
            finals: api::Finals::default(),
            links: Links::new(&settings.peers),
            cancel: Cancel::new(),
            settings,
        }
    }

    pub fn leading(&self) -> Option<Rc<Leading>> {
        self.leading.borrow().clone()
    }
}

/// Serves until the process ends.
pub fn serve(settings: Settings) -> io::Result<()> {
    let listen = settings.listen;
    let failed = Rc::new(RefCell::new(None));
    let failure = failed.clone();
    runtime::run(async move {
        let listener = match TcpListener::bind(listen) {
            Ok(l) => l,
            Err(e) => {
                *failure.borrow_mut() = Some(e);
                return;
            }
        };
        let node = Rc::new(Node::new(settings));
        info!(node = %node.settings.node, zone = %node.settings.zone, "serving");
        runtime::spawn_until(node.cancel.clone(), keep_catalog(node.clone()));
        runtime::spawn_until(node.cancel.clone(), lead::run(node.clone()));
        runtime::spawn_until(node.cancel.clone(), mesh::serve(node.clone()));
        for peer in 0..node.links.0.len() {
            runtime::spawn_until(node.cancel.clone(), mesh::greet(node.clone(), peer));
        }
        runtime::spawn_until(node.cancel.clone(), probe_state(node.clone()));
        let limits = Limits {
            // Leave sockets for the state service, the cloud, workers and the mesh.
            connections: node.settings.facts.limits.max_connections * 3 / 4,
            idle: Micros::from_secs(90),
            request: Micros::from_secs(10),
        };
        let handler = {
            let node = node.clone();
            Rc::new(move |request: Request| {
                let node = node.clone();
                Box::pin(async move { route(&node, request).await }) as _
            })
        };
        http::serve(listener, limits, node.cancel.clone(), handler).await;
    })?;
    match failed.take() {
        Some(e) => Err(io::Error::new(e.kind(), format!("serve_on {listen}: {e}"))),
        None => Ok(()),
    }
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    match path {
        "/healthz" => api::healthz(node, &request),
        "/hello" => workers::report(node, &request),
        _ => match path.strip_prefix("/api/jobs") {
            Some(rest) => api::jobs(node, rest, &request).await,
            None => Response::empty(404),
        },
    }
}

/// Keeps knowing whether the state service answers, when nothing else asks it.
async fn probe_state(node: Rc<Node>) {
    let every = Micros::from_secs(1);
    loop {
        if runtime::now() > node.state.last_answer() + every {
            let _ = node.state.get::<serde::de::IgnoredAny>(crate::state::LEADER).await;
        }
        runtime::sleep(every).await;
    }
}

/// Every node needs the machine types to tell which jobs can run.
async fn keep_catalog(node: Rc<Node>) {
    loop {
        let got = node.cloud.catalog().await;
        let pause = match got {
            Some(types) if !types.is_empty() => {
                if let Some(l) = node.leading() {
                    l.core.borrow_mut().set_catalog(types.clone());
                    l.bell.ring();
                }
                *node.catalog.borrow_mut() = types;
                Micros::from_secs(60)
            }
            _ => {
                debug!("no catalog");
                Micros::from_secs(2)
            }
        };
        runtime::sleep(pause).await;
    }
}
