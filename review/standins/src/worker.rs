//! Workers: one for each machine. Reports, leases, tokens, commands and tasks as PROTOCOL-hopyoke describes them.

use crate::map;
use crate::site::Site;
use crate::wire::{Client, Request, Response, Value, serve};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Task {
    pub bearing: &'static str,
    pub wreck: Option<&'static str>,
    pub kept: bool,
    /// When the present phase ends (fetch, run, save).
    until: Option<Instant>,
    /// Has its image, so it is on its machine until it exits.
    on_machine: bool,
    spec: Value,
}

struct Inner {
    watch: u64,
    tally: u64,
    helm: u64,
    answered_sent: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    changed: bool,
    gone: bool,
}

/// Troubles of one machine, set by a case.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    /// It hangs: neither tasks nor messages go on.
    pub hangs: bool,
    /// It reaches no controller; direct commands reach it.
    pub mute: bool,
    /// Answers to it and direct commands are lost.
    pub deaf: bool,
    /// Every task fails at once.
    pub sick: bool,
    /// Direct commands are held up this long, unanswered, and then carried out once.
    pub hold_commands_ms: u64,
}

pub struct Worker {
    pub id: String,
    pub rig: String,
    pub basin: String,
    pub spot: bool,
    pub address: Mutex<String>,
    inner: Mutex<Inner>,
    pub trouble: Mutex<Trouble>,
    /// When the cloud takes the machine back, once there is a notice.
    pub recall: Mutex<Option<Instant>>,
    /// Bodies of direct commands that were carried out, oldest first.
    pub carried_out: Mutex<Vec<Vec<u8>>>,
    site: Arc<Site>,
}

impl Worker {
    pub fn start(site: Arc<Site>, id: &str, rig: &str, basin: &str, spot: bool) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            rig: rig.to_owned(),
            basin: basin.to_owned(),
            spot,
            address: Mutex::new(String::new()),
            inner: Mutex::new(Inner {
                watch: 1,
                tally: 0,
                helm: 0,
                answered_sent: Instant::now(),
                tasks: BTreeMap::new(),
                images: BTreeSet::new(),
                changed: false,
                gone: false,
            }),
            trouble: Mutex::new(Trouble::default()),
            recall: Mutex::new(None),
            carried_out: Mutex::new(Vec::new()),
            site,
        });
        let serving = worker.clone();
        let addr = serve(Arc::new(move |r| serving.handle(&r)));
        *worker.address.lock().unwrap() = addr.to_string();
        let w = worker.clone();
        std::thread::spawn(move || w.run_reports());
        let w = worker.clone();
        std::thread::spawn(move || w.run_tasks());
        worker
    }

    pub fn addr(&self) -> SocketAddr {
        self.address.lock().unwrap().parse().unwrap()
    }

    /// The cloud deletes the machine, with everything on it.
    pub fn delete(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        self.kill_all(&mut inner);
    }

    fn kill_all(&self, inner: &mut Inner) {
        for ((oar, launch), t) in std::mem::take(&mut inner.tasks) {
            if t.on_machine {
                self.site.left(&self.id, &oar, launch, "killed");
            }
        }
    }

    /// The cloud gives notice: it takes the machine back after this time.
    pub fn give_notice(&self, after: Duration) {
        *self.recall.lock().unwrap() = Some(Instant::now() + after);
        self.inner.lock().unwrap().changed = true;
    }

    /// Tasks that are on the machine now.
    pub fn on_machine(&self) -> Vec<(String, u64)> {
        let inner = self.inner.lock().unwrap();
        inner
            .tasks
            .iter()
            .filter(|(_, t)| t.on_machine)
            .map(|(k, _)| k.clone())
            .collect()
    }

    pub fn knows(&self, oar: &str) -> bool {
        self.inner
            .lock()
            .unwrap()
            .tasks
            .keys()
            .any(|(o, _)| o == oar)
    }

    pub fn watch(&self) -> u64 {
        self.inner.lock().unwrap().watch
    }

    pub fn helm(&self) -> u64 {
        self.inner.lock().unwrap().helm
    }

    fn report(&self, inner: &mut Inner) -> Value {
        inner.tally += 1;
        let oars: Vec<Value> = inner
            .tasks
            .iter()
            .map(|((oar, launch), t)| {
                let mut m = vec![
                    ("oar".to_owned(), Value::from(oar.clone())),
                    ("launch".to_owned(), Value::from(*launch)),
                    ("bearing".to_owned(), Value::from(t.bearing)),
                ];
                if let Some(w) = t.wreck {
                    m.push(("wreck".to_owned(), Value::from(w)));
                }
                if t.kept {
                    m.push(("kept".to_owned(), Value::from(true)));
                }
                Value::Map(m)
            })
            .collect();
        let left =
            |at: Instant| Value::from(at.saturating_duration_since(Instant::now()).as_secs_f64());
        let recall = self.recall.lock().unwrap().map_or(Value::Nil, left);
        map! {
            "vessel" => self.id.clone(), "address" => self.address.lock().unwrap().clone(),
            "rig" => self.rig.clone(), "basin" => self.basin.clone(), "driftboats" => self.spot,
            "watch" => inner.watch, "tally" => inner.tally, "helm" => inner.helm,
            "recall_s" => recall, "oars" => oars,
        }
    }

    fn wait_while_hanging(&self) {
        while self.trouble.lock().unwrap().hangs {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn handle(&self, r: &Request) -> Response {
        self.wait_while_hanging();
        let trouble = *self.trouble.lock().unwrap();
        if trouble.deaf {
            std::thread::sleep(Duration::from_secs(5));
            return Response::silent();
        }
        if r.path == "/show" {
            let mut inner = self.inner.lock().unwrap();
            let report = self.report(&mut inner);
            return Response::new(200, &report);
        }
        if trouble.hold_commands_ms > 0 {
            std::thread::sleep(Duration::from_millis(trouble.hold_commands_ms));
            self.commands(&r.body);
            return Response::silent();
        }
        self.commands(&r.body)
    }

    /// `POST /commands`.
    pub fn commands(&self, body: &[u8]) -> Response {
        let Some(message) = Value::decode(body) else {
            return Response::empty(400);
        };
        let (Some(helm), Some(watch)) = (message.int("helm"), message.int("watch")) else {
            return Response::empty(400);
        };
        let mut inner = self.inner.lock().unwrap();
        if inner.gone {
            return Response::silent();
        }
        let orders = message.list("orders");
        let is_current = helm >= inner.helm && watch == inner.watch;
        if !orders.is_empty() {
            let what: Vec<String> = orders.iter().map(Value::json).collect();
            self.site.record.line(&format!(
                "{} /commands helm={helm} watch={watch} {} {}",
                self.id,
                if is_current { "executed" } else { "refused" },
                what.join(" ")
            ));
        }
        if is_current {
            inner.helm = helm;
            self.execute(&mut inner, &orders);
            self.carried_out.lock().unwrap().push(body.to_vec());
        }
        let report = self.report(&mut inner);
        Response::new(if is_current { 200 } else { 409 }, &report)
    }

    fn execute(&self, inner: &mut Inner, orders: &[Value]) {
        for o in orders {
            let (oar, launch) = (o.text("oar"), o.int("launch").unwrap_or(0));
            let key = (oar.clone(), launch);
            match o.text("order").as_str() {
                "run" if !inner.tasks.contains_key(&key) => {
                    let task = self.new_task(inner, &oar);
                    inner.changed = true;
                    if let Some(w) = task.wreck {
                        self.site
                            .record
                            .line(&format!("{} refuses {oar} launch={launch}: {w}", self.id));
                    }
                    inner.tasks.insert(key, task);
                }
                "halt" => {
                    let slack = o.float("slack_s");
                    let mut exited = false;
                    if let Some(t) = inner.tasks.get_mut(&key) {
                        let saves = t.bearing == "running"
                            && t.spec.float("logbook_s") > 0.0
                            && slack >= t.spec.float("stow_s");
                        if t.bearing == "ended" || (t.bearing == "saving" && slack > 0.0) {
                        } else if saves {
                            t.bearing = "saving";
                            t.until = Some(
                                Instant::now() + Duration::from_secs_f64(t.spec.float("stow_s")),
                            );
                            inner.changed = true;
                        } else {
                            exited = t.on_machine;
                            (t.bearing, t.wreck, t.until, t.on_machine) =
                                ("ended", Some("halted"), None, false);
                            inner.changed = true;
                        }
                    }
                    if exited {
                        self.site.left(&self.id, &oar, launch, "halted");
                    }
                }
                "reap" => {
                    if inner.tasks.get(&key).is_some_and(|t| t.bearing == "ended") {
                        inner.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn new_task(&self, inner: &Inner, oar: &str) -> Task {
        let refused = |why| Task {
            bearing: "ended",
            wreck: Some(why),
            kept: false,
            until: None,
            on_machine: false,
            spec: Value::Nil,
        };
        let job = oar.split('/').next().unwrap_or("");
        let Some(spec) = self.site.spec(job) else {
            return refused("no_such");
        };
        let index: u64 = oar
            .split('/')
            .nth(1)
            .and_then(|i| i.parse().ok())
            .unwrap_or(u64::MAX);
        if index >= spec.int("oars").unwrap_or(0) {
            return refused("no_such");
        }
        let live: Vec<_> = inner
            .tasks
            .iter()
            .filter(|(_, t)| t.bearing != "ended")
            .collect();
        if live.iter().any(|((o, _), _)| o == oar) {
            return refused("busy");
        }
        let capacity = self.site.rig(&self.rig);
        for amount in ["cpus", "cards", "mem_gb"] {
            let used: f64 = live.iter().map(|(_, t)| t.spec.float(amount)).sum();
            if used + spec.float(amount) > capacity.float(amount) + 1e-6 {
                return refused("no_room");
            }
        }
        let fetch = if inner.images.contains(&spec.text("cargo")) {
            0.0
        } else {
            spec.float("pull_gb") / capacity.float("fetch_gb_per_s").max(0.001)
        };
        Task {
            bearing: "pulling",
            wreck: None,
            kept: false,
            until: Some(Instant::now() + Duration::from_secs_f64(fetch)),
            on_machine: false,
            spec,
        }
    }

    /// Kills all tasks and begins the next session once the lease is over.
    fn end_session_if_due(&self, inner: &mut Inner, now: Instant) {
        if now > inner.answered_sent + Duration::from_secs_f64(self.site.lease_s) {
            self.site.record.line(&format!(
                "{} lease over, watch {} ends",
                self.id, inner.watch
            ));
            self.kill_all(inner);
            inner.watch += 1;
            inner.answered_sent = now;
            inner.changed = true;
        }
    }

    fn run_tasks(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let hung_since = Instant::now();
            // A machine that hangs goes on only within its lease: past it, its tasks are gone.
            while self.trouble.lock().unwrap().hangs {
                std::thread::sleep(Duration::from_millis(20));
                let mut inner = self.inner.lock().unwrap();
                self.end_session_if_due(&mut inner, Instant::now());
            }
            let hung = hung_since.elapsed();
            let mut inner = self.inner.lock().unwrap();
            if inner.gone {
                return;
            }
            if hung > Duration::from_millis(50) {
                inner
                    .tasks
                    .values_mut()
                    .for_each(|t| t.until = t.until.map(|u| u + hung));
            }
            let now = Instant::now();
            self.end_session_if_due(&mut inner, now);
            let sick = self.trouble.lock().unwrap().sick;
            let due: Vec<(String, u64)> = inner
                .tasks
                .iter()
                .filter(|((oar, _), t)| {
                    let is_running_gang = t.bearing == "running" && t.spec.text("hull") == "group";
                    t.until.is_some_and(|u| u <= now) || (is_running_gang && self.site.is_done(oar))
                })
                .map(|(k, _)| k.clone())
                .collect();
            for (oar, launch) in due {
                let key = (oar.clone(), launch);
                let Some(bearing) = inner.tasks.get(&key).map(|t| t.bearing) else {
                    continue;
                };
                inner.changed = true;
                if bearing == "pulling" {
                    let cargo = inner.tasks[&key].spec.text("cargo");
                    inner.images.insert(cargo);
                    if inner.tasks[&key].spec.text("hull") == "group" {
                        inner.tasks.get_mut(&key).unwrap().until = None;
                        inner.tasks.get_mut(&key).unwrap().bearing = "waiting";
                        inner.tasks.get_mut(&key).unwrap().on_machine = true;
                        self.site.entered(&self.id, &self.basin, &oar, launch);
                        self.site.gang_waits(&oar, launch, &self.id);
                        continue;
                    }
                    self.site.entered(&self.id, &self.basin, &oar, launch);
                    let run_s = if sick { 0.3 } else { self.site.run_s(&oar) };
                    let t = inner.tasks.get_mut(&key).unwrap();
                    t.on_machine = true;
                    t.bearing = "running";
                    t.until = (run_s < 1e6).then(|| now + Duration::from_secs_f64(run_s));
                } else {
                    let t = inner.tasks.get_mut(&key).unwrap();
                    let why = match bearing {
                        "saving" => "halted",
                        _ if sick => "error",
                        _ => "done",
                    };
                    t.kept = bearing == "saving";
                    (t.bearing, t.wreck, t.until, t.on_machine) = ("ended", Some(why), None, false);
                    if why == "done" {
                        self.site.task_done(&oar);
                    }
                    self.site.left(&self.id, &oar, launch, why);
                }
            }
            // A gang starts once all its tasks wait.
            let waiting: Vec<(String, u64)> = inner
                .tasks
                .iter()
                .filter(|(_, t)| t.bearing == "waiting")
                .map(|(k, _)| k.clone())
                .collect();
            for (oar, launch) in waiting {
                if self.site.gang_is_complete(&oar, launch) {
                    let run_s = self.site.run_s(&oar);
                    let t = inner.tasks.get_mut(&(oar, launch)).unwrap();
                    t.bearing = "running";
                    t.until = Some(now + Duration::from_secs_f64(run_s));
                    inner.changed = true;
                }
            }
        }
    }

    fn run_reports(&self) {
        let nodes = self.site.nodes();
        let mut at = self.site.random(nodes.len() as u64) as usize;
        let mut client = Client::new(nodes[at].1);
        loop {
            self.wait_while_hanging();
            let trouble = *self.trouble.lock().unwrap();
            let (sent, watch, body) = {
                let mut inner = self.inner.lock().unwrap();
                if inner.gone {
                    return;
                }
                inner.changed = false;
                let report = self.report(&mut inner);
                (Instant::now(), inner.watch, report.encode())
            };
            if client.addr != nodes[at].1 {
                client = Client::new(nodes[at].1);
            }
            if self.site.random(100) < self.site.copy_share.load(Ordering::Relaxed) {
                let (copy, nodes) = (body.clone(), nodes.clone());
                let after = 2_000 + self.site.random(38_000);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(after));
                    for (_, addr) in nodes {
                        Client::new(addr).send("POST", "/hello", &copy, Duration::from_secs(4));
                    }
                });
            }
            let answer = if trouble.mute {
                std::thread::sleep(Duration::from_secs(4));
                None
            } else {
                client.send("POST", "/hello", &body, Duration::from_secs(4))
            };
            let answer = answer.filter(|_| !self.trouble.lock().unwrap().deaf);
            match answer {
                Some((200, a)) => {
                    let mut inner = self.inner.lock().unwrap();
                    let helm = a.int("helm");
                    if helm.is_some_and(|h| h >= inner.helm) && inner.watch == watch && !inner.gone
                    {
                        let helm = helm.unwrap_or(0);
                        inner.changed |= helm > inner.helm;
                        inner.helm = helm;
                        inner.answered_sent = sent;
                        let orders = a.list("orders");
                        if !orders.is_empty() {
                            let what: Vec<String> = orders.iter().map(Value::json).collect();
                            self.site.record.line(&format!(
                                "{} /hello answered helm={helm} {}",
                                self.id,
                                what.join(" ")
                            ));
                        }
                        self.execute(&mut inner, &orders);
                    }
                    drop(inner);
                    let period =
                        self.site.report_s * (0.75 + self.site.random(500) as f64 / 1000.0);
                    let due = sent + Duration::from_secs_f64(period);
                    while Instant::now() < due {
                        std::thread::sleep(Duration::from_millis(20));
                        let inner = self.inner.lock().unwrap();
                        if inner.gone
                            || (inner.changed && sent.elapsed() > Duration::from_millis(500))
                        {
                            break;
                        }
                    }
                }
                Some((421, a)) => {
                    let named = a.text("harbormaster");
                    match nodes.iter().position(|(n, _)| *n == named) {
                        Some(i) if i != at => at = i,
                        _ => {
                            at = (at + 1) % nodes.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                }
                _ => {
                    at = (at + 1) % nodes.len();
                    std::thread::sleep(Duration::from_secs(1));
                }
            }
        }
    }
}
