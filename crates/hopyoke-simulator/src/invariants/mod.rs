//! The invariants, checked against what is true.

mod schedulable;
mod task_start;

use crate::kv_store::Value;
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::JobState;
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, ModRevision, TaskId};

/// Once all faults are over, no user's requests may all fail for so long.
const MAX_UNANSWERED: Micros = Micros::from_secs(75);

/// How often jobs are looked for that wait though they could run.
const SCHEDULABLE_CHECK_INTERVAL: Micros = Micros::from_secs(2);

/// Jobs that were verified are verified again after so many checks.
const CHECKS_PER_FULL_CHECK: u64 = 512;

impl Simulation {
    /// Records that an invariant is violated.
    pub(crate) fn record_violation(&mut self, rule: &str, what: String) {
        self.violations
            .push(format!("{:.3} s: {rule}: {what}", self.now.as_secs_f64()));
    }

    /// Tasks that are on a machine: from when they have their image until they exit.
    fn present_tasks(&self) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut out = Vec::new();
        for m in self.machines.values() {
            for ((t, a), status) in &m.tasks {
                if !matches!(status.state, TaskState::Ended | TaskState::Fetching) {
                    out.push((m.id.clone(), t.clone(), *a));
                }
            }
        }
        out
    }

    /// Checks the invariants of the whole cluster.
    pub(crate) fn check_invariants(&mut self) {
        self.check_cancelled_tasks();
        if self.now >= self.next_schedulable_check_at {
            self.next_schedulable_check_at = self.now + SCHEDULABLE_CHECK_INTERVAL;
            self.check_schedulable_jobs();
        }
        let mut violations = Vec::new();
        violations.extend(self.unanswered_job_violation());
        self.check_count += 1;
        if self.check_count.is_multiple_of(CHECKS_PER_FULL_CHECK) {
            self.verified_jobs.clear();
        }
        let mut over = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(id, _)| !self.verified_jobs.contains(*id))
        {
            let unfinished = self.kv_store.entries.contains_key(&format!("job/{id}"));
            let end = self.terminal_state(id);
            let found = record_violations(job, unfinished, end);
            violations.extend(found.into_iter().map(|rule| (rule, id.to_string())));
            if end.is_some() && !unfinished {
                over.push(id.clone());
            }
        }
        if violations.is_empty() {
            self.verified_jobs.extend(over);
        }
        for (rule, what) in violations {
            self.record_violation(rule, what);
        }
    }

    /// Guards `ran_cancelled`: no task runs long after its user was told of the cancellation.
    fn check_cancelled_tasks(&mut self) {
        let overdue: Vec<TaskId> = self
            .present_tasks()
            .into_iter()
            .map(|p| p.1)
            .filter(|t| {
                self.jobs[&t.job]
                    .cancelled_at
                    .is_some_and(|c| self.now > c + self.cancellation_bound)
            })
            .collect();
        for t in overdue {
            self.record_violation("ran_cancelled", format!("{t} is still there"));
        }
    }

    /// Guards `forgotten`: once all faults are over, a job whose requests all fail for long counts as forgotten.
    fn unanswered_job_violation(&self) -> Option<(&'static str, String)> {
        if self.limits.is_some() || self.now <= self.faults_end_at + MAX_UNANSWERED {
            return None;
        }
        let is_unanswered = |j: &JobGroundTruth| {
            j.accepted_at
                .is_some_and(|t| self.now > t.max(j.last_response_at) + MAX_UNANSWERED)
        };
        let (id, _) = self.jobs.iter().find(|(_, j)| is_unanswered(j))?;
        Some(("forgotten", format!("{id} has had no answer")))
    }

    /// A job's final state, as the store has it.
    pub(crate) fn terminal_state(&self, id: &JobId) -> Option<JobState> {
        Some(self.terminal_state_with_revision(id)?.0)
    }

    /// A job's final state, and the revision that made it final.
    pub(crate) fn terminal_state_with_revision(
        &self,
        id: &JobId,
    ) -> Option<(JobState, ModRevision)> {
        let entry = self.kv_store.entries.get(&format!("end/{id}"))?;
        match &entry.value {
            Value::EndRecord(e) => Some((e.state, ModRevision(entry.mod_revision))),
            _ => None,
        }
    }

    /// Tasks of a job that run now.
    pub(crate) fn running_task_count(&self, id: &JobId) -> usize {
        let states = self.machines.values().flat_map(|m| m.tasks.iter());
        states
            .filter(|((t, _), status)| t.job == *id && status.state == TaskState::Running)
            .count()
    }

    /// When the last task of a job ran to its end.
    pub(crate) fn completed_at(&self, id: &JobId) -> Option<Micros> {
        self.jobs.get(id).and_then(|j| j.done_at)
    }
}

/// Invariants that a job's record violates: whether the record of an unfinished job is there, and its final state.
fn record_violations(
    job: &JobGroundTruth,
    unfinished: bool,
    end: Option<JobState>,
) -> Vec<&'static str> {
    let mut violations = Vec::new();
    if job.malformed_body.is_some() && (unfinished || end.is_some()) {
        violations.push("accepted_odd");
    }
    if job.accepted_at.is_some() && !unfinished && end.is_none() {
        violations.push("forgotten");
    }
    match end {
        Some(JobState::Done) if !job.done.iter().all(|d| *d) => violations.push("not_done"),
        Some(JobState::Done) if job.cancelled_at.is_some() => violations.push("went_back"),
        _ => {}
    }
    if job.cancelled_at.is_some() && end != Some(JobState::Cancelled) {
        violations.push("went_back");
    }
    violations
}
