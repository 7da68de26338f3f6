//! Commands that the leader pushes to agents instead of sending them in the response to the next heartbeat.

use crate::node::Leadership;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, ClientError, Method};
use hopyoke_protocol::worker::{Command, Heartbeat, PushedCommands};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::{FencingToken, MachineId, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

/// The HTTP client of one agent.
struct AgentClient {
    client: Rc<Client>,
    /// Value of [`CommandPusher::use_count`] at its latest use.
    last_use: u64,
}

/// Pushes commands to agents over a bounded pool of connections, from which the least recently used are evicted.
pub(crate) struct CommandPusher {
    clients: RefCell<BTreeMap<SocketAddr, AgentClient>>,
    /// How many times a client has been taken from the pool.
    use_count: Cell<u64>,
    max_clients: usize,
}

/// Timeout of a push, including the time to connect.
const PUSH_TIMEOUT: Micros = Micros::from_secs(3);

impl CommandPusher {
    /// Creates a pusher on a node that may have `max_connections` sockets open. Connections opened by agents and users may
    /// take three quarters of them; half of the rest is for pushes.
    pub(crate) fn new(max_connections: usize) -> CommandPusher {
        CommandPusher {
            clients: RefCell::default(),
            use_count: Cell::new(0),
            max_clients: (max_connections / 8).max(8),
        }
    }

    /// Returns the client of the agent at `addr`, creating it if necessary.
    fn client(&self, addr: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let this_use = self.use_count.get() + 1;
        self.use_count.set(this_use);
        if clients.len() >= self.max_clients && !clients.contains_key(&addr) {
            // Evicts an eighth of the pool at a time, so that most new clients need no scan of it.
            let oldest_kept = this_use.saturating_sub(self.max_clients as u64 * 7 / 8);
            clients.retain(|_, c| c.last_use > oldest_kept);
        }
        let entry = clients.entry(addr).or_insert_with(|| AgentClient {
            client: Rc::new(Client::new(addr)),
            last_use: this_use,
        });
        entry.last_use = this_use;
        entry.client.clone()
    }

    /// Pushes commands to an agent and passes the outcome to the scheduler. Nothing is sent unless the leader lease is
    /// valid.
    pub(crate) async fn push(
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
                .push_failed(&machine, false, runtime::now());
            return;
        }
        log_starts(&machine, token, epoch, 0, &commands, "pushed commands");
        let body = encode(&PushedCommands {
            token,
            epoch,
            commands,
        });
        // Checked again once the connection is open: a process short of CPU time may get there long after the next leader
        // has received its fencing token.
        let may_send = || leadership.lease_is_valid();
        let client = self.client(address);
        let result = client
            .send_if(may_send, Method::Post, "/commands", &body, PUSH_TIMEOUT)
            .await;
        let now = runtime::now();
        let mut scheduler = leadership.scheduler.borrow_mut();
        match result {
            Ok(r) if matches!(r.status, 200 | 409) => {
                let heartbeat: Option<Heartbeat> = decode(&r.body).ok();
                leadership.heartbeat_monitor.borrow_mut().command_answered();
                scheduler.push_answered(&machine, r.status == 200, heartbeat.as_ref(), now);
            }
            Ok(r) => {
                warn!(machine = %machine, status = r.status, "agent refused pushed commands");
                scheduler.push_failed(&machine, false, now);
            }
            Err(e) => {
                debug!(machine = %machine, error = %e, "failed to push commands");
                scheduler.push_failed(&machine, !matches!(e, ClientError::NotSent(_)), now);
                self.clients.borrow_mut().remove(&address);
            }
        }
    }
}

/// Logs at `debug` the start commands sent to an agent and their fencing token, so that the log holds the history of each
/// task. `via` names the message that carries the commands.
pub(super) fn log_starts(
    machine: &MachineId,
    token: FencingToken,
    epoch: u64,
    sequence: u64,
    commands: &[Command],
    via: &str,
) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let starts: Vec<String> = commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { task, attempt } => Some(format!("{task}@{attempt}")),
            _ => None,
        })
        .collect();
    if !starts.is_empty() {
        debug!(machine = %machine, token = token.0, epoch, sequence, via, starts = ?starts, "start commands sent to agent");
    }
}
