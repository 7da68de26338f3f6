//! Execution of the engines' actions against the model's key-value store.

use super::{Event, JobBehavior, Model, Reply, Value};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Action, JobEnd, JobOutcome, RunId, RunRecords, StepNo, WriteOutcome, job_id_prefix,
};

impl Model {
    pub(super) fn execute(&mut self, node: usize, lease: u64, action: &Action) -> Reply {
        match action {
            Action::Claim { run } => Reply::Claimed(*run, self.claim(node, lease, *run)),
            Action::Read {
                run,
                epoch,
                with_plan,
            } => Reply::Read(*run, *epoch, Box::new(self.read(*run, *with_plan))),
            Action::Submit {
                run,
                epoch,
                step,
                spec,
                claim_revision,
                head_revision,
            } => {
                let is_current = self.claim_of(*run) == *claim_revision
                    && self.mod_revision(&format!("flow/head/{run}")) == *head_revision;
                let outcome = self.submit_job(*run, *step, spec, is_current);
                Reply::Submitted(*run, *epoch, *step, outcome)
            }
            Action::Cancel {
                run,
                epoch,
                step,
                job,
            } => Reply::Cancelled(*run, *epoch, *step, self.cancel_job(job)),
            Action::Write { .. } => Reply::Written(Box::new(action.clone()), self.write(action)),
        }
    }

    fn claim_of(&self, run: RunId) -> ModRevision {
        self.mod_revision(&format!("flow/hold/{run}"))
    }

    fn claim(
        &mut self,
        node: usize,
        lease: u64,
        run: RunId,
    ) -> Result<ModRevision, Option<ModRevision>> {
        let key = format!("flow/hold/{run}");
        match self.store.get(&key) {
            Some((Value::Claim(n, l), mod_revision, _)) if (*n, *l) == (node, lease) => {
                Ok(*mod_revision)
            }
            Some((_, mod_revision, _)) => Err(Some(*mod_revision)),
            None if !self.leases.contains_key(&lease) => Err(None),
            None => Ok(self.apply(vec![(key, Some(Value::Claim(node, lease)), Some(lease))])),
        }
    }

    fn read(&self, run: RunId, with_plan: bool) -> Option<RunRecords> {
        let (head, head_revision) = match self.store.get(&format!("flow/head/{run}")) {
            Some((Value::Head(h), mod_revision, _)) => (h.clone(), *mod_revision),
            _ => return None,
        };
        let prefix = job_id_prefix(run);
        let id = |rest: &str| JobId::new(&format!("{prefix}{rest}"));
        let pages = self.list_prefix(&format!("flowpage/{run}/"));
        let jobs = self.list_prefix(&format!("job/{prefix}"));
        let ends = self.list_prefix(&format!("end/{prefix}"));
        Some(RunRecords {
            head,
            head_revision,
            claim_revision: Some(self.claim_of(run)).filter(|m| *m != ModRevision(0)),
            plan: with_plan.then(|| self.runs[&run].plan.clone()),
            pages: pages
                .filter_map(|(k, v, m)| match v {
                    Value::Page(p) => Some((k.parse().ok()?, m, p.clone())),
                    _ => None,
                })
                .collect(),
            unfinished_jobs: jobs
                .filter_map(|(k, v, _)| match v {
                    Value::Job(is_own) => Some((id(k), *is_own)),
                    _ => None,
                })
                .collect(),
            ended_jobs: ends
                .filter_map(|(k, v, _)| match v {
                    Value::End(end, is_own) => Some((id(k), *end, *is_own)),
                    _ => None,
                })
                .collect(),
        })
    }

    fn submit_job(
        &mut self,
        run: RunId,
        step: StepNo,
        spec: &JobSpec,
        is_current: bool,
    ) -> JobOutcome {
        let job = &spec.id;
        let (open, ended) = (
            self.store.get(&format!("job/{job}")),
            self.store.get(&format!("end/{job}")),
        );
        match (open, ended) {
            (Some((Value::Job(true), ..)), _) => return JobOutcome::AlreadyAccepted,
            (_, Some((Value::End(end, true), ..))) => return JobOutcome::Ended(*end),
            (Some(_), _) | (_, Some(_)) => return JobOutcome::IdTaken,
            _ if !is_current => return JobOutcome::Stale,
            _ => {}
        }
        self.submissions += 1;
        let in_flight = self.in_flight.entry(spec.team.clone()).or_default();
        *in_flight += 1;
        let max = self.max_in_flight.entry(spec.team.clone()).or_default();
        *max = (*max).max(*in_flight);
        self.apply(vec![(format!("job/{job}"), Some(Value::Job(true)), None)]);
        let behavior = self.runs[&run].behaviors.get(&step).copied();
        match behavior.unwrap_or(JobBehavior::Endless) {
            JobBehavior::Done(t) | JobBehavior::Failed(t) => {
                self.after(t, Event::EndJob(job.clone()));
            }
            JobBehavior::Endless => {}
        }
        JobOutcome::Accepted
    }

    fn cancel_job(&mut self, job: &JobId) -> JobOutcome {
        let (open, ended) = (
            self.store.get(&format!("job/{job}")),
            self.store.get(&format!("end/{job}")),
        );
        match (open, ended) {
            (Some((Value::Job(true), ..)), _) => {
                self.end_job(job, JobEnd::Cancelled);
                JobOutcome::Ended(JobEnd::Cancelled)
            }
            (_, Some((Value::End(end, true), ..))) => JobOutcome::Ended(*end),
            (Some(_), _) | (_, Some(_)) => JobOutcome::IdTaken,
            _ => JobOutcome::NotFound,
        }
    }

    fn write(&mut self, action: &Action) -> WriteOutcome {
        let Action::Write {
            run,
            claim_revision,
            pages,
            head,
            release,
            ..
        } = action
        else {
            unreachable!("not a write");
        };
        let page_key = |p: &u32| format!("flowpage/{run}/{p}");
        let is_permitted = self.claim_of(*run) == *claim_revision
            && pages
                .iter()
                .all(|(p, mod_revision, _)| self.mod_revision(&page_key(p)) == *mod_revision)
            && head.as_ref().is_none_or(|(mod_revision, _)| {
                self.mod_revision(&format!("flow/head/{run}")) == *mod_revision
            });
        let ops = pages.len() + usize::from(head.is_some()) + usize::from(*release);
        assert!(
            ops <= self.max_txn_ops,
            "{ops} operations exceed the limit of a transaction"
        );
        if !is_permitted {
            return WriteOutcome::Conflict;
        }
        let mut mutations = Vec::new();
        for (p, _, page) in pages {
            mutations.push((page_key(p), Some(Value::Page(page.clone())), None));
        }
        if let Some((_, head)) = head {
            let value = Some(Value::Head(head.clone()));
            mutations.push((format!("flow/head/{run}"), value, None));
        }
        if *release {
            mutations.push((format!("flow/hold/{run}"), None, None));
        }
        WriteOutcome::Applied(self.apply(mutations))
    }
}

/// Returns the reply that a node derives from a timeout (`is_unknown`) or from a refusal.
pub(super) fn reply_to_failure(action: &Action, is_unknown: bool) -> Reply {
    let outcome = || {
        if is_unknown {
            JobOutcome::Unknown
        } else {
            JobOutcome::RetryAfter(Micros::from_secs(1))
        }
    };
    match action {
        Action::Claim { run } => Reply::Claimed(*run, Err(None)),
        Action::Read { run, epoch, .. } => Reply::Read(*run, *epoch, Box::new(None)),
        Action::Submit {
            run, epoch, step, ..
        } => Reply::Submitted(*run, *epoch, *step, outcome()),
        Action::Cancel {
            run, epoch, step, ..
        } => Reply::Cancelled(*run, *epoch, *step, outcome()),
        Action::Write { .. } => {
            let outcome = if is_unknown {
                WriteOutcome::Unknown
            } else {
                WriteOutcome::Rejected
            };
            Reply::Written(Box::new(action.clone()), outcome)
        }
    }
}
