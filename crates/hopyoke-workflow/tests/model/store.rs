//! The key-value store of the model, and the invariants that each change is checked against.

use super::{Change, Event, Model, Value, node_name};
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{Head, JobEnd, Plan, RunId, RunState, StepNo, parse_job_id};
use std::collections::BTreeSet;

/// How long a change takes to the nodes' watches.
const WATCH_LATENCY: Micros = Micros(4_000);

/// A mutation: key, value (`None`: delete) and lease.
pub(super) type KeyMutation = (String, Option<Value>, Option<u64>);

fn run_of_key(key: &str) -> RunId {
    let id = key.rsplit('/').next().and_then(RunId::parse);
    id.expect("a run's key")
}

impl Model {
    pub(super) fn is_down(&self) -> bool {
        self.now >= self.outage.0 && self.now < self.outage.1
    }

    pub(super) fn mod_revision(&self, key: &str) -> ModRevision {
        self.store.get(key).map_or(ModRevision(0), |v| v.1)
    }

    /// Keys under a prefix, without it, in their order.
    pub(super) fn under<'a>(
        &'a self,
        prefix: &str,
    ) -> impl Iterator<Item = (&'a str, &'a Value, ModRevision)> + use<'a> {
        let prefix = prefix.to_owned();
        let range = self.store.range(prefix.clone()..);
        range.map_while(move |(k, (v, mod_revision, _))| {
            Some((k.strip_prefix(&prefix)?, v, *mod_revision))
        })
    }

    pub(super) fn apply(&mut self, mutations: Vec<KeyMutation>) -> ModRevision {
        self.revision += 1;
        let mod_revision = ModRevision(self.revision);
        for (key, value, lease) in mutations {
            self.writes += 1;
            match &value {
                Some(Value::Head(head)) if key.starts_with("flow/") => self.check_head(&key, head),
                Some(Value::Job(true)) if key.starts_with("job/") => self.check_job(&key),
                _ => {}
            }
            match value {
                Some(value) => {
                    self.store.insert(key.clone(), (value, mod_revision, lease));
                }
                None => {
                    self.store.remove(&key);
                }
            }
            self.notify_nodes(&key, mod_revision);
        }
        mod_revision
    }

    /// A final head never changes, and no job of the run is open once it is written.
    fn check_head(&mut self, key: &str, head: &Head) {
        let before = match self.store.get(key) {
            Some((Value::Head(h), ..)) => Some(h.clone()),
            _ => None,
        };
        if before.is_some_and(|b| b.state.is_final()) {
            self.violate(format!("went_back: {key} is final and changes"));
        }
        let run = run_of_key(key);
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
                        parse_job_id(&j).is_some_and(|(r, step, _)| r == run && step == *s)
                            && matches!(self.store[k].0, Value::Job(true))
                    })
                })
            });
        }
        if !open.is_empty() {
            self.violate(format!("run {run} is over and jobs of {open:?} are not"));
        }
    }

    /// A step's job is accepted once, after its dependencies, and while the run's state permits it.
    fn check_job(&mut self, key: &str) {
        let job = JobId::new(&key[4..]);
        let (run, step, _) = parse_job_id(&job).expect("a step's id");
        let head = match self.store.get(&format!("flow/head/{run}")) {
            Some((Value::Head(h), ..)) => h.state,
            _ => panic!("a job of no run"),
        };
        let r = self.runs.get_mut(&run).expect("a submitted run");
        let unfinished = unfinished_dependency(&r.plan, &r.done, step);
        let is_second = r.started.insert(step, self.now).is_some();
        if is_second {
            self.violate(format!(
                "ran_twice: step {} of run {run} has a second job",
                step.0
            ));
        }
        if let Some(s) = unfinished {
            self.violate(format!(
                "step {} of run {run} starts before step {} is done",
                step.0, s.0
            ));
        }
        if head != RunState::Running {
            self.violate(format!(
                "ran_cancelled: step {} of run {run} starts in state {head:?}",
                step.0
            ));
        }
    }

    /// Sends a change to all nodes' watches, in order: each has one connection.
    fn notify_nodes(&mut self, key: &str, mod_revision: ModRevision) {
        let value = self.store.get(key).map(|v| v.0.clone());
        let change = match value {
            Some(Value::Head(h)) => Change::Head(run_of_key(key), h, mod_revision),
            Some(Value::Claim(node, _)) => {
                Change::Claim(run_of_key(key), node_name(node), mod_revision)
            }
            None if key.starts_with("flow/hold/") => {
                Change::ClaimDeleted(run_of_key(key), mod_revision)
            }
            Some(Value::End(end, true)) => Change::End(JobId::new(&key[4..]), end),
            _ => return,
        };
        for node in 0..self.nodes.len() {
            let process = self.nodes[node].process;
            let change = change.clone();
            self.after(
                WATCH_LATENCY,
                Event::Change {
                    node,
                    process,
                    change,
                },
            );
        }
    }

    pub(super) fn expire_leases(&mut self) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, t)| **t <= self.now)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
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

    pub(super) fn end_job(&mut self, job: &JobId, end: JobEnd) {
        let team = match parse_job_id(job) {
            Some((run, step, _)) => {
                let r = self.runs.get_mut(&run).expect("a run");
                if end == JobEnd::Done {
                    r.done.insert(step);
                }
                let shape = r.plan.steps[step.0 as usize].job_template.unwrap_or(0);
                r.plan.job_templates[shape as usize].team.clone()
            }
            None => String::new(),
        };
        *self.in_flight.entry(team).or_default() -= 1;
        self.apply(vec![
            (format!("job/{job}"), None, None),
            (format!("end/{job}"), Some(Value::End(end, true)), None),
        ]);
    }
}

/// A dependency that has a job and is not done; a step without a job stands for its own dependencies.
fn unfinished_dependency(plan: &Plan, done: &BTreeSet<StepNo>, step: StepNo) -> Option<StepNo> {
    let (mut list, mut visited) = (
        plan.steps[step.0 as usize].dependencies.clone(),
        BTreeSet::new(),
    );
    while let Some(s) = list.pop() {
        let dependency = &plan.steps[s.0 as usize];
        if dependency.job_template.is_some() && !done.contains(&s) {
            return Some(s);
        }
        if dependency.job_template.is_none() && visited.insert(s) {
            list.extend(&dependency.dependencies);
        }
    }
    None
}
