//! Starts the background tasks of a controller node, and routes requests of users and agents.

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
use hopyoke_policy::{Metrics, Policy};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use tracing::{debug, info};

/// Runs a controller node until the process ends.
///
/// # Errors
/// The event loop could not be set up, or the listen address could not be bound.
pub fn serve(settings: Settings, policy: Policy) -> io::Result<()> {
    let listen = settings.listen;
    let bind_error = Rc::new(RefCell::new(None));
    let bind_error_slot = bind_error.clone();
    runtime::run(async move {
        let listener = match TcpListener::bind(listen) {
            Ok(l) => l,
            Err(e) => {
                *bind_error_slot.borrow_mut() = Some(e);
                return;
            }
        };
        let values = policy.evaluate(&Metrics::default());
        let workflow_limits = values
            .boolean("flows")
            .then(|| settings::workflow_limits(&values, &settings));
        let node = Rc::new(Node::new(settings, policy, workflow_limits));
        let cancelled_gone_s = node.settings.cancellation_bound().total().as_secs_f64();
        info!(node = %node.settings.node, zone = %node.settings.zone, cancelled_gone_s, "serving");
        start_background_tasks(&node);
        serve_requests(&node, listener).await;
    })?;
    match bind_error.take() {
        Some(e) => Err(io::Error::new(e.kind(), format!("serve_on {listen}: {e}"))),
        None => Ok(()),
    }
}

fn start_background_tasks(node: &Rc<Node>) {
    runtime::spawn_until(node.cancel.clone(), refresh_catalog(node.clone()));
    runtime::spawn_until(node.cancel.clone(), election::run(node.clone()));
    runtime::spawn_until(
        node.cancel.clone(),
        records::read_start_revision(node.clone()),
    );
    runtime::spawn_until(node.cancel.clone(), server::serve(node.clone()));
    for peer in 0..node.peers.all().len() {
        runtime::spawn_until(node.cancel.clone(), server::greet(node.clone(), peer));
    }
    runtime::spawn_until(node.cancel.clone(), probe_store(node.clone()));
    runtime::spawn_until(node.cancel.clone(), heartbeat_relay::run(node.clone()));
    runtime::spawn_until(node.cancel.clone(), detect_overload(node.clone()));
    runner::start(node);
}

/// Serves requests of users and agents, for as long as the node runs.
async fn serve_requests(node: &Rc<Node>, listener: TcpListener) {
    // The remaining sockets are reserved for the key-value store, the cloud, agents and peers.
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
}

async fn route(node: &Rc<Node>, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    match path {
        "/healthz" => jobs::healthz(node, &request),
        "/hello" => heartbeats::serve(node, request).await,
        _ => match jobs::path_below_jobs(&request.path) {
            Some(rest) => jobs::serve(node, rest, &request).await,
            None => Response::empty(404),
        },
    }
}

/// Probes the key-value store if no other request has been answered for a second.
async fn probe_store(node: Rc<Node>) {
    let interval = Micros::from_secs(1);
    loop {
        if runtime::now() > node.store.last_response_at() + interval {
            let _ = node
                .store
                .background()
                .get::<serde::de::IgnoredAny>(crate::store::keys::LEADER_KEY)
                .await;
        }
        runtime::sleep(interval).await;
    }
}

/// Detects that the processor is overloaded or that agents find no free connection. A leader that cannot receive all
/// heartbeats must not take missing ones for failed machines.
async fn detect_overload(node: Rc<Node>) {
    let interval = Micros::from_millis(250);
    loop {
        let due_at = runtime::now() + interval;
        runtime::sleep_until(due_at).await;
        let now = runtime::now();
        let is_late = now > due_at + MAX_WAKEUP_DELAY;
        if is_late {
            node.cpu_overloaded_until.set(now + CPU_OVERLOAD_DURATION);
        }
        if (is_late || node.open_connections.count() >= node.max_open_connections())
            && let Some(leadership) = node.leadership()
        {
            leadership
                .scheduler
                .borrow_mut()
                .set_receive_overloaded(now);
        }
    }
}

/// Delay of a timer above which the processor counts as overloaded. Well below the 4 s after which agents drop
/// responses: a later detection lets agents' leases expire. At very large fleets three times this delay is too late.
const MAX_WAKEUP_DELAY: Micros = Micros::from_millis(400);
/// Time for which the processor counts as overloaded after such a delay.
const CPU_OVERLOAD_DURATION: Micros = Micros::from_secs(20);

/// Keeps the machine types up to date. Every node needs them to decide which jobs can ever be scheduled.
async fn refresh_catalog(node: Rc<Node>) {
    loop {
        let pause = match node.cloud.catalog().await {
            Some(types) if !types.is_empty() => {
                if let Some(leadership) = node.leadership() {
                    leadership.scheduler.borrow_mut().set_catalog(types.clone());
                    leadership.wakeup.notify();
                }
                *node.catalog.borrow_mut() = types;
                Micros::from_secs(60)
            }
            _ => {
                debug!("failed to read machine types from the cloud");
                Micros::from_secs(2)
            }
        };
        runtime::sleep(pause).await;
    }
}
