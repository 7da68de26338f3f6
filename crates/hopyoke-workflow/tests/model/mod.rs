//! A model in virtual time around the real engine: a state service with conditional writes and
//! leases, jobs that take a while, nodes that crash, stall and lose messages. What must always
//! hold is checked at every change.

use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Action, Engine, Fetched, Head, JobEnd, Limits, Outcome, Plan, RunId, RunState, StepNo,
    StepPage, Written, parts_of,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What is done to one action, counted over all nodes from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its node ends before the action reaches the state service.
    CrashBefore,
    /// Its node ends after the action was executed, before the answer.
    CrashAfter,
    /// It is executed long after its node has given up waiting for an answer.
    Late,
    /// It is executed, and the answer is lost.
    NoAnswer,
    /// Its node stands still, past its lease, and goes on.
    Stall,
}

pub const FAULTS: [Fault; 5] = [
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Late,
    Fault::NoAnswer,
    Fault::Stall,
];

/// How a step's job fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Done(Micros),
    /// The scheduler gives it up.
    GivenUp(Micros),
    /// It runs until it is cancelled.
    Endless,
}

pub struct RunTruth {
    pub plan: Plan,
    pub fates: BTreeMap<StepNo, Fate>,
    /// When a client was told that it is cancelled.
    pub cancelled: Option<Micros>,
    pub ended: Option<(RunState, Micros)>,
    /// Steps whose job was accepted, and when; one that was accepted twice breaks a rule.
    pub started: BTreeMap<StepNo, Micros>,
    pub done: BTreeSet<StepNo>,
}

#[derive(Debug, Clone)]
enum Value {
    Head(Head),
    Hold(usize, u64),
    Page(StepPage),
    Job(bool),
    End(JobEnd, bool),
}

#[derive(Clone)]
enum News {
    Head(RunId, Head, ModRevision),
    Hold(RunId, String, ModRevision),
    HoldGone(RunId, ModRevision),
    End(JobId, JobEnd),
}

enum Event {
    Execute {
        node: usize,
        process: u64,
        action: Action,
        answer: bool,
        lease: u64,
        tried: bool,
    },
    Answer {
        node: usize,
        process: u64,
        reply: Reply,
    },
    News {
        node: usize,
        process: u64,
        news: News,
    },
    JobOver(JobId),
    Wake {
        node: usize,
        process: u64,
    },
    Renew {
        node: usize,
        process: u64,
    },
    Expire,
    Start(usize),
    Crash(usize),
    Cancel(RunId),
}

enum Reply {
    Claimed(RunId, Result<ModRevision, Option<ModRevision>>),
    Fetched(RunId, u64, Box<Option<Fetched>>),
    Submitted(RunId, u64, StepNo, Outcome),
    Withdrawn(RunId, u64, StepNo, Outcome),
    Written(Box<Action>, Written),
}

struct Node {
    process: u64,
    engine: Option<Engine>,
    lease: Option<u64>,
    /// It stands still until then.
    stalled: Micros,
}

const TTL: Micros = Micros::from_secs(5);

pub struct Model {
    pub now: Micros,
    pub limits: Limits,
    pub txn_ops: usize,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    next: u64,
    rng: StdRng,
    store: BTreeMap<String, (Value, ModRevision, Option<u64>)>,
    revision: u64,
    leases: BTreeMap<u64, Micros>,
    next_lease: u64,
    nodes: Vec<Node>,
    pub runs: BTreeMap<RunId, RunTruth>,
    /// The `n`th actions meet these faults.
    pub faults: Vec<(u64, Fault)>,
    pub actions: u64,
    pub submissions: u64,
    pub writes: u64,
    pub outage: (Micros, Micros),
    /// How long reading a run's records takes.
    pub fetch: Micros,
    pub broken: Vec<String>,
    pub most_in_flight: BTreeMap<String, usize>,
    in_flight: BTreeMap<String, usize>,
    trace: bool,
}

impl Model {
    pub fn new(seed: u64, nodes: usize) -> Model {
        let mut m = Model {
            now: Micros::ZERO,
            limits: Limits {
                writes_per_s: 50.0,
                reads_per_s: 100.0,
                ..Limits::default()
            },
            txn_ops: 16,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
            store: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            nodes: Vec::new(),
            runs: BTreeMap::new(),
            faults: Vec::new(),
            actions: 0,
            submissions: 0,
            writes: 0,
            outage: (Micros::ZERO, Micros::ZERO),
            fetch: Micros::ZERO,
            broken: Vec::new(),
            most_in_flight: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            trace: std::env::var_os("SIM_TRACE").is_some(),
        };
        for i in 0..nodes {
            m.nodes.push(Node {
                process: 0,
                engine: None,
                lease: None,
                stalled: Micros::ZERO,
            });
            m.at(Micros::ZERO, Event::Start(i));
        }
        m.at(Micros::ZERO, Event::Expire);
        m
    }

    fn at(&mut self, t: Micros, event: Event) {
        self.next += 1;
        let key = self.next as usize;
        self.events.insert(key, event);
        self.queue.push(Reverse((t.max(self.now), self.next, key)));
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn latency(&mut self) -> Micros {
        Micros(self.rng.random_range(500..8_000))
    }

    fn log(&self, what: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:9.4} {}", self.now.as_secs_f64(), what());
        }
    }

    fn broke(&mut self, what: String) {
        self.broken
            .push(format!("{:.3} s: {what}", self.now.as_secs_f64()));
    }

    /// A client submits a run.
    pub fn submit(
        &mut self,
        run: RunId,
        team: &str,
        plan: Plan,
        fates: BTreeMap<StepNo, Fate>,
        keep_on: bool,
    ) {
        let mut head = Head::new(&format!("run {run}"), team, "client", &plan, 1, self.now.0);
        if keep_on {
            head.on_error = hopyoke_workflow::OnError::Continue;
        }
        if let Err(e) = plan.check(team) {
            panic!("{e}");
        }
        let truth = RunTruth {
            plan,
            fates,
            cancelled: None,
            ended: None,
            started: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        self.runs.insert(run, truth);
        self.apply(vec![(
            format!("flow/head/{run}"),
            Some(Value::Head(head)),
            None,
        )]);
    }

    pub fn cancel_at(&mut self, run: RunId, t: Micros) {
        self.at(t, Event::Cancel(run));
    }

    pub fn crash_at(&mut self, node: usize, t: Micros) {
        self.at(t, Event::Crash(node));
    }

    /// Somebody else has a job under this id.
    pub fn foreign(&mut self, job: &JobId, over: bool) {
        let (key, value) = if over {
            (format!("end/{job}"), Value::End(JobEnd::Done, false))
        } else {
            (format!("job/{job}"), Value::Job(false))
        };
        self.apply(vec![(key, Some(value), None)]);
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((t, _, key))) = self.queue.peek().copied() {
            if t > end || !self.broken.is_empty() {
                break;
            }
            self.queue.pop();
            self.now = t;
            if let Some(event) = self.events.remove(&key) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    pub fn looks(&self) -> u64 {
        self.nodes
            .iter()
            .filter_map(|n| n.engine.as_ref())
            .map(Engine::looks)
            .sum()
    }

    fn down(&self) -> bool {
        self.now >= self.outage.0 && self.now < self.outage.1
    }

    fn mod_revision(&self, key: &str) -> ModRevision {
        self.store.get(key).map_or(ModRevision(0), |v| v.1)
    }

    // ---- the state service ----------------------------------------------------------------

    fn apply(&mut self, changes: Vec<(String, Option<Value>, Option<u64>)>) -> ModRevision {
        self.revision += 1;
        let mod_revision = ModRevision(self.revision);
        for (key, value, lease) in changes {
            self.writes += 1;
            self.check_change(&key, value.as_ref());
            match value {
                Some(value) => {
                    self.store.insert(key.clone(), (value, mod_revision, lease));
                }
                None => {
                    self.store.remove(&key);
                }
            }
            self.tell(&key, mod_revision);
        }
        mod_revision
    }

    /// Guards what must hold at every change.
    fn check_change(&mut self, key: &str, value: Option<&Value>) {
        match (key.split_once('/').map_or("", |k| k.0), value) {
            ("flow", Some(Value::Head(head))) => {
                let before = match self.store.get(key) {
                    Some((Value::Head(h), ..)) => Some(h.clone()),
                    _ => None,
                };
                if before.is_some_and(|b| b.state.is_final()) {
                    self.broke(format!("went_back: {key} is final and changes"));
                }
                let run = key
                    .rsplit('/')
                    .next()
                    .and_then(RunId::parse)
                    .expect("a run's key");
                let now = self.now;
                let mut open = Vec::new();
                if let Some(r) = self.runs.get_mut(&run)
                    && head.state.is_final()
                {
                    r.ended = Some((head.state, now));
                    let ended = |s: &StepNo| r.done.contains(s) || !r.started.contains_key(s);
                    open = r.started.keys().copied().filter(|s| !ended(s)).collect();
                    open.retain(|s| {
                        self.store.keys().any(|k| {
                            let job = k.strip_prefix("job/").map(JobId::new);
                            job.is_some_and(|j| {
                                parts_of(&j).is_some_and(|(r, step, _)| r == run && step == *s)
                                    && matches!(self.store[k].0, Value::Job(true))
                            })
                        })
                    });
                }
                if !open.is_empty() {
                    self.broke(format!("run {run} is over and jobs of {open:?} are not"));
                }
            }
            ("job", Some(Value::Job(true))) => {
                let job = JobId::new(&key[4..]);
                let (run, step, _) = parts_of(&job).expect("a step's id");
                let head = match self.store.get(&format!("flow/head/{run}")) {
                    Some((Value::Head(h), ..)) => h.state,
                    _ => panic!("a job of no run"),
                };
                let r = self.runs.get_mut(&run).expect("a submitted run");
                let early = early(&r.plan, &r.done, step);
                let twice = r.started.insert(step, self.now).is_some();
                if twice {
                    self.broke(format!(
                        "ran_twice: step {} of run {run} has a second job",
                        step.0
                    ));
                }
                if let Some(s) = early {
                    self.broke(format!(
                        "step {} of run {run} starts before step {} is done",
                        step.0, s.0
                    ));
                }
                if head != RunState::Running {
                    self.broke(format!(
                        "ran_cancelled: step {} of run {run} starts in state {head:?}",
                        step.0
                    ));
                }
            }
            _ => {}
        }
    }

    fn tell(&mut self, key: &str, mod_revision: ModRevision) {
        let value = self.store.get(key).map(|v| v.0.clone());
        let run = || {
            key.rsplit('/')
                .next()
                .and_then(RunId::parse)
                .expect("a run's key")
        };
        let news = match value {
            Some(Value::Head(h)) => News::Head(run(), h, mod_revision),
            Some(Value::Hold(node, _)) => News::Hold(run(), node_name(node), mod_revision),
            None if key.starts_with("flow/hold/") => News::HoldGone(run(), mod_revision),
            Some(Value::End(end, true)) => News::End(JobId::new(&key[4..]), end),
            _ => return,
        };
        for node in 0..self.nodes.len() {
            // In order: one connection.
            let span = Micros(4_000);
            let process = self.nodes[node].process;
            self.after(
                span,
                Event::News {
                    node,
                    process,
                    news: news.clone(),
                },
            );
        }
    }

    fn end_job(&mut self, job: &JobId, end: JobEnd) {
        let team = match parts_of(job) {
            Some((run, step, _)) => {
                let r = self.runs.get_mut(&run).expect("a run");
                if end == JobEnd::Done {
                    r.done.insert(step);
                }
                let shape = r.plan.steps[step.0 as usize].shape.unwrap_or(0);
                r.plan.shapes[shape as usize].team.clone()
            }
            None => String::new(),
        };
        *self.in_flight.entry(team).or_default() -= 1;
        self.apply(vec![
            (format!("job/{job}"), None, None),
            (format!("end/{job}"), Some(Value::End(end, true)), None),
        ]);
    }

    fn execute(&mut self, node: usize, lease: u64, action: &Action) -> Reply {
        let held = |m: &Model, run: RunId| m.mod_revision(&format!("flow/hold/{run}"));
        match action {
            Action::Claim { run } => {
                let key = format!("flow/hold/{run}");
                let result = match self.store.get(&key) {
                    Some((Value::Hold(n, l), mod_revision, _)) if (*n, *l) == (node, lease) => {
                        Ok(*mod_revision)
                    }
                    Some((_, mod_revision, _)) => Err(Some(*mod_revision)),
                    None if !self.leases.contains_key(&lease) => Err(None),
                    None => {
                        Ok(self.apply(vec![(key, Some(Value::Hold(node, lease)), Some(lease))]))
                    }
                };
                Reply::Claimed(*run, result)
            }
            Action::Fetch { run, epoch, plan } => {
                let head = match self.store.get(&format!("flow/head/{run}")) {
                    Some((Value::Head(h), mod_revision, _)) => Some((h.clone(), *mod_revision)),
                    _ => None,
                };
                let fetched = head.map(|(head, head_revision)| Fetched {
                    head,
                    head_revision,
                    grant: Some(held(self, *run)).filter(|m| *m != ModRevision(0)),
                    plan: plan.then(|| self.runs[run].plan.clone()),
                    pages: self
                        .under(&format!("flowpage/{run}/"))
                        .filter_map(|(k, v, m)| match v {
                            Value::Page(p) => Some((k.parse().ok()?, m, p.clone())),
                            _ => None,
                        })
                        .collect(),
                    jobs: self
                        .under(&format!("job/{}", hopyoke_workflow::job_prefix(*run)))
                        .filter_map(|(k, v, _)| match v {
                            Value::Job(ours) => Some((
                                JobId::new(&format!("{}{k}", hopyoke_workflow::job_prefix(*run))),
                                *ours,
                            )),
                            _ => None,
                        })
                        .collect(),
                    ends: self
                        .under(&format!("end/{}", hopyoke_workflow::job_prefix(*run)))
                        .filter_map(|(k, v, _)| match v {
                            Value::End(end, ours) => Some((
                                JobId::new(&format!("{}{k}", hopyoke_workflow::job_prefix(*run))),
                                *end,
                                *ours,
                            )),
                            _ => None,
                        })
                        .collect(),
                });
                Reply::Fetched(*run, *epoch, Box::new(fetched))
            }
            Action::Submit {
                run,
                epoch,
                step,
                spec,
                grant,
                head,
            } => {
                let job = &spec.id;
                let outcome = match (
                    self.store.get(&format!("job/{job}")),
                    self.store.get(&format!("end/{job}")),
                ) {
                    (Some((Value::Job(true), ..)), _) => Outcome::Known,
                    (_, Some((Value::End(end, true), ..))) => Outcome::Ended(*end),
                    (Some(_), _) | (_, Some(_)) => Outcome::Taken,
                    _ if held(self, *run) != *grant => Outcome::Stale,
                    _ if self.mod_revision(&format!("flow/head/{run}")) != *head => Outcome::Stale,
                    _ => {
                        self.submissions += 1;
                        let n = self.in_flight.entry(spec.team.clone()).or_default();
                        *n += 1;
                        let most = self.most_in_flight.entry(spec.team.clone()).or_default();
                        *most = (*most).max(*n);
                        self.apply(vec![(format!("job/{job}"), Some(Value::Job(true)), None)]);
                        match self.runs[run]
                            .fates
                            .get(step)
                            .copied()
                            .unwrap_or(Fate::Endless)
                        {
                            Fate::Done(t) | Fate::GivenUp(t) => {
                                self.after(t, Event::JobOver(job.clone()))
                            }
                            Fate::Endless => {}
                        }
                        Outcome::Accepted
                    }
                };
                Reply::Submitted(*run, *epoch, *step, outcome)
            }
            Action::Withdraw {
                run,
                epoch,
                step,
                job,
            } => {
                let outcome = match (
                    self.store.get(&format!("job/{job}")),
                    self.store.get(&format!("end/{job}")),
                ) {
                    (Some((Value::Job(true), ..)), _) => {
                        self.end_job(job, JobEnd::Cancelled);
                        Outcome::Ended(JobEnd::Cancelled)
                    }
                    (_, Some((Value::End(end, true), ..))) => Outcome::Ended(*end),
                    (Some(_), _) | (_, Some(_)) => Outcome::Taken,
                    _ => Outcome::Missing,
                };
                Reply::Withdrawn(*run, *epoch, *step, outcome)
            }
            Action::Write {
                run,
                grant,
                pages,
                head,
                release,
                ..
            } => {
                let page_key = |p: &u32| format!("flowpage/{run}/{p}");
                let fits = held(self, *run) == *grant
                    && pages.iter().all(|(p, mod_revision, _)| {
                        self.mod_revision(&page_key(p)) == *mod_revision
                    })
                    && head.as_ref().is_none_or(|(mod_revision, _)| {
                        self.mod_revision(&format!("flow/head/{run}")) == *mod_revision
                    });
                let ops = pages.len() + usize::from(head.is_some()) + usize::from(*release);
                assert!(ops <= self.txn_ops, "{ops} changes in a transaction");
                if !fits {
                    return Reply::Written(Box::new(action.clone()), Written::Conflict);
                }
                let mut changes = Vec::new();
                for (p, _, page) in pages {
                    changes.push((page_key(p), Some(Value::Page(page.clone())), None));
                }
                if let Some((_, head)) = head {
                    changes.push((
                        format!("flow/head/{run}"),
                        Some(Value::Head(head.clone())),
                        None,
                    ));
                }
                if *release {
                    changes.push((format!("flow/hold/{run}"), None, None));
                }
                let mod_revision = self.apply(changes);
                Reply::Written(Box::new(action.clone()), Written::Applied(mod_revision))
            }
        }
    }

    fn under<'a>(
        &'a self,
        prefix: &str,
    ) -> impl Iterator<Item = (&'a str, &'a Value, ModRevision)> + use<'a> {
        let prefix = prefix.to_owned();
        let range = self.store.range(prefix.clone()..);
        range.map_while(move |(k, (v, mod_revision, _))| {
            Some((k.strip_prefix(&prefix)?, v, *mod_revision))
        })
    }

    // ---- nodes ----------------------------------------------------------------------------

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start(i) => self.start(i),
            Event::Crash(i) => self.crash(i),
            Event::Expire => {
                if !self.down() {
                    let over: Vec<u64> = self
                        .leases
                        .iter()
                        .filter(|(_, t)| **t <= self.now)
                        .map(|(l, _)| *l)
                        .collect();
                    for lease in over {
                        self.leases.remove(&lease);
                        let keys: Vec<String> = self
                            .store
                            .iter()
                            .filter(|(_, v)| v.2 == Some(lease))
                            .map(|(k, _)| k.clone())
                            .collect();
                        for key in keys {
                            self.apply(vec![(key, None, None)]);
                        }
                    }
                }
                self.after(Micros::from_millis(50), Event::Expire);
            }
            Event::Renew { node, process } if self.alive(node, process) => {
                if self.now < self.nodes[node].stalled {
                    let t = self.nodes[node].stalled;
                    return self.at(t, Event::Renew { node, process });
                }
                let lease = self.nodes[node]
                    .lease
                    .filter(|l| self.leases.contains_key(l));
                if self.down() {
                } else if let Some(l) = lease {
                    let until = self.now + TTL;
                    self.leases.insert(l, until);
                } else {
                    let had = self.nodes[node].lease.is_some();
                    self.next_lease += 1;
                    self.leases.insert(self.next_lease, self.now + TTL);
                    self.nodes[node].lease = Some(self.next_lease);
                    let now = self.now;
                    if had && let Some(e) = &mut self.nodes[node].engine {
                        e.lease_lost(now);
                    }
                    self.act(node);
                }
                self.after(Micros::from_secs(1), Event::Renew { node, process });
            }
            Event::Wake { node, process } if self.alive(node, process) => {
                if self.now < self.nodes[node].stalled {
                    let t = self.nodes[node].stalled;
                    return self.at(t, Event::Wake { node, process });
                }
                self.act(node);
                let now = self.now;
                let next = self.nodes[node]
                    .engine
                    .as_ref()
                    .map_or(now, |e| e.next_due(now));
                let next = next.clamp(now + Micros(2_000), now + Micros::from_millis(500));
                self.at(next, Event::Wake { node, process });
            }
            Event::Execute {
                node,
                process,
                action,
                answer,
                lease,
                tried,
            } => {
                // What a dead process sent is still on its way.
                if self.down() {
                    if answer && !tried {
                        let t = self.now + Micros::from_millis(5);
                        let reply = unanswered(&action, false);
                        self.at(
                            t,
                            Event::Answer {
                                node,
                                process,
                                reply,
                            },
                        );
                    }
                    return;
                }
                self.log(|| format!("{} {action:?}", node_name(node)));
                let reply = self.execute(node, lease, &action);
                if answer {
                    let reading = if matches!(reply, Reply::Fetched(..)) {
                        self.fetch
                    } else {
                        Micros::ZERO
                    };
                    let span = self.latency() + reading;
                    self.after(
                        span,
                        Event::Answer {
                            node,
                            process,
                            reply,
                        },
                    );
                }
            }
            Event::Answer {
                node,
                process,
                reply,
            } if self.alive(node, process) => {
                if self.now < self.nodes[node].stalled {
                    let t = self.nodes[node].stalled;
                    return self.at(
                        t,
                        Event::Answer {
                            node,
                            process,
                            reply,
                        },
                    );
                }
                let now = self.now;
                let Some(e) = &mut self.nodes[node].engine else {
                    return;
                };
                match reply {
                    Reply::Claimed(run, r) => e.claimed(run, r, now),
                    Reply::Fetched(run, epoch, f) => e.fetched(run, epoch, *f, now),
                    Reply::Submitted(run, epoch, step, o) => e.submitted(run, epoch, step, o, now),
                    Reply::Withdrawn(run, epoch, step, o) => e.withdrawn(run, epoch, step, o, now),
                    Reply::Written(action, w) => {
                        if let Action::Write { run, epoch, .. } = &*action {
                            e.written(*run, *epoch, &action, w, now);
                        }
                    }
                }
                self.act(node);
            }
            Event::News {
                node,
                process,
                news,
            } if self.alive(node, process) => {
                if self.now < self.nodes[node].stalled {
                    let t = self.nodes[node].stalled;
                    return self.at(
                        t,
                        Event::News {
                            node,
                            process,
                            news,
                        },
                    );
                }
                let now = self.now;
                let Some(e) = &mut self.nodes[node].engine else {
                    return;
                };
                match news {
                    News::Head(run, head, mod_revision) => {
                        e.head_seen(run, head, mod_revision, now)
                    }
                    News::Hold(run, node, mod_revision) => {
                        e.hold_seen(run, &node, mod_revision, now)
                    }
                    News::HoldGone(run, mod_revision) => e.hold_gone(run, mod_revision, now),
                    News::End(job, end) => e.job_ended(&job, end, now),
                }
                self.act(node);
            }
            Event::JobOver(job) => {
                if self.down() {
                    return self.after(Micros::from_millis(200), Event::JobOver(job));
                }
                if matches!(
                    self.store.get(&format!("job/{job}")),
                    Some((Value::Job(true), ..))
                ) {
                    let (run, step, _) = parts_of(&job).expect("a step's job");
                    let end = match self.runs[&run].fates.get(&step) {
                        Some(Fate::GivenUp(_)) => JobEnd::GivenUp,
                        _ => JobEnd::Done,
                    };
                    self.end_job(&job, end);
                }
            }
            Event::Cancel(run) => {
                let key = format!("flow/head/{run}");
                if self.down() {
                    return self.after(Micros::from_millis(300), Event::Cancel(run));
                }
                if let Some((Value::Head(head), ..)) = self.store.get(&key)
                    && !head.state.is_final()
                {
                    let head = Head {
                        state: RunState::Cancelling,
                        ..head.clone()
                    };
                    self.apply(vec![(key, Some(Value::Head(head)), None)]);
                    let now = self.now;
                    self.runs.get_mut(&run).expect("a run").cancelled = Some(now);
                }
            }
            Event::Renew { .. }
            | Event::Wake { .. }
            | Event::Answer { .. }
            | Event::News { .. } => {}
        }
    }

    fn alive(&self, node: usize, process: u64) -> bool {
        self.nodes[node].process == process && self.nodes[node].engine.is_some()
    }

    fn start(&mut self, node: usize) {
        if self.down() {
            return self.after(Micros::from_millis(200), Event::Start(node));
        }
        let names = (0..self.nodes.len()).map(node_name).collect();
        let seed = self.rng.random();
        let now = self.now;
        let mut e = Engine::new(
            self.limits.clone(),
            &node_name(node),
            names,
            self.txn_ops,
            seed,
            now,
        );
        let heads: Vec<_> = self
            .under("flow/head/")
            .filter_map(|(k, v, mod_revision)| match v {
                Value::Head(h) => Some((RunId::parse(k)?, h.clone(), mod_revision)),
                _ => None,
            })
            .collect();
        for (run, head, mod_revision) in heads {
            e.head_seen(run, head, mod_revision, now);
        }
        let holds: Vec<_> = self
            .under("flow/hold/")
            .filter_map(|(k, v, mod_revision)| match v {
                Value::Hold(n, _) => Some((RunId::parse(k)?, node_name(*n), mod_revision)),
                _ => None,
            })
            .collect();
        for (run, holder, mod_revision) in holds {
            e.hold_seen(run, &holder, mod_revision, now);
        }
        let n = &mut self.nodes[node];
        n.process += 1;
        n.engine = Some(e);
        n.lease = None;
        let process = n.process;
        self.at(now, Event::Renew { node, process });
        self.at(now, Event::Wake { node, process });
    }

    fn crash(&mut self, node: usize) {
        self.log(|| format!("{} ends", node_name(node)));
        if self.nodes[node].engine.take().is_some() {
            self.after(Micros::from_secs(3), Event::Start(node));
        }
    }

    /// Ticks a node's engine and sends what it wants done.
    fn act(&mut self, node: usize) {
        let now = self.now;
        if now < self.nodes[node].stalled {
            return;
        }
        let process = self.nodes[node].process;
        let lease = self.nodes[node].lease.unwrap_or(0);
        let Some(e) = &mut self.nodes[node].engine else {
            return;
        };
        e.tick(now);
        let faults = e.audit();
        let actions: Vec<Action> = std::iter::from_fn(|| e.next_action()).collect();
        if let Some(f) = faults.first() {
            self.broke(f.clone());
        }
        for action in actions {
            let n = self.actions;
            self.actions += 1;
            let span = self.latency();
            let execute = |m: &mut Model, span: Micros, answer: bool| {
                let event = Event::Execute {
                    node,
                    process,
                    action: action.clone(),
                    answer,
                    lease,
                    tried: !answer,
                };
                m.after(span, event);
            };
            match self.faults.iter().find(|f| f.0 == n).map(|f| f.1) {
                None => execute(self, span, true),
                Some(Fault::CrashBefore) => return self.crash(node),
                Some(Fault::CrashAfter) => {
                    execute(self, span, false);
                    return self.crash(node);
                }
                Some(f @ (Fault::Late | Fault::NoAnswer)) => {
                    let late = if f == Fault::Late {
                        Micros::from_secs(12)
                    } else {
                        span
                    };
                    execute(self, late, false);
                    let reply = unanswered(&action, true);
                    self.after(
                        Micros::from_millis(2_500),
                        Event::Answer {
                            node,
                            process,
                            reply,
                        },
                    );
                }
                Some(Fault::Stall) => {
                    execute(self, span, true);
                    self.nodes[node].stalled = now + Micros::from_secs(9);
                }
            }
        }
    }
}

/// A step with work that is needed and not done; steps without work stand for what they wait for.
fn early(plan: &Plan, done: &BTreeSet<StepNo>, step: StepNo) -> Option<StepNo> {
    let (mut list, mut seen) = (plan.steps[step.0 as usize].after.clone(), BTreeSet::new());
    while let Some(s) = list.pop() {
        let needed = &plan.steps[s.0 as usize];
        if needed.shape.is_some() && !done.contains(&s) {
            return Some(s);
        }
        if needed.shape.is_none() && seen.insert(s) {
            list.extend(&needed.after);
        }
    }
    None
}

/// What a node makes of no answer, or of a refusal.
fn unanswered(action: &Action, unknown: bool) -> Reply {
    let outcome = || {
        if unknown {
            Outcome::Unknown
        } else {
            Outcome::Later(Micros::from_secs(1))
        }
    };
    match action {
        Action::Claim { run } => Reply::Claimed(*run, Err(None)),
        Action::Fetch { run, epoch, .. } => Reply::Fetched(*run, *epoch, Box::new(None)),
        Action::Submit {
            run, epoch, step, ..
        } => Reply::Submitted(*run, *epoch, *step, outcome()),
        Action::Withdraw {
            run, epoch, step, ..
        } => Reply::Withdrawn(*run, *epoch, *step, outcome()),
        Action::Write { .. } => Reply::Written(
            Box::new(action.clone()),
            if unknown {
                Written::Unknown
            } else {
                Written::Refused
            },
        ),
    }
}

fn node_name(i: usize) -> String {
    format!("node-{i}")
}
