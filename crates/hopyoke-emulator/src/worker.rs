//! A worker: reports, obeys, and lets its tasks take their time.

use crate::serve;
use crate::state::State;
use hopyoke_event_loop::http::{Client, Method, Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::decode;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::{
    Command, ExitReason, Heartbeat, HeartbeatResponse, PushedCommands, TaskState, TaskStatus,
};
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, Micros, TaskId};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// What all workers of a site share.
pub struct Works {
    pub state: Rc<State>,
    /// Controllers by name, in the order in which they are tried.
    pub controllers: RefCell<Vec<(String, SocketAddr)>>,
    pub heartbeat_interval: Micros,
    pub lease: Micros,
    /// A task takes its job's estimate times this.
    pub factor: f64,
    /// Jobs of this class fail on every machine.
    pub failing: RefCell<String>,
    /// What has started, in its order.
    pub starts: RefCell<Vec<Start>>,
    /// Results outlive attempts.
    done: RefCell<BTreeSet<TaskId>>,
    /// Tasks on machines now: one that is there twice breaks a rule.
    present: RefCell<BTreeMap<TaskId, MachineId>>,
    /// Rules that were seen broken.
    pub broken: RefCell<Vec<String>>,
    /// Gang tasks that wait, by job and attempt.
    gangs: RefCell<BTreeMap<(String, Attempt), u32>>,
}

/// A task's start.
#[derive(Debug, Clone)]
pub struct Start {
    pub at: Micros,
    pub task: TaskId,
    pub machine: MachineId,
    pub zone: String,
    pub class: String,
}

impl Works {
    /// A task of the job is on a machine.
    pub fn has_task_of(&self, job: &JobId) -> bool {
        self.present.borrow().keys().any(|t| t.job == *job)
    }

    pub fn new(state: Rc<State>, heartbeat_interval: Micros, lease: Micros, factor: f64) -> Works {
        Works {
            state,
            controllers: RefCell::default(),
            heartbeat_interval,
            lease,
            factor,
            failing: RefCell::default(),
            starts: RefCell::default(),
            done: RefCell::default(),
            present: RefCell::default(),
            broken: RefCell::default(),
            gangs: RefCell::default(),
        }
    }

    /// A job's description, as users upload it: here it is in its record.
    fn spec(&self, task: &TaskId) -> Option<JobSpec> {
        let record = self.state.get(&format!("job/{}", task.job))?;
        serde_json::from_value(record.get("spec")?.clone()).ok()
    }
}

struct Task {
    state: TaskState,
    why: Option<ExitReason>,
    spec: Option<JobSpec>,
    cancel: CancellationToken,
}

struct Inner {
    epoch: u64,
    sequence: u64,
    token: FencingToken,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    images: BTreeSet<String>,
    /// When the last answered report was sent.
    answered: Micros,
}

/// One machine's worker.
pub struct Worker {
    pub id: MachineId,
    pub address: SocketAddr,
    kind: MachineType,
    zone: String,
    spot: bool,
    works: Rc<Works>,
    inner: RefCell<Inner>,
    changed: Notify,
}

#[derive(Deserialize)]
struct Elsewhere {
    #[serde(default)]
    harbormaster: Option<String>,
}

impl Worker {
    /// Starts it; it ends with `cancel`, and all its tasks with it.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(
        id: MachineId,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        works: Rc<Works>,
        cancel: &CancellationToken,
    ) -> io::Result<Rc<Worker>> {
        let slot: Rc<RefCell<Option<Rc<Worker>>>> = Rc::default();
        let door = slot.clone();
        let address = serve(cancel, move |request| {
            let worker = door.borrow().clone();
            async move { worker.map_or(Response::empty(503), |w| w.answer(&request)) }
        })?;
        let inner = Inner {
            epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            answered: runtime::now(),
        };
        let worker = Rc::new(Worker {
            id,
            address,
            kind: kind.clone(),
            zone: zone.to_owned(),
            spot,
            works,
            inner: RefCell::new(inner),
            changed: Notify::default(),
        });
        *slot.borrow_mut() = Some(worker.clone());
        runtime::spawn_until(cancel.clone(), worker.clone().report_on());
        runtime::spawn_until(cancel.clone(), worker.clone().watch_lease());
        // Deleted: all that is on the machine is gone.
        let (w, end) = (worker.clone(), cancel.clone());
        runtime::spawn(async move {
            end.run(std::future::pending::<()>()).await;
            w.kill_all();
            *slot.borrow_mut() = None;
        });
        Ok(worker)
    }

    fn answer(self: &Rc<Worker>, request: &Request) -> Response {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/show") => Response::of(200, &self.heartbeat()),
            (Method::Post, "/commands") => {
                let Ok(commands) = decode::<PushedCommands>(&request.body) else {
                    return Response::empty(400);
                };
                let fits = {
                    let inner = self.inner.borrow();
                    commands.token >= inner.token && commands.epoch == inner.epoch
                };
                if !fits {
                    return Response::of(409, &self.heartbeat());
                }
                self.obey(commands.token, commands.commands);
                Response::of(200, &self.heartbeat())
            }
            _ => Response::empty(404),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut inner = self.inner.borrow_mut();
        inner.sequence += 1;
        let tasks = inner.tasks.iter().map(|((task, attempt), t)| TaskStatus {
            task: task.to_string(),
            attempt: *attempt,
            state: t.state,
            exit_reason: t.why,
            saved: false,
        });
        Heartbeat {
            machine: self.id.clone(),
            address: self.address.to_string(),
            machine_type: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            epoch: inner.epoch,
            sequence: inner.sequence,
            token: inner.token,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Reports to one controller after the other until one keeps it.
    async fn report_on(self: Rc<Worker>) {
        let mut at = rand::random_range(0..1024usize);
        let mut client: Option<(SocketAddr, Client)> = None;
        loop {
            let list = self.works.controllers.borrow().clone();
            if list.is_empty() {
                runtime::sleep(Micros::from_millis(100)).await;
                continue;
            }
            let addr = list[at % list.len()].1;
            if client.as_ref().is_none_or(|(a, _)| *a != addr) {
                client = Some((addr, Client::new(addr)));
            }
            let Some((_, c)) = &client else { continue };
            let heartbeat = self.heartbeat();
            let (sent, epoch) = (runtime::now(), heartbeat.epoch);
            let body = hopyoke_protocol::encode(&heartbeat);
            match c
                .send(Method::Post, "/hello", &body, Micros::from_secs(4))
                .await
            {
                Ok(r) if r.status == 200 => {
                    if let Ok(commands) = decode::<HeartbeatResponse>(&r.body) {
                        let fits = {
                            let mut inner = self.inner.borrow_mut();
                            let fits = commands.token >= inner.token && inner.epoch == epoch;
                            if fits {
                                inner.answered = sent;
                            }
                            fits
                        };
                        if fits {
                            self.obey(commands.token, commands.commands);
                        }
                    }
                    let next = sent
                        + Micros(
                            (self.works.heartbeat_interval.0 as f64
                                * rand::random_range(0.75..1.25))
                                as u64,
                        );
                    self.changed.wait_until(next).await;
                    // Not more often than every half second.
                    runtime::sleep_until(sent + Micros::from_millis(500)).await;
                }
                Ok(r) if r.status == 421 => {
                    let to = decode::<Elsewhere>(&r.body)
                        .ok()
                        .and_then(|e| e.harbormaster);
                    match to.and_then(|n| list.iter().position(|(name, _)| *name == n)) {
                        Some(i) if i != at % list.len() => at = i,
                        _ => {
                            at += 1;
                            runtime::sleep(Micros::from_secs(1)).await;
                        }
                    }
                }
                _ => {
                    at += 1;
                    runtime::sleep(Micros::from_secs(1)).await;
                }
            }
        }
    }

    /// When its lease is over, it kills and forgets all its tasks.
    async fn watch_lease(self: Rc<Worker>) {
        loop {
            runtime::sleep(Micros::from_millis(50)).await;
            if runtime::now() > self.inner.borrow().answered + self.works.lease {
                self.kill_all();
                let mut inner = self.inner.borrow_mut();
                inner.epoch += 1;
                inner.answered = runtime::now();
            }
        }
    }

    fn kill_all(&self) {
        let tasks = std::mem::take(&mut self.inner.borrow_mut().tasks);
        for ((task, _), t) in tasks {
            t.cancel.cancel();
            self.leave(&task);
        }
    }

    fn leave(&self, task: &TaskId) {
        let mut present = self.works.present.borrow_mut();
        if present.get(task) == Some(&self.id) {
            present.remove(task);
        }
    }

    fn obey(self: &Rc<Worker>, token: FencingToken, commands: Vec<Command>) {
        self.inner.borrow_mut().token = token;
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if let Some(task) = TaskId::parse(&task) {
                        self.run(task, attempt);
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(task) = TaskId::parse(&task) {
                        self.exit(&task, attempt, ExitReason::Stopped);
                    }
                }
                Command::Acknowledge { task, attempt } => {
                    if let Some(task) = TaskId::parse(&task) {
                        let key = (task, attempt);
                        let mut inner = self.inner.borrow_mut();
                        if inner
                            .tasks
                            .get(&key)
                            .is_some_and(|t| t.state == TaskState::Ended)
                        {
                            inner.tasks.remove(&key);
                        }
                    }
                }
            }
        }
    }

    fn run(self: &Rc<Worker>, task: TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self.inner.borrow().tasks.contains_key(&key) {
            return;
        }
        let spec = self.works.spec(&task);
        let refusal = match &spec {
            None => Some(ExitReason::UnknownTask),
            Some(s) if task.index >= s.tasks => Some(ExitReason::UnknownTask),
            Some(s) => {
                let inner = self.inner.borrow();
                let live = || {
                    inner
                        .tasks
                        .iter()
                        .filter(|(_, t)| t.state != TaskState::Ended)
                };
                let mut sum = (s.cpus, s.gpus, s.memory_gb);
                for x in live().filter_map(|(_, t)| t.spec.as_ref()) {
                    sum = (sum.0 + x.cpus, sum.1 + x.gpus, sum.2 + x.memory_gb);
                }
                let k = &self.kind;
                if live().any(|((t, _), _)| *t == task) {
                    Some(ExitReason::Busy)
                } else if sum.0 > k.cpus + 1e-9
                    || sum.1 > k.gpus + 1e-9
                    || sum.2 > k.memory_gb + 1e-9
                {
                    Some(ExitReason::InsufficientResources)
                } else {
                    None
                }
            }
        };
        let state = if refusal.is_some() {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        let cancel = CancellationToken::new();
        let entry = Task {
            state,
            why: refusal,
            spec: spec.clone(),
            cancel: cancel.clone(),
        };
        self.inner.borrow_mut().tasks.insert(key, entry);
        self.changed.notify();
        if let Some(spec) = spec.filter(|_| refusal.is_none()) {
            let w = self.clone();
            runtime::spawn_until(cancel, async move { w.live(task, attempt, spec).await });
        }
    }

    /// A task's way from its image to its end.
    async fn live(self: Rc<Worker>, task: TaskId, attempt: Attempt, spec: JobSpec) {
        if !self.inner.borrow().images.contains(&spec.image) {
            runtime::sleep(Micros::from_secs_f64(
                spec.image_gb / self.kind.fetch_gb_per_s.max(0.001),
            ))
            .await;
            self.inner.borrow_mut().images.insert(spec.image.clone());
        }
        if let Some(other) = self
            .works
            .present
            .borrow_mut()
            .insert(task.clone(), self.id.clone())
            && other != self.id
        {
            let what = format!("ran_twice: {task} starts on {} while on {other}", self.id);
            self.works.broken.borrow_mut().push(what);
        }
        if spec.kind == JobKind::Gang {
            self.set(&task, attempt, TaskState::Waiting);
            let key = (task.job.to_string(), attempt);
            *self
                .works
                .gangs
                .borrow_mut()
                .entry(key.clone())
                .or_default() += 1;
            while self
                .works
                .gangs
                .borrow()
                .get(&key)
                .is_none_or(|n| *n < spec.tasks)
            {
                runtime::sleep(Micros::from_millis(10)).await;
            }
        }
        self.set(&task, attempt, TaskState::Running);
        self.works.starts.borrow_mut().push(Start {
            at: runtime::now(),
            task: task.clone(),
            machine: self.id.clone(),
            zone: self.zone.clone(),
            class: spec.class.clone(),
        });
        if *self.works.failing.borrow() == spec.class {
            runtime::sleep(Micros::from_millis(50)).await;
            return self.exit(&task, attempt, ExitReason::Error);
        }
        if !self.works.done.borrow().contains(&task) {
            match spec.kind {
                JobKind::Service => std::future::pending().await,
                _ => {
                    runtime::sleep(Micros::from_secs_f64(spec.estimate_s * self.works.factor)).await
                }
            }
        }
        self.works.done.borrow_mut().insert(task.clone());
        self.exit(&task, attempt, ExitReason::Done);
    }

    fn set(&self, task: &TaskId, attempt: Attempt, state: TaskState) {
        if let Some(t) = self
            .inner
            .borrow_mut()
            .tasks
            .get_mut(&(task.clone(), attempt))
        {
            t.state = state;
        }
        self.changed.notify();
    }

    fn exit(&self, task: &TaskId, attempt: Attempt, why: ExitReason) {
        let mut inner = self.inner.borrow_mut();
        let Some(t) = inner.tasks.get_mut(&(task.clone(), attempt)) else {
            return;
        };
        if t.state == TaskState::Ended {
            return;
        }
        t.state = TaskState::Ended;
        t.why = Some(why);
        let cancel = t.cancel.clone();
        drop(inner);
        cancel.cancel();
        self.leave(task);
        self.changed.notify();
    }
}
