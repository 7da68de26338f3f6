//! Commands that the leader pushes to agents, without waiting for their next heartbeat.

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

/// A client of one agent.
struct AgentClient {
    client: Rc<Client>,
    /// The number of its latest use.
    last_use: u64,
}

/// Pushes commands to agents and keeps connections to them.
pub(crate) struct CommandPusher {
    clients: RefCell<BTreeMap<SocketAddr, AgentClient>>,
    uses: Cell<u64>,
    max_clients: usize,
}

/// A push that has taken longer has failed.
const PUSH_TIMEOUT: Micros = Micros::from_secs(3);

impl CommandPusher {
    /// Of `max_connections` sockets, connections opened by agents and users may take three quarters; half of the rest may
    /// be kept open to agents.
    pub(crate) fn new(max_connections: usize) -> CommandPusher {
        CommandPusher {
            clients: RefCell::default(),
            uses: Cell::new(0),
            max_clients: (max_connections / 8).max(8),
        }
    }

    fn client(&self, addr: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let this_use = self.uses.get() + 1;
        self.uses.set(this_use);
        if clients.len() >= self.max_clients && !clients.contains_key(&addr) {
            // The least recently used eighth is closed, so that this is seldom done.
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

    /// Pushes commands to an agent and reports the outcome to the scheduler.
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
        // Checked again once the connection is open: a process that is behind may get there long after the next leader
        // was granted its fencing token.
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
                warn!(machine = %machine, status = r.status, "pushed commands refused");
                scheduler.push_failed(&machine, false, now);
            }
            Err(e) => {
                debug!(machine = %machine, error = %e, "pushing commands failed");
                scheduler.push_failed(&machine, !matches!(e, ClientError::NotSent(_)), now);
                self.clients.borrow_mut().remove(&address);
            }
        }
    }
}

/// Logs which attempts an agent is told to start, and by which leader: at `debug` the log shows the history of each
/// task. `via` is the message that carries the commands.
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
        debug!(machine = %machine, token = token.0, epoch, sequence, via, starts = ?starts, "starts sent");
    }
}
