//! Agents' heartbeats: answered by the leader, relayed or redirected by the other nodes.

use crate::agents::pushed_commands::log_starts;
use crate::node::{Leadership, Node};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_heartbeat::Route;
use hopyoke_protocol::worker::{Heartbeat, HeartbeatRedirect, HeartbeatResponse};
use hopyoke_protocol::{decode, encode};
use std::rc::Rc;
use tracing::warn;

/// Why the leader does not answer a heartbeat.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum HeartbeatError {
    /// The agent tries the next node.
    #[error("the leader lease is not valid")]
    LeaseNotValid,
    #[error("malformed heartbeat")]
    Malformed,
    /// Another node was granted a higher fencing token. The agent tries the next node.
    #[error("the agent has received a higher fencing token")]
    StaleToken,
}

impl HeartbeatError {
    fn status(self) -> u16 {
        match self {
            HeartbeatError::LeaseNotValid | HeartbeatError::StaleToken => 503,
            HeartbeatError::Malformed => 400,
        }
    }
}

/// Serves `POST /hello`, an agent's heartbeat.
pub(crate) async fn serve(node: &Rc<Node>, request: Request) -> Response {
    if request.method != Method::Post {
        return Response::empty(405);
    }
    match node.leadership() {
        Some(leadership) => serve_at_leader(node, &leadership, &request),
        None => serve_at_follower(node, request).await,
    }
}

fn serve_at_leader(node: &Node, leadership: &Leadership, request: &Request) -> Response {
    let route = node.routes.borrow_mut().at_leader(
        node.is_cpu_overloaded(),
        node.open_connections.count(),
        node.max_open_connections(),
        runtime::now(),
    );
    if let Route::RedirectToPeer(peer) = route
        && leadership.lease_is_valid()
    {
        let target = &node.peers.all()[peer].peer.node;
        return redirect(Some(target)).closing();
    }
    match process(node, leadership, &request.body) {
        Ok(response) => Response::of(200, &response),
        Err(e) => Response::empty(e.status()),
    }
}

async fn serve_at_follower(node: &Node, request: Request) -> Response {
    let now = runtime::now();
    let leader = node
        .leader
        .borrow()
        .as_deref()
        .and_then(|l| node.peers.index_of(l));
    if node.routes.borrow().at_follower(leader, now) == Route::Relay {
        return match node.heartbeat_relay.relay(request.body).await {
            Some(body) => {
                let mut response = Response::empty(200);
                response.body = body;
                response
            }
            None => Response::empty(503),
        };
    }
    let leader = node.leader.borrow();
    redirect(leader.as_deref().filter(|l| *l != node.settings.node))
}

fn redirect(target: Option<&str>) -> Response {
    Response::of(421, &HeartbeatRedirect { report_to: target })
}

/// Serves a heartbeat that another node relayed; an empty response: it is not answered.
pub(crate) fn serve_relayed(node: &Node, body: &[u8]) -> Vec<u8> {
    let Some(leadership) = node.leadership() else {
        return Vec::new();
    };
    process(node, &leadership, body).map_or_else(|_| Vec::new(), |response| encode(&response))
}

/// Processes a heartbeat at the leader, by whichever way it came.
fn process(
    node: &Node,
    leadership: &Leadership,
    body: &[u8],
) -> Result<HeartbeatResponse, HeartbeatError> {
    // The agent tries the next node. (Guards `ran_twice`: a response now could renew an agent's lease that the next
    // leader counts as expired.)
    if !leadership.lease_is_valid() {
        return Err(HeartbeatError::LeaseNotValid);
    }
    let heartbeat: Heartbeat = decode(body).map_err(|e| {
        warn!(error = %e, "malformed heartbeat");
        HeartbeatError::Malformed
    })?;
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    if heartbeat.token > scheduler.token {
        warn!(machine = %heartbeat.machine, token = heartbeat.token.0, "agent has a higher fencing token");
        return Err(HeartbeatError::StaleToken);
    }
    let answer = leadership.track_plan_cost(node, &mut scheduler, |scheduler| {
        scheduler.heartbeat(&heartbeat, now)
    });
    // A delayed copy does not show that its agent reaches this node now. (Guards against a leader that no agent
    // reaches any more, and that stays in office for as long as old heartbeats arrive.)
    if answer.fresh {
        leadership
            .heartbeat_monitor
            .borrow_mut()
            .heartbeat_received(&heartbeat.machine, heartbeat.token == answer.token);
    }
    // A heartbeat without changes leaves nothing to do.
    if scheduler.next_due(now) <= now || scheduler.has_actions() {
        leadership.wakeup.notify();
    }
    if scheduler.has_writes() {
        leadership.write_wakeup.notify();
    }
    log_starts(
        &heartbeat.machine,
        answer.token,
        heartbeat.epoch,
        heartbeat.sequence,
        &answer.commands,
        "heartbeat response",
    );
    Ok(HeartbeatResponse {
        token: answer.token,
        commands: answer.commands,
    })
}
