//! Merging of the task statuses in a heartbeat.

use super::attempts::forget_attempt;
use crate::ledger::{Allocation, AllocationState, ImageKey};
use crate::{Scheduler, TaskRanges};
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_run_times::RunOutcome;
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};
use tracing::{debug, info, warn};

impl Scheduler {
    /// Merges the status of one attempt, as listed in a heartbeat, into the ledger.
    pub(crate) fn merge_task(
        &mut self,
        id: &MachineId,
        task: TaskId,
        status: &TaskStatus,
        now: Micros,
    ) {
        let key = (task, status.attempt);
        let is_known = self
            .machines
            .get(id)
            .is_some_and(|m| m.allocations().contains_key(&key));
        if !is_known {
            self.adopt_reported_attempt(id, &key, status, now);
        }
        let state = match (status.state, status.exit_reason) {
            (TaskState::Ended, exit_reason) => {
                AllocationState::Ended(exit_reason.unwrap_or(ExitReason::Other))
            }
            (s, _) => AllocationState::Live(s),
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(listed) = m.allocations().get(&key) else {
            return;
        };
        let (previous, was_missing) = (listed.state, listed.is_missing);
        if was_missing && let Some(listed) = m.allocations_mut().get_mut(&key) {
            listed.is_missing = false;
        }
        if matches!(previous, AllocationState::Ended(_)) || (is_known && previous == state) {
            return;
        }
        let Some(allocation) = m.allocations_mut().get_mut(&key) else {
            return;
        };
        allocation.state = state;
        // Only an exit frees resources.
        self.placement_schedule
            .request_if(matches!(state, AllocationState::Ended(_)));
        match state {
            AllocationState::Live(TaskState::Running) => {
                let is_first_report = allocation.running_since.is_none();
                allocation.running_since.get_or_insert(now);
                self.task_running(id, &key.0, status.attempt);
                if is_first_report {
                    self.record_run_start(id, &key.0, status.attempt, is_known, now);
                }
            }
            AllocationState::Ended(exit_reason) => {
                let outcome = match exit_reason {
                    ExitReason::Done => RunOutcome::Completed,
                    ExitReason::Stopped | ExitReason::GangPeersLost => RunOutcome::Censored,
                    _ => RunOutcome::Discarded,
                };
                if !is_known && outcome == RunOutcome::Completed {
                    self.record_found_completed(&key.0, status.attempt, now);
                }
                self.record_run_end(id, &key.0, status.attempt, outcome, now);
                self.task_ended(id, &key.0, status.attempt, exit_reason, now);
            }
            _ => {}
        }
        if !is_known {
            self.reconcile_adopted_attempt(id, &key.0, status.attempt);
        }
        self.stop_if_held(id, &key.0.job, key.0.index, status.attempt, state);
    }

    /// Adds a reported attempt that the ledger does not have: one of an earlier leader, or one that was
    /// taken to be gone.
    fn adopt_reported_attempt(
        &mut self,
        id: &MachineId,
        key: &(TaskId, Attempt),
        status: &TaskStatus,
        now: Micros,
    ) {
        let spec = self.jobs.get(&key.0.job).map(|j| j.spec.clone());
        let mut allocation = Allocation::new(AllocationState::Live(TaskState::Fetching), spec, now);
        if let Some(m) = self.machines.get_mut(id) {
            allocation.pushed_under = Some(m.agent_token.latest_start());
            m.allocations_mut().insert(key.clone(), allocation);
        }
        self.add_attempt(id, &key.0, status.attempt);
        self.placement_schedule.request();
        debug!(machine = %id, task = %key.0, attempt = status.attempt.0, state = ?status.state, "adopted reported attempt");
    }

    /// Decides whether an adopted attempt may continue, and stops it or its duplicates.
    fn reconcile_adopted_attempt(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // The job is finished or cancelled, or was never accepted.
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        };
        // An attempt is started only after all earlier ones are proven to have exited. So an earlier one
        // next to it comes from an outdated heartbeat, and the later one continues (scenario
        // stale_heartbeat_stops_nothing).
        let attempts = job.attempts.get(&task.index).into_iter().flatten();
        let others: Vec<_> = attempts
            .filter(|(m, a)| m != id || *a != attempt)
            .cloned()
            .collect();
        let is_superseded = others.iter().any(|(_, a)| *a >= attempt);
        if job.done.contains(task.index) || task.index >= job.spec.tasks || is_superseded {
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        }
        if job.is_gang() {
            // All tasks of a gang share one attempt; those of older attempts are stopped.
            if attempt > job.start_attempt {
                job.start_attempt = attempt;
                self.writes.mark_dirty(&task.job);
            } else if attempt < job.start_attempt {
                self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
            }
        }
        for (machine, earlier) in others {
            self.stop_allocation(&machine, &task.job, task.index, earlier, 0.0);
        }
    }

    fn task_running(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.is_gang() && attempt == job.start_attempt {
                job.gang_started = true;
            }
            let (image, gb) = (job.image, job.spec.image_gb);
            self.record_cached_image(id, image, gb);
        }
    }

    fn record_cached_image(&mut self, id: &MachineId, image: ImageKey, gb: f64) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let cache = self
            .machine_type(&m.machine_type)
            .map_or(f64::MAX, |t| t.cache_gb);
        if let Some(m) = self.machines.get_mut(id) {
            m.touch_image(image, gb, cache);
        }
    }

    /// Handles the reported exit of an attempt, which frees its resources.
    fn task_ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        exit_reason: ExitReason,
        now: Micros,
    ) {
        self.remove_attempt(id, task, attempt);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match exit_reason {
            ExitReason::Done if job.spec.kind != JobKind::Service => {
                if job.is_gang() {
                    // A gang completes as a whole.
                    job.done = TaskRanges::all(job.spec.tasks);
                } else if task.index < job.spec.tasks {
                    job.done.insert(task.index);
                }
                job.failed_on.clear();
                job.backoff_count = 0;
                let (image, gb) = (job.image, job.spec.image_gb);
                self.writes.mark_dirty(&task.job);
                if let Some(m) = self.machines.get_mut(id) {
                    m.failed_jobs.clear();
                    m.failures = 0;
                }
                self.record_cached_image(id, image, gb);
            }
            ExitReason::Error => self.task_failed(id, task, now),
            ExitReason::InsufficientResources | ExitReason::Busy => {
                // The ledger's view of the machine was wrong: nothing is placed on it until its next
                // heartbeats.
                if let Some(m) = self.machines.get_mut(id) {
                    m.no_placement_before = now + self.cfg.heartbeat_interval.times(2);
                }
                warn!(machine = %id, task = %task, why = ?exit_reason, "start refused");
            }
            ExitReason::UnknownTask => {
                job.backoff_until = now + Micros::from_secs(2);
                warn!(machine = %id, task = %task, "start refused: the agent does not know the job or task");
            }
            _ => {}
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.is_gang()
            && attempt == job.start_attempt
            && exit_reason != ExitReason::Done
        {
            job.gang_failing = true;
        }
    }

    /// Handles a failed task: failures on several machines are attributed to the job, failures of several
    /// jobs to the machine.
    fn task_failed(&mut self, id: &MachineId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failed_on.insert(id.clone());
        let is_crash_looping = job.is_crash_looping(self.tuning.suspect_after);
        if is_crash_looping {
            // Its earlier failures no longer count against the machines.
            for m in &job.failed_on {
                if let Some(m) = self.machines.get_mut(m) {
                    m.failed_jobs.remove(&task.job);
                }
            }
        }
        if is_crash_looping && now >= job.backoff_until {
            // Exponential backoff: a job that fails everywhere is retried ever more rarely.
            let wait = self.tuning.job_backoff.times(1 << job.backoff_count.min(4));
            job.backoff_count += 1;
            job.backoff_until = now + wait;
            let machines = job.failed_on.len();
            info!(job = %task.job, machines, wait_s = wait.as_secs_f64(), "job in backoff: its tasks fail on several machines");
            // A workflow step has no user who would cancel it, so the failure is reported to its workflow run.
            if job.is_workflow_step && job.backoff_count as usize > self.tuning.step_patience {
                info!(job = %task.job, "workflow step's job keeps failing: cancelling it");
                job.cancelled_by_scheduler = true;
                self.writes.mark_dirty(&task.job);
            }
        }
        if let Some(m) = self.machines.get_mut(id)
            && !is_crash_looping
        {
            m.failed_jobs.insert(task.job.clone());
            m.failures += 1;
            // A faulty machine fails tasks immediately, so without a pause the whole queue would be placed on it.
            m.no_placement_before = now + self.tuning.machine_pause;
            if m.failed_jobs.len() >= self.tuning.faulty_after && !m.faulty {
                m.faulty = true;
                info!(machine = %id, zone = %m.zone, failures = m.failures, "machine marked faulty: tasks of several jobs fail on it");
            }
        }
    }

    /// Removes attempts that a heartbeat does not list, except those whose start may still be executed.
    /// `listed` is sorted.
    pub(crate) fn remove_absent_attempts(
        &mut self,
        id: &MachineId,
        listed: &[(TaskId, Attempt)],
        renews_lease: bool,
        heartbeat: &Heartbeat,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let current = (heartbeat.epoch, heartbeat.sequence);
        let absent: Vec<(TaskId, Attempt)> = m
            .allocations()
            .iter()
            .filter(|(k, _)| listed.binary_search(k).is_err())
            .filter(|(_, s)| match s.state {
                // An agent has one heartbeat in flight at a time, so a newer heartbeat shows whether the
                // commands in the response to an older one were executed. The status in the answer to a
                // push does not: it may overtake that response.
                AllocationState::Unconfirmed => {
                    renews_lease
                        && !s.push_in_flight
                        && !s.outcome_unknown
                        && s.start_sent_with.is_some_and(|o| o < current)
                }
                _ => true,
            })
            .map(|(k, _)| k.clone())
            .collect();
        for (task, attempt) in absent {
            let Some(m) = self.machines.get_mut(id) else {
                return;
            };
            // An agent that lost an attempt, such as one whose machine has restarted, would start it again if the network
            // repeated its pushed start. Guards the invariants `ran_twice` and `ran_cancelled`.
            if let Some(lost) = m.allocations_mut().get_mut(&(task.clone(), attempt))
                && !lost.is_start_refused_under(heartbeat.token)
            {
                lost.is_missing = true;
                continue;
            }
            let removed = m.allocations_mut().remove(&(task.clone(), attempt));
            if removed
                .as_ref()
                .is_some_and(|s| s.is_live() && s.running_since.is_some())
            {
                self.record_run_end(id, &task, attempt, RunOutcome::Censored, now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                forget_attempt(job, &task, id, attempt);
            }
            self.placement_schedule
                .request_if(removed.is_some_and(|s| s.is_live()));
        }
    }
}
