//! The key-value store of the model, and the invariants that are checked at each change.

use super::{Change, Event, Model, Value, node_name};
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{Head, JobEnd, Plan, RunId, RunState, StepNo, parse_job_id};
use std::collections::BTreeSet;

/// The latency of the nodes' watches.
const WATCH_LATENCY: Micros = Micros(4_000);

/// A mutation: the key, the value (`None` deletes the key) and the lease.
pub(super) type KeyMutation = (String, Option<Value>, Option<u64>);

fn run_of_key(key: &str) -> RunId {
    let id = key.rsplit('/').next().and_then(RunId::parse);
    id.expect("key of a run")
}

impl Model {
    pub(super) fn is_store_down(&self) -> bool {
        self.now >= self.outage.0 && self.now < self.outage.1
    }

    pub(super) fn mod_revision(&self, key: &str) -> ModRevision {
        self.store.get(key).map_or(ModRevision(0), |v| v.1)
    }

    /// Returns the entries under a prefix in key order, with the prefix removed from the keys.
    pub(super) fn list_prefix<'a>(
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

    /// Checks that a final head never changes and that no job of the run is unfinished when it is written.
    fn check_head(&mut self, key: &str, head: &Head) {
        let before = match self.store.get(key) {
            Some((Value::Head(h), ..)) => Some(h.clone()),
            _ => None,
        };
        if before.is_some_and(|b| b.state.is_final()) {
            self.record_violation(format!("went_back: final head {key} changed"));
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
            self.record_violation(format!("run {run} ended before the jobs of {open:?}"));
        }
    }

    /// Checks that a step has only one job, which is accepted after the step's dependencies are done and while the
    /// run's state allows submissions.
    fn check_job(&mut self, key: &str) {
        let job = JobId::new(&key[4..]);
        let (run, step, _) = parse_job_id(&job).expect("job id of a step");
        let head = match self.store.get(&format!("flow/head/{run}")) {
            Some((Value::Head(h), ..)) => h.state,
            _ => panic!("job without a run"),
        };
        let r = self.runs.get_mut(&run).expect("submitted run");
        let unfinished = unfinished_dependency(&r.plan, &r.done, step);
        let is_duplicate = r.started.insert(step, self.now).is_some();
        if is_duplicate {
            self.record_violation(format!(
                "ran_twice: second job for step {} of run {run}",
                step.0
            ));
        }
        if let Some(s) = unfinished {
            self.record_violation(format!(
                "step {} of run {run} started before step {} was done",
                step.0, s.0
            ));
        }
        if head != RunState::Running {
            self.record_violation(format!(
                "ran_cancelled: step {} of run {run} started in state {head:?}",
                step.0
            ));
        }
    }

    /// Sends a change to the watches of all nodes. Each node receives changes in order.
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
                let r = self.runs.get_mut(&run).expect("known run");
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

/// Returns a dependency that has a job and is not done, if any. A step without a job is replaced by its own
/// dependencies.
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
