//! Cloud and workers, as PROTOCOL-hopyoke describes them (arrays and services; no gangs), and the rules that they can see.

use crate::store::Store;
use crate::world::{Record, Upload, Uploads, cfg, serve, serve_until, target};
use hopyoke_event_loop::http::{Client, Method, Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken, Notify};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::Micros;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

const EPS: f64 = 1e-6;

pub struct Team {
    pub name: &'static str,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// State shared by the cloud and all workers.
pub struct Fleet {
    pub record: Rc<Record>,
    pub uploads: Uploads,
    /// Names and addresses of the controllers.
    pub controllers: RefCell<Vec<(String, SocketAddr)>>,
    pub teams: Vec<Team>,
    /// Tasks that are on a machine: they have their image and have not exited.
    on: RefCell<BTreeMap<String, BTreeSet<String>>>,
    /// Tasks that have completed.
    pub done: RefCell<BTreeSet<String>>,
    /// When users were told that a job is cancelled.
    pub cancelled: RefCell<BTreeMap<String, Micros>>,
    /// Starts: time, task, machine.
    pub starts: RefCell<Vec<(Micros, String, String)>>,
    pub workers: RefCell<BTreeMap<String, Rc<Worker>>>,
    reported: RefCell<BTreeSet<String>>,
    /// Reports and executed direct commands, of which copies may arrive again.
    pub old_reports: RefCell<Vec<Value>>,
    pub old_commands: RefCell<Vec<(String, u64, u64, Vec<Order>)>>,
    gangs: RefCell<BTreeMap<(String, u64), Gang>>,
    /// Whether copies are kept.
    pub keep_copies: Cell<bool>,
    /// Where descriptions of workflow steps' jobs are read, and how long their tasks run.
    pub steps: RefCell<Option<(Rc<Store>, f64)>>,
    /// Where workers fetch the descriptions of workflow steps' tasks.
    pub descriptions: RefCell<Option<PathBuf>>,
    /// Task, and the description that its worker fetched.
    pub commands: RefCell<Vec<(String, String)>>,
}

/// One attempt of a gang: its tasks that have their image and have not exited.
#[derive(Default)]
struct Gang {
    present: BTreeMap<u32, Rc<Worker>>,
    started: bool,
    done: bool,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Pulling,
    Waiting,
    Running,
    Ended,
}

struct Task {
    at: At,
    wreck: &'static str,
    cancel: CancellationToken,
}

struct State {
    watch: u64,
    tally: u64,
    helm: u64,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    lease_from: Micros,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub basin: String,
    pub spot: bool,
    fleet: Rc<Fleet>,
    state: RefCell<State>,
    changed: Notify,
    pub gone: CancellationToken,
    /// Reaches no controller, while direct commands reach it.
    pub mute: Cell<bool>,
    /// Answers and direct commands to it are lost, while its reports arrive.
    pub deaf: Cell<bool>,
    /// Fails every task that it starts.
    pub failing: Cell<bool>,
    /// Hangs: runs nothing and answers nothing until it goes on.
    pub hung: Cell<bool>,
}

#[derive(Deserialize)]
struct Orders {
    #[serde(default)]
    helm: Option<u64>,
    #[serde(default)]
    watch: Option<u64>,
    #[serde(default)]
    orders: Vec<Order>,
}
#[derive(Deserialize, Clone)]
pub struct Order {
    order: String,
    oar: String,
    launch: u64,
}
#[derive(Deserialize)]
struct Redirect {
    #[serde(default)]
    harbormaster: Option<String>,
}

impl Fleet {
    pub fn new(record: Rc<Record>, uploads: Uploads, teams: Vec<Team>) -> Rc<Fleet> {
        let fleet = Rc::new(Fleet {
            record,
            uploads,
            controllers: RefCell::default(),
            teams,
            on: RefCell::default(),
            done: RefCell::default(),
            cancelled: RefCell::default(),
            starts: RefCell::default(),
            workers: RefCell::default(),
            reported: RefCell::default(),
            old_reports: RefCell::default(),
            old_commands: RefCell::default(),
            gangs: RefCell::default(),
            keep_copies: Cell::new(false),
            steps: RefCell::default(),
            descriptions: RefCell::default(),
            commands: RefCell::default(),
        });
        let f = fleet.clone();
        runtime::spawn(async move {
            loop {
                runtime::sleep(Micros::from_millis(200)).await;
                f.check_cancelled();
            }
        });
        fleet
    }

    fn once(&self, text: &str) {
        if self.reported.borrow_mut().insert(text.to_owned()) {
            self.record.broken(text);
        }
    }

    fn check_cancelled(&self) {
        let now = runtime::now();
        let bound = Micros::from_secs_f64(cfg().cancel_s);
        for (task, machines) in self.on.borrow().iter() {
            let job = task.split('/').next().unwrap_or("");
            if let Some(at) = self.cancelled.borrow().get(job)
                && now > *at + bound
            {
                self.once(&format!("ran_cancelled: {task} is on {machines:?} more than {} s after its user was told", cfg().cancel_s));
            }
        }
    }

    /// Tasks of jobs whose ids begin like this that are on a machine.
    pub fn tasks_on(&self, prefix: &str) -> Vec<String> {
        self.on
            .borrow()
            .keys()
            .filter(|t| t.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Whether all tasks of a job have completed.
    pub fn is_over(&self, job: &str) -> bool {
        let tasks = self
            .uploads
            .borrow()
            .get(job)
            .map_or(0.0, |u| u.num("oars")) as u32;
        let done = self.done.borrow();
        (0..tasks).all(|i| done.contains(&format!("{job}/{i}")))
    }

    /// Whether no task of an unfinished job is on a machine.
    pub fn waits(&self, job: &str) -> bool {
        !self.is_over(job) && self.tasks_on(&format!("{job}/")).is_empty()
    }

    pub fn started(&self, job: &str) -> Option<Micros> {
        let prefix = format!("{job}/");
        self.starts
            .borrow()
            .iter()
            .find(|s| s.1.starts_with(&prefix))
            .map(|s| s.0)
    }

    /// The job of a workflow step, of which no user uploaded a description.
    fn step(&self, job: &str) -> Option<Upload> {
        let (store, run_s) = self.steps.borrow().clone()?;
        let spec = store.get(&format!("job/{job}"))?["spec"].clone();
        let upload = Upload { spec, run_s };
        self.uploads
            .borrow_mut()
            .insert(job.to_owned(), upload.clone());
        Some(upload)
    }

    /// Whether some machine that is up has room for a task of the job.
    pub fn has_room(&self, job: &str) -> bool {
        let uploads = self.uploads.borrow();
        let Some(u) = uploads.get(job) else {
            return false;
        };
        let on = self.on.borrow();
        let used = |w: &str, field: &str| -> f64 {
            let here = on.iter().filter(|(_, m)| m.contains(w));
            here.filter_map(|(t, _)| Some(uploads.get(t.split('/').next()?)?.num(field)))
                .sum()
        };
        self.workers.borrow().iter().any(|(w, worker)| {
            let fits = u.spec["basin"].as_str().is_none_or(|b| b == worker.basin)
                && (!worker.spot || u.spec["driftboats"] == json!(true));
            fits && used(w, "cpus") + u.num("cpus") <= cfg().cpus
                && used(w, "cards") + u.num("cards") <= cfg().cards
                && used(w, "mem_gb") + u.num("mem_gb") <= cfg().mem_gb
        })
    }

    fn task_on(&self, task: &str, w: &Worker) {
        let now = runtime::now();
        self.record.line(&format!(
            "start {task} on {} {}{}",
            w.id,
            w.basin,
            if w.spot { " spot" } else { "" }
        ));
        self.starts
            .borrow_mut()
            .push((now, task.to_owned(), w.id.clone()));
        let job = task.split('/').next().unwrap_or("").to_owned();
        {
            let mut on = self.on.borrow_mut();
            let machines = on.entry(task.to_owned()).or_default();
            if machines.iter().any(|m| *m != w.id) {
                self.record.broken(&format!(
                    "ran_twice: {task} starts on {} while on {machines:?}",
                    w.id
                ));
            }
            machines.insert(w.id.clone());
        }
        if let Some(at) = self.cancelled.borrow().get(&job)
            && now > *at + Micros::from_secs_f64(cfg().cancel_s)
        {
            self.record.broken(&format!("ran_cancelled: {task} starts"));
        }
        let uploads = self.uploads.borrow();
        let Some(u) = uploads.get(&job) else { return };
        if w.spot && u.spec["driftboats"] != json!(true) {
            self.record.broken(&format!(
                "wrong_place: {task} starts on spot machine {}",
                w.id
            ));
        }
        let workers = self.workers.borrow();
        let zones: Vec<String> = self
            .on
            .borrow()
            .iter()
            .filter(|(t, _)| t.starts_with(&format!("{job}/")) && *t != task)
            .flat_map(|(_, m)| {
                m.iter()
                    .filter_map(|m| Some(workers.get(m)?.basin.clone()))
                    .collect::<Vec<_>>()
            })
            .collect();
        if u.spec["together"] == json!(true) && zones.iter().any(|z| *z != w.basin) {
            self.record.broken(&format!(
                "wrong_place: {task} starts in {}, others of it are in {zones:?}",
                w.basin
            ));
        }
        let here = zones.iter().filter(|z| **z == w.basin).count() as u32 + 1;
        if u.spec["apart"] == json!(true) && here > (u.num("oars") as u32).div_ceil(2) {
            self.record.broken(&format!(
                "wrong_place: {task} is the {here}th of its job in {}",
                w.basin
            ));
        }
        if u.spec["basin"].as_str().is_some_and(|b| b != w.basin) {
            self.record
                .broken(&format!("wrong_place: {task} starts in {}", w.basin));
        }
        let team = u.text("crew");
        let used: f64 = self
            .on
            .borrow()
            .iter()
            .filter_map(|(t, m)| {
                let u = uploads.get(t.split('/').next()?)?;
                (u.text("crew") == team).then(|| u.num("cards") * m.len() as f64)
            })
            .sum();
        if let Some(t) = self.teams.iter().find(|t| t.name == team)
            && t.gpus_max > 0.0
            && used > t.gpus_max + EPS
        {
            self.record
                .broken(&format!("quota: team {team} uses {used} of {}", t.gpus_max));
        }
    }

    fn task_off(&self, task: &str, launch: u64, w: &Worker, why: &str) {
        let (job, index) = task.split_once('/').unwrap_or((task, "0"));
        if let Some(g) = self.gangs.borrow_mut().get_mut(&(job.to_owned(), launch)) {
            let index = index.parse().unwrap_or(0);
            if g.present.get(&index).is_some_and(|x| x.id == w.id) {
                g.present.remove(&index);
            }
        }
        let mut on = self.on.borrow_mut();
        if let Some(m) = on.get_mut(task)
            && m.remove(&w.id)
        {
            self.record.line(&format!("end {task} on {}: {why}", w.id));
            if m.is_empty() {
                on.remove(task);
            }
        }
    }
}

impl Worker {
    /// A copy of direct commands that were carried out arrives again.
    pub fn repeat(self: &Rc<Worker>, helm: u64, watch: u64, orders: Vec<Order>) {
        let current = {
            let s = self.state.borrow();
            helm >= s.helm && watch == s.watch
        };
        if current {
            self.execute(helm, orders, "a repeated message");
        }
    }

    fn start(fleet: &Rc<Fleet>, id: &str, basin: &str, spot: bool) -> Rc<Worker> {
        let gone = CancellationToken::new();
        let slot: Rc<RefCell<Option<Rc<Worker>>>> = Rc::default();
        let s = slot.clone();
        let address = serve_until(
            gone.clone(),
            SocketAddr::from(([127, 0, 0, 1], 0)),
            move |r| {
                let w = s.borrow().clone();
                async move {
                    match w {
                        Some(w) => w.answer(r).await,
                        None => Response::empty(503),
                    }
                }
            },
        )
        .expect("no free port");
        let w = Rc::new(Worker {
            id: id.to_owned(),
            address,
            basin: basin.to_owned(),
            spot,
            fleet: fleet.clone(),
            state: RefCell::new(State {
                watch: 1,
                tally: 0,
                helm: 0,
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                lease_from: runtime::now(),
            }),
            changed: Notify::default(),
            gone: gone.clone(),
            mute: Cell::new(false),
            deaf: Cell::new(false),
            failing: Cell::new(false),
            hung: Cell::new(false),
        });
        *slot.borrow_mut() = Some(w.clone());
        fleet.workers.borrow_mut().insert(id.to_owned(), w.clone());
        runtime::spawn_until(gone.clone(), w.clone().reports());
        runtime::spawn_until(gone.clone(), w.clone().lease());
        let (f, w2) = (fleet.clone(), w.clone());
        runtime::spawn(async move {
            gone.run(std::future::pending::<()>()).await;
            w2.kill_all("the machine is gone");
            f.workers.borrow_mut().remove(&w2.id);
            *slot.borrow_mut() = None;
        });
        w
    }

    fn kill_all(&self, why: &str) {
        let tasks = std::mem::take(&mut self.state.borrow_mut().tasks);
        for ((task, launch), t) in tasks {
            t.cancel.cancel();
            self.fleet.task_off(&task, launch, self, why);
        }
    }

    async fn while_hung(&self) {
        while self.hung.get() {
            runtime::sleep(Micros::from_millis(50)).await;
        }
    }

    async fn answer(self: &Rc<Worker>, r: Request) -> Response {
        self.while_hung().await;
        if self.deaf.get() {
            return crate::world::lost_answer().await;
        }
        match (r.method, r.path.as_str()) {
            (Method::Get, "/show") => Response::msgpack(200, &self.report()),
            (Method::Post, "/commands") => {
                let Ok(o) = decode::<Orders>(&r.body) else {
                    return Response::empty(400);
                };
                let (Some(helm), Some(watch)) = (o.helm, o.watch) else {
                    return Response::empty(400);
                };
                {
                    let s = self.state.borrow();
                    if helm < s.helm || watch != s.watch {
                        drop(s);
                        return Response::msgpack(409, &self.report());
                    }
                }
                if self.fleet.keep_copies.get() && !o.orders.is_empty() {
                    self.fleet.old_commands.borrow_mut().push((
                        self.id.clone(),
                        helm,
                        watch,
                        o.orders.clone(),
                    ));
                }
                self.execute(helm, o.orders, "commands");
                Response::msgpack(200, &self.report())
            }
            _ => Response::empty(404),
        }
    }

    fn report(&self) -> Value {
        let mut s = self.state.borrow_mut();
        s.tally += 1;
        let oars: Vec<Value> = s
            .tasks
            .iter()
            .map(|((task, launch), t)| match t.at {
                At::Pulling => json!({"oar":task,"launch":launch,"bearing":"pulling"}),
                At::Waiting => json!({"oar":task,"launch":launch,"bearing":"waiting"}),
                At::Running => json!({"oar":task,"launch":launch,"bearing":"running"}),
                At::Ended => json!({"oar":task,"launch":launch,"bearing":"ended","wreck":t.wreck}),
            })
            .collect();
        json!({"vessel":self.id,"address":self.address.to_string(),"rig":cfg().rig,"basin":self.basin,
            "driftboats":self.spot,"watch":s.watch,"tally":s.tally,"helm":s.helm,"recall_s":null,"oars":oars})
    }

    async fn reports(self: Rc<Worker>) {
        let mut index: usize = rand::random_range(0..1024);
        let mut client: Option<(SocketAddr, Client)> = None;
        loop {
            let controllers = self.fleet.controllers.borrow().clone();
            let (_, addr) = controllers[index % controllers.len()].clone();
            if self.mute.get() {
                client = None;
                runtime::sleep(Micros::from_secs(5)).await;
                index += 1;
                continue;
            }
            let (_, c) = match client.take().filter(|(a, _)| *a == addr) {
                Some(same) => client.insert(same),
                None => client.insert((addr, Client::new(addr))),
            };
            self.while_hung().await;
            let report = self.report();
            if self.fleet.keep_copies.get() {
                self.fleet.old_reports.borrow_mut().push(report.clone());
            }
            let (sent, watch) = (runtime::now(), report["watch"].as_u64().unwrap_or(0));
            let answer = c
                .send(
                    Method::Post,
                    "/hello",
                    &encode(&report),
                    Micros::from_secs(4),
                )
                .await;
            self.while_hung().await;
            let late = runtime::now() > sent + Micros::from_secs(4);
            let answer = if self.deaf.get() || late {
                runtime::sleep_until(sent + Micros::from_secs(4)).await;
                None
            } else {
                answer.ok()
            };
            match answer {
                Some(r) if r.status == 200 => {
                    if let Ok(o) = decode::<Orders>(&r.body) {
                        let current = {
                            let mut s = self.state.borrow_mut();
                            let current = o.helm.is_some_and(|h| h >= s.helm) && s.watch == watch;
                            if current {
                                s.lease_from = s.lease_from.max(sent);
                            }
                            current
                        };
                        if current {
                            self.execute(o.helm.unwrap_or(0), o.orders, "answer");
                        }
                    }
                    let pause = cfg().report_s * rand::random_range(0.75..1.25);
                    self.changed
                        .wait_until(sent + Micros::from_secs_f64(pause))
                        .await;
                    runtime::sleep_until(sent + Micros::from_millis(500)).await;
                }
                Some(r) if r.status == 421 => {
                    let name = decode::<Redirect>(&r.body)
                        .ok()
                        .and_then(|r| r.harbormaster);
                    client = None;
                    match name.and_then(|n| controllers.iter().position(|(c, _)| *c == n)) {
                        Some(i) if i != index % controllers.len() => index = i,
                        _ => {
                            index += 1;
                            runtime::sleep(Micros::from_secs(1)).await;
                        }
                    }
                }
                _ => {
                    client = None;
                    index += 1;
                    runtime::sleep(Micros::from_secs(1)).await;
                }
            }
        }
    }

    async fn lease(self: Rc<Worker>) {
        loop {
            runtime::sleep(Micros::from_millis(50)).await;
            if runtime::now()
                > self.state.borrow().lease_from + Micros::from_secs_f64(cfg().lease_s)
            {
                self.kill_all("the lease ran out");
                self.fleet
                    .record
                    .line(&format!("{}: lease ran out", self.id));
                let mut s = self.state.borrow_mut();
                s.watch += 1;
                s.lease_from = runtime::now();
            }
        }
    }

    fn execute(self: &Rc<Worker>, helm: u64, orders: Vec<Order>, via: &str) {
        {
            let mut s = self.state.borrow_mut();
            if helm > s.helm {
                s.helm = helm;
                self.changed.notify();
            }
        }
        for o in orders {
            self.fleet.record.line(&format!(
                "order {} {}@{} to {} by {via}, helm {helm}",
                o.order, o.oar, o.launch, self.id
            ));
            let key = (o.oar.clone(), o.launch);
            match o.order.as_str() {
                "run" => self.run(o.oar, o.launch),
                "halt" => self.end(&key, "halted"),
                "reap" => {
                    let mut s = self.state.borrow_mut();
                    if s.tasks.get(&key).is_some_and(|t| t.at == At::Ended) {
                        s.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn end(&self, key: &(String, u64), wreck: &'static str) {
        let mut s = self.state.borrow_mut();
        if let Some(t) = s.tasks.get_mut(key)
            && t.at != At::Ended
        {
            t.at = At::Ended;
            t.wreck = wreck;
            t.cancel.cancel();
            drop(s);
            self.fleet.task_off(&key.0, key.1, self, wreck);
            self.changed.notify();
        }
    }

    fn run(self: &Rc<Worker>, task: String, launch: u64) {
        let key = (task.clone(), launch);
        if self.state.borrow().tasks.contains_key(&key) {
            return;
        }
        let (job, index) = task.split_once('/').unwrap_or((&task, "0"));
        let known = self.fleet.uploads.borrow().get(job).cloned();
        let upload = known.or_else(|| self.fleet.step(job));
        let index: f64 = index.parse().unwrap_or(f64::MAX);
        let refusal = match &upload {
            None => Some("no_such"),
            Some(u) if index >= u.num("oars") => Some("no_such"),
            Some(u) => {
                let s = self.state.borrow();
                let live = || s.tasks.iter().filter(|(_, t)| t.at != At::Ended);
                let uploads = self.fleet.uploads.borrow();
                let sum = |f: &str| -> f64 {
                    u.num(f)
                        + live()
                            .filter_map(|((t, _), _)| {
                                Some(uploads.get(t.split('/').next()?)?.num(f))
                            })
                            .sum::<f64>()
                };
                if live().any(|((t, _), _)| *t == task) {
                    Some("busy")
                } else if sum("cpus") > cfg().cpus + EPS
                    || sum("cards") > cfg().cards + EPS
                    || sum("mem_gb") > cfg().mem_gb + EPS
                {
                    Some("no_room")
                } else {
                    None
                }
            }
        };
        let cancel = CancellationToken::new();
        let at = if refusal.is_some() {
            At::Ended
        } else {
            At::Pulling
        };
        let entry = Task {
            at,
            wreck: refusal.unwrap_or(""),
            cancel: cancel.clone(),
        };
        self.state.borrow_mut().tasks.insert(key.clone(), entry);
        self.changed.notify();
        if let (Some(u), None) = (upload, refusal) {
            let w = self.clone();
            runtime::spawn_until(cancel, async move { w.live(key, u).await });
        }
    }

    async fn live(self: Rc<Worker>, key: (String, u64), u: crate::world::Upload) {
        let image = u.text("cargo").to_owned();
        if !self.state.borrow().images.contains(&image) {
            runtime::sleep(Micros::from_secs_f64(
                u.num("pull_gb") / cfg().fetch_gb_per_s,
            ))
            .await;
            self.state.borrow_mut().images.insert(image);
        }
        if let Some(dir) = self.fleet.descriptions.borrow().as_ref() {
            let job = key.0.split('/').next().unwrap_or("");
            let text = std::fs::read_to_string(dir.join(format!("{job}.json"))).unwrap_or_default();
            self.fleet.record.line(&format!(
                "{} fetches the description of {}: {text}",
                self.id, key.0
            ));
            self.fleet.commands.borrow_mut().push((key.0.clone(), text));
        }
        self.fleet.task_on(&key.0, &self);
        if u.text("hull") == "group" {
            return self.live_in_gang(key, u).await;
        }
        if let Some(t) = self.state.borrow_mut().tasks.get_mut(&key) {
            t.at = At::Running;
        }
        self.changed.notify();
        if self.failing.get() {
            runtime::sleep(Micros::from_millis(500)).await;
            let w = self.clone();
            runtime::spawn(async move { w.end(&key, "error") });
            return;
        }
        let had = self.fleet.done.borrow().contains(&key.0);
        if u.text("hull") == "daemon" {
            return std::future::pending().await;
        }
        if !had {
            runtime::sleep(Micros::from_secs_f64(u.run_s)).await;
        }
        self.while_hung().await;
        self.fleet.done.borrow_mut().insert(key.0.clone());
        // Ended from outside of this routine, which the end cancels.
        let w = self.clone();
        runtime::spawn(async move { w.end(&key, "done") });
    }
}

impl Worker {
    fn become_state(&self, key: &(String, u64), at: At) {
        if let Some(t) = self.state.borrow_mut().tasks.get_mut(key) {
            t.at = at;
        }
        self.changed.notify();
    }

    async fn live_in_gang(self: Rc<Worker>, key: (String, u64), u: Upload) {
        let (job, index) = key.0.split_once('/').unwrap_or((&key.0, "0"));
        let (gang, index, oars) = (
            (job.to_owned(), key.1),
            index.parse::<u32>().unwrap_or(0),
            u.num("oars") as usize,
        );
        self.become_state(&key, At::Waiting);
        self.fleet
            .gangs
            .borrow_mut()
            .entry(gang.clone())
            .or_default()
            .present
            .insert(index, self.clone());
        let came = runtime::now();
        let mut alone_since: Option<Micros> = None;
        let mut running_since: Option<Micros> = None;
        let wreck = loop {
            runtime::sleep(Micros::from_millis(50)).await;
            self.while_hung().await;
            let now = runtime::now();
            let mut gangs = self.fleet.gangs.borrow_mut();
            let Some(g) = gangs.get_mut(&gang) else {
                break "mates_gone";
            };
            if g.done {
                break "done";
            }
            if !g.started {
                if g.present.len() == oars {
                    g.started = true;
                } else if now > came + Micros::from_secs_f64(cfg().gang_wait_s) {
                    break "incomplete";
                }
                continue;
            }
            let whole = g.present.len() == oars && g.present.values().all(|w| !w.hung.get());
            if whole {
                alone_since = None;
                let since = *running_since.get_or_insert(now);
                if since == now {
                    drop(gangs);
                    self.become_state(&key, At::Running);
                    continue;
                }
                if now >= since + Micros::from_secs_f64(u.run_s) {
                    g.done = true;
                    for i in 0..oars {
                        self.fleet
                            .done
                            .borrow_mut()
                            .insert(format!("{}/{i}", gang.0));
                    }
                    break "done";
                }
            } else if now > *alone_since.get_or_insert(now) + Micros::from_secs(5) {
                break "mates_gone";
            }
        };
        let w = self.clone();
        runtime::spawn(async move { w.end(&key, wreck) });
    }
}

struct Vessel {
    basin: String,
    spot: bool,
    rented: Micros,
    worker: Option<Rc<Worker>>,
    died: Option<Micros>,
}

/// The cloud: rents machines, which are up after `boot`.
pub struct Cloud {
    fleet: Rc<Fleet>,
    vessels: RefCell<BTreeMap<String, Vessel>>,
    charters: RefCell<BTreeMap<String, Vec<String>>>,
    last: Cell<u64>,
    most: usize,
    /// Answers "trouble" to every request.
    pub trouble: Cell<bool>,
    /// Carries requests out this late, unanswered.
    pub late: Cell<Option<Micros>>,
    /// How many machines a zone can have, where that is limited.
    pub zone_most: RefCell<BTreeMap<String, usize>>,
    boot: Micros,
    /// Lists as of earlier moments.
    lists: RefCell<Vec<(Micros, Vec<Value>)>>,
}

#[derive(Deserialize)]
struct Rent {
    charter: String,
    #[allow(dead_code)]
    rig: String,
    basin: String,
    #[serde(default)]
    driftboats: bool,
    number: usize,
}
#[derive(Deserialize)]
struct Names {
    vessels: Vec<String>,
}

impl Cloud {
    pub fn start(
        fleet: &Rc<Fleet>,
        zones: &[&str],
        most: usize,
        boot_s: f64,
    ) -> (Rc<Cloud>, SocketAddr) {
        let cloud = Rc::new(Cloud {
            fleet: fleet.clone(),
            vessels: RefCell::default(),
            charters: RefCell::default(),
            last: Cell::new(0),
            most,
            trouble: Cell::new(false),
            late: Cell::new(None),
            zone_most: RefCell::default(),
            boot: Micros::from_secs_f64(boot_s),
            lists: RefCell::default(),
        });
        let c = cloud.clone();
        let basins: Vec<String> = zones.iter().map(|z| (*z).to_owned()).collect();
        let addr = serve(move |r| {
            let (c, basins) = (c.clone(), basins.clone());
            async move {
                if c.trouble.get() {
                    return Response::msgpack(503, &json!({"error":"trouble"}));
                }
                if let Some(late) = c.late.get()
                    && r.method == Method::Post
                {
                    runtime::spawn(async move {
                        runtime::sleep(late).await;
                        c.answer(&r, &basins);
                    });
                    return crate::world::lost_answer().await;
                }
                c.answer(&r, &basins)
            }
        });
        let c = cloud.clone();
        runtime::spawn(async move {
            loop {
                c.note_list();
                runtime::sleep(Micros::from_millis(250)).await;
            }
        });
        (cloud, addr)
    }

    fn note_list(&self) {
        let now = runtime::now();
        let list = self
            .vessels
            .borrow()
            .iter()
            .map(|(id, v)| {
                json!({"id":id,"address":v.worker.as_ref().map(|w| w.address.to_string()),"rig":cfg().rig,"basin":v.basin,
                    "driftboats":v.spot,"bearing":if v.died.is_some_and(|d| now > d + Micros::from_secs(30)) {"failed"} else if v.worker.is_some() {"running"} else {"booting"},
                    "held_s":(now - v.rented).as_secs_f64()})
            })
            .collect();
        let mut lists = self.lists.borrow_mut();
        lists.push((now, list));
        lists.retain(|(at, _)| *at + Micros::from_secs(12) > now);
    }

    /// A machine stops with all that is on it.
    pub fn die(&self, id: &str) {
        if let Some(v) = self.vessels.borrow_mut().get_mut(id)
            && let Some(w) = &v.worker
        {
            v.died = Some(runtime::now());
            w.kill_all("the machine stopped");
            w.gone.cancel();
        }
    }

    /// Rents a machine. It is up after `boot`, at once if `boot` is zero.
    pub fn rent(self: &Rc<Cloud>, basin: &str, spot: bool, boot: Option<Micros>) -> String {
        self.last.set(self.last.get() + 1);
        let id = format!("m-{:06}", self.last.get());
        let v = Vessel {
            basin: basin.to_owned(),
            spot,
            rented: runtime::now(),
            worker: None,
            died: None,
        };
        self.vessels.borrow_mut().insert(id.clone(), v);
        let (c, name, basin, boot) = (
            self.clone(),
            id.clone(),
            basin.to_owned(),
            boot.unwrap_or(self.boot),
        );
        runtime::spawn(async move {
            runtime::sleep(boot).await;
            if let Some(v) = c.vessels.borrow_mut().get_mut(&name) {
                v.worker = Some(Worker::start(&c.fleet, &name, &basin, spot));
            }
        });
        id
    }

    fn answer(self: &Rc<Cloud>, r: &Request, basins: &[String]) -> Response {
        let (path, query) = target(&r.path);
        match (r.method, path) {
            (Method::Get, "/catalog") => Response::msgpack(
                200,
                &json!({"rigs":[{"label":cfg().rig,"cpus":cfg().cpus,"cards":cfg().cards,"mem_gb":cfg().mem_gb,"cache_gb":cfg().cache_gb,
                    "fetch_gb_per_s":cfg().fetch_gb_per_s,"price":cfg().price,"spot_price":cfg().spot_price,"boot_s":cfg().boot_s,"basins":basins}]}),
            ),
            (Method::Post, "/machines") => {
                let Ok(q) = decode::<Rent>(&r.body) else {
                    return Response::empty(400);
                };
                if let Some(v) = self.charters.borrow().get(&q.charter) {
                    return Response::msgpack(200, &json!({"vessels":v}));
                }
                let room = self.most.saturating_sub(self.vessels.borrow().len());
                let here = self
                    .vessels
                    .borrow()
                    .values()
                    .filter(|v| v.basin == q.basin)
                    .count();
                let zone_room = self
                    .zone_most
                    .borrow()
                    .get(&q.basin)
                    .map_or(usize::MAX, |m| m.saturating_sub(here));
                let n = room.min(zone_room).min(q.number).min(50);
                self.fleet.record.line(&format!(
                    "cloud: {} machines asked for in {}, {n} given",
                    q.number, q.basin
                ));
                if n == 0 {
                    return Response::msgpack(503, &json!({"error":"no capacity"}));
                }
                let v: Vec<String> = (0..n)
                    .map(|_| self.rent(&q.basin, q.driftboats, None))
                    .collect();
                self.charters.borrow_mut().insert(q.charter, v.clone());
                Response::msgpack(200, &json!({"vessels":v}))
            }
            (Method::Post, "/machines/delete") => {
                let Ok(q) = decode::<Names>(&r.body) else {
                    return Response::empty(400);
                };
                for id in q.vessels {
                    if let Some(v) = self.vessels.borrow_mut().remove(&id) {
                        self.fleet.record.line(&format!("cloud: {id} is deleted"));
                        if let Some(w) = v.worker {
                            w.kill_all("the machine is deleted");
                            w.gone.cancel();
                        }
                    }
                }
                Response::msgpack(200, &json!({}))
            }
            (Method::Get, "/machines") => {
                let since = query.get("since").cloned().unwrap_or_default();
                let most: usize = query
                    .get("most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(500)
                    .min(500);
                let lists = self.lists.borrow();
                let as_of = runtime::now() - Micros::from_secs_f64(cfg().list_lag_s);
                let list = lists
                    .iter()
                    .rev()
                    .find(|(at, _)| *at <= as_of)
                    .map_or(&[][..], |l| &l.1[..]);
                let after: Vec<&Value> = list
                    .iter()
                    .filter(|v| v["id"].as_str().unwrap_or("") > since.as_str())
                    .collect();
                let page: Vec<&Value> = after.iter().copied().take(most).collect();
                Response::msgpack(
                    200,
                    &json!({"vessels":page,"more":after.len() > page.len()}),
                )
            }
            _ => Response::empty(404),
        }
    }
}
