//! A model in virtual time around the real engine: a key-value store with conditional writes and leases, jobs that take
//! time, nodes that crash, stall and lose messages. Invariants are checked at every change.

mod actions;
mod nodes;
mod store;

use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Action, Engine, Head, JobEnd, JobOutcome, Limits, Plan, RunId, RunRecords, RunState, StepNo,
    StepPage, WriteOutcome,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What is done to one action, counted over all nodes from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Its node crashes before the action reaches the store.
    CrashBefore,
    /// Its node crashes after the action was executed, before the response.
    CrashAfter,
    /// It is executed long after its node has given up waiting for the response.
    Late,
    /// It is executed, and the response is lost.
    NoAnswer,
    /// Its node stalls beyond its lease, and goes on.
    Stall,
}

pub(crate) const FAULTS: [Fault; 5] = [
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Late,
    Fault::NoAnswer,
    Fault::Stall,
];

/// How a step's job behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobBehavior {
    Done(Micros),
    /// The scheduler gives it up.
    GivenUp(Micros),
    /// It runs until it is cancelled.
    Endless,
}

pub(crate) struct ModelRun {
    pub(crate) plan: Plan,
    pub(crate) behaviors: BTreeMap<StepNo, JobBehavior>,
    /// When a client got its cancellation confirmed.
    pub(crate) cancelled: Option<Micros>,
    pub(crate) ended: Option<(RunState, Micros)>,
    /// Steps whose job was accepted, and when; one accepted twice is a violation.
    pub(crate) started: BTreeMap<StepNo, Micros>,
    pub(crate) done: BTreeSet<StepNo>,
}

#[derive(Debug, Clone)]
enum Value {
    Head(Head),
    Claim(usize, u64),
    Page(StepPage),
    Job(bool),
    End(JobEnd, bool),
}

#[derive(Clone)]
enum Change {
    Head(RunId, Head, ModRevision),
    Claim(RunId, String, ModRevision),
    ClaimDeleted(RunId, ModRevision),
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
    Change {
        node: usize,
        process: u64,
        change: Change,
    },
    JobEnds(JobId),
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
    Read(RunId, u64, Box<Option<RunRecords>>),
    Submitted(RunId, u64, StepNo, JobOutcome),
    Cancelled(RunId, u64, StepNo, JobOutcome),
    Written(Box<Action>, WriteOutcome),
}

struct Node {
    process: u64,
    engine: Option<Engine>,
    lease: Option<u64>,
    /// It stalls until then.
    stalled_until: Micros,
}

const LEASE_TTL: Micros = Micros::from_secs(5);

pub(crate) struct Model {
    pub(crate) now: Micros,
    pub(crate) limits: Limits,
    pub(crate) max_txn_ops: usize,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    next: u64,
    rng: StdRng,
    store: BTreeMap<String, (Value, ModRevision, Option<u64>)>,
    revision: u64,
    leases: BTreeMap<u64, Micros>,
    next_lease: u64,
    nodes: Vec<Node>,
    pub(crate) runs: BTreeMap<RunId, ModelRun>,
    /// The `n`th actions meet these faults.
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) actions: u64,
    pub(crate) submissions: u64,
    pub(crate) writes: u64,
    pub(crate) outage: (Micros, Micros),
    /// How long reading a run's records takes.
    pub(crate) read_latency: Micros,
    pub(crate) violations: Vec<String>,
    pub(crate) max_in_flight: BTreeMap<String, usize>,
    in_flight: BTreeMap<String, usize>,
    trace: bool,
}

impl Model {
    pub(crate) fn new(seed: u64, nodes: usize) -> Model {
        let mut m = Model {
            now: Micros::ZERO,
            limits: Limits {
                max_writes_per_s: 50.0,
                max_reads_per_s: 100.0,
                ..Limits::default()
            },
            max_txn_ops: 16,
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
            read_latency: Micros::ZERO,
            violations: Vec::new(),
            max_in_flight: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            trace: std::env::var_os("SIM_TRACE").is_some(),
        };
        for i in 0..nodes {
            m.nodes.push(Node {
                process: 0,
                engine: None,
                lease: None,
                stalled_until: Micros::ZERO,
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

    fn violate(&mut self, violation: String) {
        self.violations
            .push(format!("{:.3} s: {violation}", self.now.as_secs_f64()));
    }

    /// A client submits a run.
    pub(crate) fn submit(
        &mut self,
        run: RunId,
        team: &str,
        plan: Plan,
        behaviors: BTreeMap<StepNo, JobBehavior>,
        continue_on_error: bool,
    ) {
        let mut head = Head::new(&format!("run {run}"), team, "client", &plan, 1, self.now.0);
        if continue_on_error {
            head.on_error = hopyoke_workflow::OnError::Continue;
        }
        if let Err(e) = plan.check(team) {
            panic!("{e}");
        }
        let truth = ModelRun {
            plan,
            behaviors,
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

    pub(crate) fn cancel_at(&mut self, run: RunId, t: Micros) {
        self.at(t, Event::Cancel(run));
    }

    pub(crate) fn crash_at(&mut self, node: usize, t: Micros) {
        self.at(t, Event::Crash(node));
    }

    /// Another submitter has a job under this id.
    pub(crate) fn add_foreign_job(&mut self, job: &JobId, over: bool) {
        let (key, value) = if over {
            (format!("end/{job}"), Value::End(JobEnd::Done, false))
        } else {
            (format!("job/{job}"), Value::Job(false))
        };
        self.apply(vec![(key, Some(value), None)]);
    }

    pub(crate) fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((t, _, key))) = self.queue.peek().copied() {
            if t > end || !self.violations.is_empty() {
                break;
            }
            self.queue.pop();
            self.now = t;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    pub(crate) fn entities_visited(&self) -> u64 {
        self.nodes
            .iter()
            .filter_map(|n| n.engine.as_ref())
            .map(Engine::entities_visited)
            .sum()
    }
}

fn node_name(i: usize) -> String {
    format!("node-{i}")
}
