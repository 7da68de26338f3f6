//! A machine's agent: sends heartbeats, and carries out the commands of the controller that leads.

use crate::agent_tasks::Task;
use crate::fleet::Fleet;
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

/// A controller that does not answer a heartbeat within this is given up for the next one.
const HEARTBEAT_TIMEOUT: Micros = Micros::from_secs(4);
/// After a heartbeat that was not accepted.
const HEARTBEAT_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Heartbeats of one agent come no faster than this.
const MIN_HEARTBEAT_INTERVAL: Micros = Micros::from_millis(500);

/// What an agent knows of its machine.
pub(crate) struct Machine {
    pub(crate) id: MachineId,
    pub(crate) machine_type: MachineType,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

pub(crate) struct State {
    /// Begins anew when the lease has expired.
    epoch: u64,
    /// The last heartbeat's sequence number.
    sequence: u64,
    /// The highest fencing token seen; commands under a lower one are refused.
    token: FencingToken,
    pub(crate) tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Images that the machine has fetched.
    pub(crate) images: BTreeSet<String>,
    /// When the last heartbeat was sent that was answered.
    last_heartbeat_at: Micros,
}

/// The agent of one machine.
pub struct Agent {
    /// Where it takes pushed commands.
    pub(crate) address: SocketAddr,
    pub(crate) machine: Machine,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) state: RefCell<State>,
    /// A task's state changed: the next heartbeat is due.
    pub(crate) changed: Notify,
}

/// A controller's answer that it does not lead.
#[derive(Deserialize)]
struct NotLeader {
    #[serde(rename = "harbormaster", default)]
    leader: Option<String>,
}

impl Agent {
    /// Starts an agent; it ends with `cancel`, and all its tasks with it.
    ///
    /// # Errors
    /// If it cannot listen.
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
        // The machine is deleted: its tasks are gone.
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
                self.carry_out(pushed.token, pushed.commands);
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

    /// Sends heartbeats to one controller after the other until one accepts them, and then to that one.
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

    /// Sends one heartbeat and carries out the commands that it is answered with.
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
                    self.carry_out(answer.token, answer.commands);
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

    /// False if the answer is of a stale leaseholder, or to a heartbeat of an earlier epoch.
    fn renew_lease(&self, token: FencingToken, epoch: u64, sent_at: Micros) -> bool {
        let mut state = self.state.borrow_mut();
        let is_current = token >= state.token && state.epoch == epoch;
        if is_current {
            state.last_heartbeat_at = sent_at;
        }
        is_current
    }

    /// Once the lease has expired, kills and drops all tasks, and begins a new epoch.
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

    fn carry_out(self: &Rc<Agent>, token: FencingToken, commands: Vec<Command>) {
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
                        self.drop_ended(task, attempt);
                    }
                }
            }
        }
    }

    fn drop_ended(&self, task: TaskId, attempt: Attempt) {
        let key = (task, attempt);
        let mut state = self.state.borrow_mut();
        let has_ended = |t: &Task| t.state == TaskState::Ended;
        if state.tasks.get(&key).is_some_and(has_ended) {
            state.tasks.remove(&key);
        }
    }
}

/// What became of a heartbeat.
enum Delivery {
    /// The controller leads.
    Accepted { sent_at: Micros },
    /// The controller does not lead, and may know who does.
    Redirected(Option<String>),
    /// No answer, or another status.
    Failed,
}
