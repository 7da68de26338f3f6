//! A controller node's routines, and how they are started.

use crate::agents::heartbeats;
use crate::api::jobs;
use crate::leadership::election;
use crate::node::Node;
use crate::operations::settings;
use crate::peers::heartbeat_relay;
use crate::peers::server;
use crate::store::records;
use crate::workflows::runner;
use hopyoke_event_loop::http::{self, Request, Response, ServerLimits};
use hopyoke_event_loop::{self as runtime, TcpListener};
use hopyoke_policy::{Figures, Policy};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use tracing::{debug, info};

/// Serves until the process ends.
pub fn serve(settings: Settings, policy: Policy) -> io::Result<()> {
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
        let values = policy.evaluate(&Figures::default());
        let flow_limits = values
            .boolean("flows")
            .then(|| settings::flow_limits(&values, &settings));
        let node = Rc::new(Node::new(settings, policy, flow_limits));
        let cancelled_gone_s = node.settings.cancellation_bound().total().as_secs_f64();
        info!(node = %node.settings.node, zone = %node.settings.zone, cancelled_gone_s, "serving");
        runtime::spawn_until(node.cancel.clone(), keep_catalog(node.clone()));
        runtime::spawn_until(node.cancel.clone(), election::run(node.clone()));
        runtime::spawn_until(
            node.cancel.clone(),
            records::read_start_revision(node.clone()),
        );
        runtime::spawn_until(node.cancel.clone(), server::serve(node.clone()));
        for peer in 0..node.peers.all().len() {
            runtime::spawn_until(node.cancel.clone(), server::greet(node.clone(), peer));
        }
        runtime::spawn_until(node.cancel.clone(), probe_state(node.clone()));
        runtime::spawn_until(node.cancel.clone(), heartbeat_relay::run(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_hearing(node.clone()));
        runner::start(&node);
        // Leave sockets for the state service, the cloud, workers and the mesh.
        let connections = node.max_open_connections() as usize;
        let limits = ServerLimits {
            max_connections: connections,
            max_persistent_connections: connections * 9 / 10,
            idle_timeout: Micros::from_secs(90),
            request_timeout: Micros::from_secs(10),
            max_body_bytes: 64 * 1024,
        };
        let handler = {
            let node = node.clone();
            Rc::new(move |request: Request| {
                let node = node.clone();
                Box::pin(async move { route(&node, request).await }) as _
            })
        };
        http::serve(
            listener,
            limits,
            node.open_connections.clone(),
            node.cancel.clone(),
            handler,
        )
        .await;
    })?;
    match failed.take() {
        Some(e) => Err(io::Error::new(e.kind(), format!("serve_on {listen}: {e}"))),
        None => Ok(()),
    }
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    match path {
        "/healthz" => jobs::healthz(node, &request),
        "/hello" => heartbeats::serve(node, request).await,
        _ => match jobs::below_jobs(&request.path) {
            Some(rest) => jobs::jobs(node, rest, &request).await,
            None => Response::empty(404),
        },
    }
}

/// Keeps knowing whether the state service answers, when nothing else asks it.
async fn probe_state(node: Rc<Node>) {
    let every = Micros::from_secs(1);
    loop {
        if runtime::now() > node.store.last_answer_at() + every {
            let _ = node
                .store
                .background()
                .get::<serde::de::IgnoredAny>(crate::store::keys::LEADER)
                .await;
        }
        runtime::sleep(every).await;
    }
}

/// Watches how far this process is behind, and whether workers find room: a leader that can't hear all
/// its machines must not take their silence for theirs.
async fn watch_hearing(node: Rc<Node>) {
    let every = Micros::from_millis(250);
    loop {
        let due = runtime::now() + every;
        runtime::sleep_until(due).await;
        let now = runtime::now();
        if now > due + BEHIND {
            node.behind_until.set(now + BEHIND_FOR);
        }
        if (now > due + BEHIND || node.open_connections.count() >= node.max_open_connections())
            && let Some(leadership) = node.leadership()
        {
            leadership
                .scheduler
                .borrow_mut()
                .set_receive_overloaded(now);
        }
    }
}

/// A process that wakes so much later than it wanted is behind on its processor. (Three times as late, still well below
/// the 4 s after which workers drop answers, was too late to notice: at six times heirloomlane-fleet's size 17,981
/// attempts were killed by their lease instead of none.)
const BEHIND: Micros = Micros::from_millis(400);
/// ... and counts as behind for so long.
const BEHIND_FOR: Micros = Micros::from_secs(20);

/// Every node needs the machine types to tell which jobs can run.
async fn keep_catalog(node: Rc<Node>) {
    loop {
        let got = node.cloud.catalog().await;
        let pause = match got {
            Some(types) if !types.is_empty() => {
                if let Some(l) = node.leadership() {
                    l.scheduler.borrow_mut().set_catalog(types.clone());
                    l.wakeup.notify();
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
