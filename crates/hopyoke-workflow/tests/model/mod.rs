//! A discrete-event simulation of nodes that run the real engine against a key-value store with leases and conditional
//! writes. Jobs take time, and nodes crash, stall and lose messages. Invariants are checked at every change.

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

/// A fault that is injected into one action. Actions are numbered over all nodes from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The node crashes before the action reaches the store.
    CrashBefore,
    /// The node crashes after sending the action, before the response.
    CrashAfter,
    /// The action is executed long after the node's response timeout.
    Late,
    /// The action is executed, but the response is lost.
    NoAnswer,
    /// The node stalls for longer than its lease and then resumes.
    Stall,
}

pub(crate) const FAULTS: [Fault; 5] = [
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Late,
    Fault::NoAnswer,
    Fault::Stall,
];

/// The behavior of a step's job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobBehavior {
    /// The job succeeds after this time.
    Done(Micros),
    /// The job fails after this time.
    Failed(Micros),
    /// The job runs until it is cancelled.
    Endless,
}

pub(crate) struct ModelRun {
    pub(crate) plan: Plan,
    pub(crate) behaviors: BTreeMap<StepNo, JobBehavior>,
    /// When the client's cancellation was confirmed.
    pub(crate) cancelled: Option<Micros>,
    pub(crate) ended: Option<(RunState, Micros)>,
    /// When the job of each step was accepted. A second job of a step is a violation.
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
        expects_reply: bool,
        lease: u64,
        is_abandoned: bool,
    },
    Reply {
        node: usize,
        process: u64,
        reply: Reply,
    },
    Change {
        node: usize,
        process: u64,
        change: Change,
    },
    EndJob(JobId),
    Wake {
        node: usize,
        process: u64,
    },
    RenewLease {
        node: usize,
        process: u64,
    },
    ExpireLeases,
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
    /// The time until which the node stalls.
    stalled_until: Micros,
}

const LEASE_TTL: Micros = Micros::from_secs(5);

pub(crate) struct Model {
    pub(crate) now: Micros,
    pub(crate) limits: Limits,
    pub(crate) max_txn_ops: usize,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    next_sequence: u64,
    rng: StdRng,
    store: BTreeMap<String, (Value, ModRevision, Option<u64>)>,
    revision: u64,
    leases: BTreeMap<u64, Micros>,
    next_lease: u64,
    nodes: Vec<Node>,
    pub(crate) runs: BTreeMap<RunId, ModelRun>,
    /// Faults by the number of the action.
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) actions: u64,
    pub(crate) submissions: u64,
    pub(crate) writes: u64,
    pub(crate) outage: (Micros, Micros),
    /// The additional latency of reading a run's records.
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
            next_sequence: 0,
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
        m.at(Micros::ZERO, Event::ExpireLeases);
        m
    }

    fn at(&mut self, t: Micros, event: Event) {
        self.next_sequence += 1;
        let key = self.next_sequence as usize;
        self.events.insert(key, event);
        self.queue
            .push(Reverse((t.max(self.now), self.next_sequence, key)));
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn latency(&mut self) -> Micros {
        Micros(self.rng.random_range(500..8_000))
    }

    fn log(&self, message: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:9.4} {}", self.now.as_secs_f64(), message());
        }
    }

    fn record_violation(&mut self, violation: String) {
        self.violations
            .push(format!("{:.3} s: {violation}", self.now.as_secs_f64()));
    }

    /// Submits a run as a client.
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
        let model_run = ModelRun {
            plan,
            behaviors,
            cancelled: None,
            ended: None,
            started: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        self.runs.insert(run, model_run);
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

    /// Adds a job of another submitter under this id.
    pub(crate) fn add_foreign_job(&mut self, job: &JobId, has_ended: bool) {
        let (key, value) = if has_ended {
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
