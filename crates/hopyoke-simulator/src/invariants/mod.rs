//! Invariants of the cluster, checked against the ground truth.

mod schedulable;
mod task_start;

use crate::kv_store::Value;
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::JobState;
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, ModRevision, TaskId};

/// Longest time for which all requests of a user may fail once all faults are over.
const MAX_UNANSWERED: Micros = Micros::from_secs(75);

/// Interval between checks for jobs that wait although they could run.
const SCHEDULABLE_CHECK_INTERVAL: Micros = Micros::from_secs(2);

/// Number of checks after which verified jobs are checked again.
const CHECKS_PER_FULL_CHECK: u64 = 512;

impl Simulation {
    /// Records the violation of an invariant.
    pub(crate) fn record_violation(&mut self, rule: &str, details: String) {
        self.violations.push(format!(
            "{:.3} s: {rule}: {details}",
            self.now.as_secs_f64()
        ));
    }

    /// Returns the tasks that are present on machines: from the end of the image fetch until they exit.
    fn present_tasks(&self) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut tasks = Vec::new();
        for m in self.machines.values() {
            for ((t, a), status) in &m.tasks {
                if !matches!(status.state, TaskState::Ended | TaskState::Fetching) {
                    tasks.push((m.id.clone(), t.clone(), *a));
                }
            }
        }
        tasks
    }

    /// Checks the cluster-wide invariants.
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
        let mut finished = Vec::new();
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
                finished.push(id.clone());
            }
        }
        if violations.is_empty() {
            self.verified_jobs.extend(finished);
        }
        for (rule, details) in violations {
            self.record_violation(rule, details);
        }
    }

    /// Guards the invariant `ran_cancelled`: no task is present on a machine later than the cancellation bound after
    /// its user observed the cancellation.
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
            self.record_violation("ran_cancelled", format!("{t} is still on a machine"));
        }
    }

    /// Guards the invariant `forgotten`: an accepted job counts as forgotten if all requests for it fail for too long
    /// after the end of all faults.
    fn unanswered_job_violation(&self) -> Option<(&'static str, String)> {
        if self.limits.is_some() || self.now <= self.faults_end_at + MAX_UNANSWERED {
            return None;
        }
        let is_unanswered = |j: &JobGroundTruth| {
            j.accepted_at
                .is_some_and(|t| self.now > t.max(j.last_response_at) + MAX_UNANSWERED)
        };
        let (id, _) = self.jobs.iter().find(|(_, j)| is_unanswered(j))?;
        Some((
            "forgotten",
            format!("{id} received no response for {MAX_UNANSWERED:?}"),
        ))
    }

    /// Returns a job's final state from the key-value store. Returns `None` if it has none yet.
    pub(crate) fn terminal_state(&self, id: &JobId) -> Option<JobState> {
        Some(self.terminal_state_with_revision(id)?.0)
    }

    /// Returns a job's final state and the revision at which it was written. Returns `None` if it has none yet.
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

    /// Returns the number of running tasks of a job.
    pub(crate) fn running_task_count(&self, id: &JobId) -> usize {
        let tasks = self.machines.values().flat_map(|m| m.tasks.iter());
        tasks
            .filter(|((t, _), status)| t.job == *id && status.state == TaskState::Running)
            .count()
    }

    /// Returns when the last task of a job ran to its end. Returns `None` if it has not.
    pub(crate) fn completed_at(&self, id: &JobId) -> Option<Micros> {
        self.jobs.get(id).and_then(|j| j.done_at)
    }
}

/// Returns the invariants that a job's records violate. `unfinished` says whether a record exists at `job/`, and `end`
/// is the final state recorded at `end/`, if any.
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
