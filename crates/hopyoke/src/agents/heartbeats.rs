//! Serves agents' heartbeats: the leader answers them, followers relay or redirect them to the leader.

use crate::agents::pushed_commands::log_starts;
use crate::node::{Leadership, Node};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_heartbeat::Route;
use hopyoke_protocol::worker::{Heartbeat, HeartbeatRedirect, HeartbeatResponse};
use hopyoke_protocol::{decode, encode};
use std::rc::Rc;
use tracing::warn;

/// Why the leader rejects a heartbeat.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum HeartbeatError {
    /// This node can't prove that it still leads; the agent tries the next node.
    #[error("the leader lease is not valid")]
    LeaseNotValid,
    #[error("malformed heartbeat")]
    Malformed,
    /// The agent has seen a leader with a higher fencing token, so this node has been superseded; the agent tries the
    /// next node.
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

/// Serves `POST /hello`, the heartbeat of an agent.
pub(crate) async fn serve(node: &Rc<Node>, request: Request) -> Response {
    if request.method != Method::Post {
        return Response::empty(405);
    }
    match node.leadership() {
        Some(leadership) => serve_as_leader(node, &leadership, &request),
        None => serve_as_follower(node, request).await,
    }
}

fn serve_as_leader(node: &Node, leadership: &Leadership, request: &Request) -> Response {
    let route = node.routes.borrow_mut().route_at_leader(
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
        Ok(response) => Response::msgpack(200, &response),
        Err(e) => Response::empty(e.status()),
    }
}

async fn serve_as_follower(node: &Node, request: Request) -> Response {
    let now = runtime::now();
    let leader = node
        .leader
        .borrow()
        .as_deref()
        .and_then(|l| node.peers.index_of(l));
    if node.routes.borrow().route_at_follower(leader, now) == Route::Relay {
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
    Response::msgpack(421, &HeartbeatRedirect { target })
}

/// Serves a heartbeat that a follower relayed. Returns the encoded response, or an empty body if this node rejects the
/// heartbeat or does not lead.
pub(crate) fn serve_relayed(node: &Node, body: &[u8]) -> Vec<u8> {
    let Some(leadership) = node.leadership() else {
        return Vec::new();
    };
    process(node, &leadership, body).map_or_else(|_| Vec::new(), |response| encode(&response))
}

/// Processes a direct or relayed heartbeat as the leader.
fn process(
    node: &Node,
    leadership: &Leadership,
    body: &[u8],
) -> Result<HeartbeatResponse, HeartbeatError> {
    // Guards the invariant `ran_twice`: a response sent past the leader lease could renew the lease of an agent whose
    // lease the next leader counts as expired.
    if !leadership.lease_is_valid() {
        return Err(HeartbeatError::LeaseNotValid);
    }
    let heartbeat: Heartbeat = decode(body).map_err(|e| {
        warn!(error = %e, "malformed heartbeat");
        HeartbeatError::Malformed
    })?;
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    if scheduler.is_superseded_by(heartbeat.token) {
        warn!(machine = %heartbeat.machine, token = heartbeat.token.0, "heartbeat rejected: the agent has received a higher fencing token");
        return Err(HeartbeatError::StaleToken);
    }
    let outcome = leadership.track_placement_cost(node, &mut scheduler, |scheduler| {
        scheduler.heartbeat(&heartbeat, now)
    });
    // Only a fresh heartbeat proves that its agent reaches this node now: delayed copies must not prolong the term of a
    // leader that no agent reaches any more.
    if outcome.is_fresh {
        leadership
            .heartbeat_monitor
            .borrow_mut()
            .heartbeat_received(&heartbeat.machine, heartbeat.token >= scheduler.token);
    }
    // Most heartbeats change nothing, so the scheduling loop is not woken for each of them.
    if scheduler.next_due(now) <= now || scheduler.has_actions() {
        leadership.wakeup.notify();
    }
    if scheduler.has_writes() {
        leadership.write_wakeup.notify();
    }
    log_starts(
        &heartbeat.machine,
        outcome.token,
        heartbeat.epoch,
        heartbeat.sequence,
        &outcome.commands,
        "heartbeat response",
    );
    Ok(HeartbeatResponse {
        token: outcome.token,
        commands: outcome.commands,
    })
}
