//! Workers' reports, and orders sent straight to workers.

use crate::node::{Leadership, Node};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, ClientError, Method, Request, Response};
use hopyoke_heartbeat::Route;
use hopyoke_protocol::worker::{
    Command, Heartbeat, HeartbeatRedirect, HeartbeatResponse, PushedCommands,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::Micros;
use hopyoke_types::{FencingToken, MachineId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

/// `POST /hello`
pub async fn hello(node: &Rc<Node>, request: Request) -> Response {
    if request.method != Method::Post {
        return Response::empty(405);
    }
    let now = runtime::now();
    if let Some(leadership) = node.leadership() {
        let route = node.routes.borrow_mut().at_leader(
            node.is_behind(),
            node.open.count(),
            node.most_connections(),
            now,
        );
        if let Route::RedirectToPeer(peer) = route
            && leadership.lease_is_valid()
        {
            let other = &node.peers.0[peer].peer.node;
            return Response::of(
                421,
                &HeartbeatRedirect {
                    report_to: Some(other),
                },
            )
            .closing();
        }
        return match heartbeat(node, &leadership, &request.body) {
            Ok(commands) => Response::of(200, &commands),
            Err(status) => Response::empty(status),
        };
    }
    let leader = node
        .leader
        .borrow()
        .as_deref()
        .and_then(|l| node.peers.place_of(l));
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
    redirect(node)
}

/// A report that another node carried here; an empty answer: it is not answered.
pub fn carried(node: &Node, body: &[u8]) -> Vec<u8> {
    let Some(leadership) = node.leadership() else {
        return Vec::new();
    };
    heartbeat(node, &leadership, body).map_or_else(|_| Vec::new(), |commands| encode(&commands))
}

/// A worker's report to this leader, by whichever way it came.
///
/// # Errors
/// The status of the refusal.
fn heartbeat(node: &Node, leadership: &Leadership, body: &[u8]) -> Result<HeartbeatResponse, u16> {
    // Not entitled to act: the worker tries the next node. (Guards `ran_twice`: an answer now
    // could renew a lease that the next holder counts as lapsed.)
    if !leadership.lease_is_valid() {
        return Err(503);
    }
    let heartbeat: Heartbeat = match decode(body) {
        Ok(r) => r,
        Err(e) => {
            warn!(error = %e, "unreadable report");
            return Err(400);
        }
    };
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    if heartbeat.token > scheduler.token {
        // Somebody has been granted more than we know of.
        warn!(machine = %heartbeat.machine, token = heartbeat.token.0, "worker has seen a higher token");
        return Err(503);
    }
    let answer = leadership.planning(node, &mut scheduler, |scheduler| {
        scheduler.heartbeat(&heartbeat, now)
    });
    // A copy that arrives late does not show that its worker reaches us now. (Guards against a leader that no
    // worker reaches any more, and that goes on for as long as old reports arrive.)
    if answer.fresh {
        leadership
            .heartbeat_monitor
            .borrow_mut()
            .heartbeat_received(&heartbeat.machine, heartbeat.token == answer.token);
    }
    // A report without news leaves nothing to do.
    if scheduler.next_due(now) <= now || scheduler.has_actions() {
        leadership.wakeup.notify();
    }
    if scheduler.has_writes() {
        leadership.write_wakeup.notify();
    }
    tell_starts(
        &heartbeat.machine,
        answer.token,
        heartbeat.epoch,
        heartbeat.sequence,
        &answer.commands,
        "starts with an answer",
    );
    Ok(HeartbeatResponse {
        token: answer.token,
        commands: answer.commands,
    })
}

fn redirect(node: &Node) -> Response {
    let leader = node.leader.borrow();
    let other = leader.as_deref().filter(|l| *l != node.settings.node);
    Response::of(421, &HeartbeatRedirect { report_to: other })
}

/// A task's whole story can be told from the log at `debug`: which start went where, by which holder.
fn tell_starts(
    machine: &MachineId,
    token: FencingToken,
    epoch: u64,
    sequence: u64,
    commands: &[Command],
    how: &str,
) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let starts: Vec<String> = commands
        .iter()
        .filter_map(|o| match o {
            Command::Start { task, attempt } => Some(format!("{task}@{attempt}")),
            _ => None,
        })
        .collect();
    if !starts.is_empty() {
        debug!(machine = %machine, token = token.0, epoch, sequence, starts = ?starts, "{how}");
    }
}

/// Connections to workers.
pub struct Direct {
    /// By address, with the number of their latest use.
    clients: RefCell<BTreeMap<SocketAddr, (u64, Rc<Client>)>>,
    uses: Cell<u64>,
    most: usize,
}

const DIRECT_LIMIT: Micros = Micros::from_secs(3);

impl Direct {
    /// Of `max_connections` sockets, workers' and users' own connections may take three quarters;
    /// half of what is left may be kept open to workers.
    pub fn new(max_connections: usize) -> Direct {
        Direct {
            clients: RefCell::default(),
            uses: Cell::new(0),
            most: (max_connections / 8).max(8),
        }
    }

    fn client(&self, addr: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let used = self.uses.get() + 1;
        self.uses.set(used);
        if clients.len() >= self.most && !clients.contains_key(&addr) {
            // The eighth part that was used longest ago goes, so that this is seldom done.
            let old = used.saturating_sub(self.most as u64 * 7 / 8);
            clients.retain(|_, (last, _)| *last > old);
        }
        let entry = clients
            .entry(addr)
            .or_insert_with(|| (used, Rc::new(Client::new(addr))));
        entry.0 = used;
        entry.1.clone()
    }

    /// Sends orders to a worker and tells the core how that ended.
    pub async fn send(
        &self,
        leadership: &Leadership,
        token: FencingToken,
        machine: MachineId,
        address: SocketAddr,
        epoch: u64,
        commands: Vec<Command>,
    ) {
        if !leadership.lease_is_valid() {
            leadership
                .scheduler
                .borrow_mut()
                .direct_failed(&machine, false, runtime::now());
            return;
        }
        tell_starts(
            &machine,
            token,
            epoch,
            0,
            &commands,
            "starts by direct orders",
        );
        let body = encode(&PushedCommands {
            token,
            epoch,
            commands,
        });
        // Asked again once the connection stands: a process that is behind may get there long after
        // the next holder was granted its token.
        let may = || leadership.lease_is_valid();
        let client = self.client(address);
        let result = client
            .send_while(may, Method::Post, "/commands", &body, DIRECT_LIMIT)
            .await;
        let now = runtime::now();
        let mut scheduler = leadership.scheduler.borrow_mut();
        match result {
            Ok(r) if matches!(r.status, 200 | 409) => {
                let heartbeat: Option<Heartbeat> = decode(&r.body).ok();
                leadership.heartbeat_monitor.borrow_mut().command_answered();
                scheduler.direct_answer(&machine, r.status == 200, heartbeat.as_ref(), now);
            }
            Ok(r) => {
                warn!(machine = %machine, status = r.status, "direct orders refused");
                scheduler.direct_failed(&machine, false, now);
            }
            Err(e) => {
                debug!(machine = %machine, error = %e, "direct orders failed");
                scheduler.direct_failed(&machine, !matches!(e, ClientError::NotSent(_)), now);
                self.clients.borrow_mut().remove(&address);
            }
        }
    }
}
