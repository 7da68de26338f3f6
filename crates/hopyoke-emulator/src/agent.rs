//! Agent of a machine: sends heartbeats to the leader and executes its commands.

use crate::agent_tasks::Task;
use crate::fleet::{ExecutedPush, Fleet};
use crate::server::serve;
use hopyoke_event_loop::http::{Client, Method, Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::decode;
use hopyoke_protocol::worker::{
    Command, ExitReason, Heartbeat, HeartbeatResponse, PushedCommands, TaskState, TaskStatus,
};
use hopyoke_types::{Attempt, FencingToken, MachineId, Micros, TaskId};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout of a heartbeat, after which the agent tries the next controller.
const HEARTBEAT_TIMEOUT: Micros = Micros::from_secs(4);
/// Delay after a heartbeat that was not accepted.
const HEARTBEAT_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Minimum interval between the heartbeats of an agent.
const MIN_HEARTBEAT_INTERVAL: Micros = Micros::from_millis(500);

/// Machine on which an agent runs.
pub(crate) struct Machine {
    pub(crate) id: MachineId,
    pub(crate) machine_type: MachineType,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

/// Mutable state of an agent.
pub(crate) struct State {
    /// Incremented when the lease expires.
    epoch: u64,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Highest fencing token seen; commands with a lower one are rejected.
    token: FencingToken,
    pub(crate) tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Container images cached on the machine.
    pub(crate) images: BTreeSet<String>,
    /// Time at which the last acknowledged heartbeat was sent; the lease is counted from it.
    last_heartbeat_at: Micros,
}

/// The agent of one machine.
pub struct Agent {
    /// Address on which it accepts pushed commands.
    pub(crate) address: SocketAddr,
    pub(crate) machine: Machine,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) state: RefCell<State>,
    /// Notified when a task changes state, so that the next heartbeat is sent early.
    pub(crate) changed: Notify,
}

/// Response of a controller that is not the leader.
#[derive(Deserialize)]
struct NotLeader {
    #[serde(rename = "harbormaster", default)]
    leader: Option<String>,
}

impl Agent {
    /// Starts an agent, which stops with all its tasks when `cancel` is cancelled.
    ///
    /// # Errors
    /// Returns an error if it cannot listen.
    pub(crate) fn start(
        machine: Machine,
        fleet: Rc<Fleet>,
        cancel: &CancellationToken,
    ) -> io::Result<Rc<Agent>> {
        let started: Rc<RefCell<Option<Rc<Agent>>>> = Rc::default();
        let handling = started.clone();
        let address = serve(cancel, move |request| {
            let agent = handling.borrow().clone();
            async move { agent.map_or(Response::empty(503), |a| a.handle(&request)) }
        })?;
        let state = State {
            epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            last_heartbeat_at: runtime::now(),
        };
        let agent = Rc::new(Agent {
            address,
            machine,
            fleet,
            state: RefCell::new(state),
            changed: Notify::default(),
        });
        *started.borrow_mut() = Some(agent.clone());
        runtime::spawn_until(cancel.clone(), agent.clone().send_heartbeats());
        runtime::spawn_until(cancel.clone(), agent.clone().watch_lease());
        // Deleting the machine kills its tasks.
        let (deleted, token) = (agent.clone(), cancel.clone());
        runtime::spawn(async move {
            token.run(std::future::pending::<()>()).await;
            deleted.kill_all();
            *started.borrow_mut() = None;
        });
        Ok(agent)
    }

    fn handle(self: &Rc<Agent>, request: &Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/show") => Response::msgpack(200, &self.heartbeat()),
            (Method::Post, "/commands") => {
                let Ok(pushed) = decode::<PushedCommands>(&request.body) else {
                    return Response::empty(400);
                };
                let is_current = {
                    let state = self.state.borrow();
                    pushed.token >= state.token && pushed.epoch == state.epoch
                };
                if !is_current {
                    return Response::msgpack(409, &self.heartbeat());
                }
                let is_start = |command: &Command| matches!(command, Command::Start { .. });
                if pushed.commands.iter().any(is_start) {
                    self.fleet.executed_starts.borrow_mut().push(ExecutedPush {
                        agent: self.address,
                        body: request.body.clone(),
                    });
                }
                self.execute(pushed.token, pushed.commands);
                Response::msgpack(200, &self.heartbeat())
            }
            _ => Response::empty(404),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let tasks = state.tasks.iter().map(|((task, attempt), t)| TaskStatus {
            task: task.to_string(),
            attempt: *attempt,
            state: t.state,
            exit_reason: t.exit_reason,
            checkpoint_saved: false,
        });
        Heartbeat {
            machine: self.machine.id.clone(),
            address: self.address.to_string(),
            machine_type: self.machine.machine_type.name.clone(),
            zone: self.machine.zone.clone(),
            spot: self.machine.spot,
            epoch: state.epoch,
            sequence: state.sequence,
            token: state.token,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Sends heartbeats to the leader, and looks for it among the controllers in turn if it is unknown.
    async fn send_heartbeats(self: Rc<Agent>) {
        let mut index = rand::random_range(0..1024usize);
        let mut connected: Option<(SocketAddr, Client)> = None;
        loop {
            let controllers = self.fleet.controllers.borrow().clone();
            if controllers.is_empty() {
                runtime::sleep(Micros::from_millis(100)).await;
                continue;
            }
            let addr = controllers[index % controllers.len()].1;
            let (_, client) = match connected.take().filter(|(a, _)| *a == addr) {
                Some(same) => connected.insert(same),
                None => connected.insert((addr, Client::new(addr))),
            };
            match self.send_heartbeat(client).await {
                Delivery::Accepted { sent_at } => {
                    let jitter = rand::random_range(0.75..1.25);
                    let interval = (self.fleet.heartbeat_interval.0 as f64 * jitter) as u64;
                    self.changed.wait_until(sent_at + Micros(interval)).await;
                    runtime::sleep_until(sent_at + MIN_HEARTBEAT_INTERVAL).await;
                }
                Delivery::Redirected(leader) => {
                    let position = |name: String| controllers.iter().position(|(n, _)| *n == name);
                    match leader.and_then(position) {
                        Some(i) if i != index % controllers.len() => index = i,
                        _ => {
                            index += 1;
                            runtime::sleep(HEARTBEAT_RETRY_DELAY).await;
                        }
                    }
                }
                Delivery::Failed => {
                    index += 1;
                    runtime::sleep(HEARTBEAT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends one heartbeat and executes the commands in the response.
    async fn send_heartbeat(self: &Rc<Agent>, client: &Client) -> Delivery {
        let heartbeat = self.heartbeat();
        let (sent_at, epoch) = (runtime::now(), heartbeat.epoch);
        let body = hopyoke_protocol::encode(&heartbeat);
        let response = client
            .send(Method::Post, "/hello", &body, HEARTBEAT_TIMEOUT)
            .await;
        match response {
            Ok(r) if r.status == 200 => {
                if let Ok(answer) = decode::<HeartbeatResponse>(&r.body)
                    && self.renew_lease(answer.token, epoch, sent_at)
                {
                    self.execute(answer.token, answer.commands);
                }
                Delivery::Accepted { sent_at }
            }
            Ok(r) if r.status == 421 => {
                let answer = decode::<NotLeader>(&r.body).ok();
                Delivery::Redirected(answer.and_then(|a| a.leader))
            }
            _ => Delivery::Failed,
        }
    }

    /// Renews the lease as of `sent_at`. Returns false if the response is from a former leader, or acknowledges a heartbeat
    /// of an earlier epoch.
    fn renew_lease(&self, token: FencingToken, epoch: u64, sent_at: Micros) -> bool {
        let mut state = self.state.borrow_mut();
        let is_current = token >= state.token && state.epoch == epoch;
        if is_current {
            state.last_heartbeat_at = sent_at;
        }
        is_current
    }

    /// Kills and removes all tasks and starts a new epoch whenever the lease expires.
    async fn watch_lease(self: Rc<Agent>) {
        loop {
            runtime::sleep(Micros::from_millis(50)).await;
            if runtime::now() > self.state.borrow().last_heartbeat_at + self.fleet.lease {
                self.kill_all();
                let mut state = self.state.borrow_mut();
                state.epoch += 1;
                state.last_heartbeat_at = runtime::now();
            }
        }
    }

    fn execute(self: &Rc<Agent>, token: FencingToken, commands: Vec<Command>) {
        self.state.borrow_mut().token = token;
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if let Some(task) = TaskId::parse(&task) {
                        self.start_task(task, attempt);
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(task) = TaskId::parse(&task) {
                        self.end_task(&task, attempt, ExitReason::Stopped);
                    }
                }
                Command::Acknowledge { task, attempt } => {
                    if let Some(task) = TaskId::parse(&task) {
                        self.remove_ended(task, attempt);
                    }
                }
            }
        }
    }

    fn remove_ended(&self, task: TaskId, attempt: Attempt) {
        let key = (task, attempt);
        let mut state = self.state.borrow_mut();
        let has_ended = |t: &Task| t.state == TaskState::Ended;
        if state.tasks.get(&key).is_some_and(has_ended) {
            state.tasks.remove(&key);
        }
    }
}

/// Outcome of sending a heartbeat.
enum Delivery {
    /// The controller is the leader.
    Accepted { sent_at: Micros },
    /// The controller is not the leader, and names the leader if it knows it.
    Redirected(Option<String>),
    /// No response, or an unexpected status.
    Failed,
}
