//! What a heartbeat says of single tasks.

use super::attempts::forget_attempt;
use crate::ledger::{Allocation, AllocationState, ImageKey};
use crate::{Scheduler, TaskRanges};
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_run_times::RunOutcome;
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};
use tracing::{debug, info, warn};

impl Scheduler {
    /// Takes over what a heartbeat says of one attempt.
    pub(crate) fn merge_task(&mut self, id: &MachineId, task: TaskId, t: &TaskStatus, now: Micros) {
        let key = (task, t.attempt);
        let known = self
            .machines
            .get(id)
            .is_some_and(|m| m.allocations().contains_key(&key));
        if !known {
            self.adopt_reported_attempt(id, &key, t, now);
        }
        let state = match (t.state, t.exit_reason) {
            (TaskState::Ended, why) => AllocationState::Ended(why.unwrap_or(ExitReason::Other)),
            (s, _) => AllocationState::Live(s),
        };
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(was) = m.allocations().get(&key).map(|s| s.state) else {
            return;
        };
        if matches!(was, AllocationState::Ended(_)) || (known && was == state) {
            return;
        }
        let Some(allocation) = m.allocations_mut().get_mut(&key) else {
            return;
        };
        allocation.state = state;
        // Only an end makes room.
        self.plan_schedule
            .request_if(matches!(state, AllocationState::Ended(_)));
        match state {
            AllocationState::Live(TaskState::Running) => {
                let first = allocation.running_since.is_none();
                allocation.running_since.get_or_insert(now);
                self.task_runs(id, &key.0, t.attempt);
                if first {
                    self.run_began(id, &key.0, t.attempt, known, now);
                }
            }
            AllocationState::Ended(why) => {
                let end = match why {
                    ExitReason::Done => RunOutcome::Completed,
                    ExitReason::Stopped | ExitReason::GangPeersLost => RunOutcome::Censored,
                    _ => RunOutcome::Discarded,
                };
                if !known && end == RunOutcome::Completed {
                    self.run_found_ended(&key.0, t.attempt, now);
                }
                self.run_ended(id, &key.0, t.attempt, end, now);
                self.task_ended(id, &key.0, t.attempt, why, now);
            }
            _ => {}
        }
        if !known {
            self.reconcile_adopted_attempt(id, &key.0, t.attempt);
        }
        self.stop_if_held(id, &key.0.job, key.0.index, t.attempt, state);
    }

    /// An attempt of an earlier leader, or one that was believed gone: the ledger reconnects to it.
    fn adopt_reported_attempt(
        &mut self,
        id: &MachineId,
        key: &(TaskId, Attempt),
        t: &TaskStatus,
        now: Micros,
    ) {
        let spec = self.jobs.get(&key.0.job).map(|j| j.spec.clone());
        let allocation = Allocation::new(AllocationState::Live(TaskState::Fetching), spec, now);
        if let Some(m) = self.machines.get_mut(id) {
            m.allocations_mut().insert(key.clone(), allocation);
        }
        self.add_attempt(id, &key.0, t.attempt);
        self.plan_schedule.request();
        debug!(machine = %id, task = %key.0, attempt = t.attempt.0, state = ?t.state, "attempt found");
    }

    /// Decides whether an attempt that an agent reported unasked may go on.
    fn reconcile_adopted_attempt(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            // Cancelled or done, or never accepted.
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        };
        // A later attempt was only started once all earlier ones were proven to be gone: if one is found beside it, an old
        // report tells of that, and the later goes on. (Scenario stale_heartbeat_stops_nothing.)
        let attempts = job.attempts.get(&task.index).into_iter().flatten();
        let others: Vec<_> = attempts
            .filter(|(m, a)| m != id || *a != attempt)
            .cloned()
            .collect();
        let surplus = others.iter().any(|(_, a)| *a >= attempt);
        if job.done.contains(task.index) || task.index >= job.spec.tasks || surplus {
            return self.stop_allocation(id, &task.job, task.index, attempt, 0.0);
        }
        if job.is_gang() {
            // All tasks of a gang share their latest recorded attempt; others are being stopped.
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

    fn task_runs(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.is_gang() && attempt == job.start_attempt {
                job.gang_started = true;
            }
            let (image, gb) = (job.image, job.spec.image_gb);
            self.note_image(id, image, gb);
        }
    }

    fn note_image(&mut self, id: &MachineId, image: ImageKey, gb: f64) {
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

    /// An attempt has ended, as its agent reports: its resources are free.
    fn task_ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: ExitReason,
        now: Micros,
    ) {
        self.remove_attempt(id, task, attempt);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match why {
            ExitReason::Done if job.spec.kind != JobKind::Service => {
                if job.is_gang() {
                    // Gangs complete together.
                    job.done = TaskRanges::all(job.spec.tasks);
                } else if task.index < job.spec.tasks {
                    job.done.insert(task.index);
                }
                job.failed_on.clear();
                job.backoffs = 0;
                let (image, gb) = (job.image, job.spec.image_gb);
                self.writes.mark_dirty(&task.job);
                if let Some(m) = self.machines.get_mut(id) {
                    m.failed_jobs.clear();
                    m.failures = 0;
                }
                self.note_image(id, image, gb);
            }
            ExitReason::Error => self.task_failed(id, task, now),
            ExitReason::InsufficientResources | ExitReason::Busy => {
                // Our view of the machine was wrong: leave it alone until it has reported again.
                if let Some(m) = self.machines.get_mut(id) {
                    m.no_placement_before = now + self.cfg.heartbeat_interval.times(2);
                }
                warn!(machine = %id, task = %task, why = ?why, "start refused");
            }
            ExitReason::UnknownTask => {
                job.backoff_until = now + Micros::from_secs(2);
                warn!(machine = %id, task = %task, "start refused: the worker can't find the job");
            }
            _ => {}
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.is_gang()
            && attempt == job.start_attempt
            && why != ExitReason::Done
        {
            job.gang_failing = true;
        }
    }

    /// Errors on several machines speak against the job, errors of several jobs against the
    /// machine.
    fn task_failed(&mut self, id: &MachineId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failed_on.insert(id.clone());
        let bad_job = job.is_crash_looping(self.tuning.suspect_after);
        if bad_job {
            // Its failures so far speak against it, not against the machines.
            for m in &job.failed_on {
                if let Some(m) = self.machines.get_mut(m) {
                    m.failed_jobs.remove(&task.job);
                }
            }
        }
        if bad_job && now >= job.backoff_until {
            // Jobs that fail everywhere are started anew ever more rarely.
            let wait = self.tuning.job_backoff.times(1 << job.backoffs.min(4));
            job.backoffs += 1;
            job.backoff_until = now + wait;
            let machines = job.failed_on.len();
            info!(job = %task.job, machines, wait_s = wait.as_secs_f64(), "backoff: job fails on several machines");
            // Nobody watches a step as a user watches a job: its run is to hear that it failed.
            if job.flow && job.backoffs as usize > self.tuning.step_patience {
                info!(job = %task.job, "given up");
                job.given_up = true;
                self.writes.mark_dirty(&task.job);
            }
        }
        if let Some(m) = self.machines.get_mut(id)
            && !bad_job
        {
            m.failed_jobs.insert(task.job.clone());
            m.failures += 1;
            // A faulty machine fails at once and so would draw the whole queue: pause it first.
            m.no_placement_before = now + self.tuning.machine_pause;
            if m.failed_jobs.len() >= self.tuning.faulty_after && !m.faulty {
                m.faulty = true;
                info!(machine = %id, zone = %m.zone, failures = m.failures, "machine judged faulty");
            }
        }
    }

    /// What the heartbeat does not list (`listed` is sorted) is gone, with one exception: a start that has not been
    /// proven to be unexecuted.
    pub(crate) fn merge_absent(
        &mut self,
        id: &MachineId,
        listed: &[(TaskId, Attempt)],
        hello: bool,
        heartbeat: &Heartbeat,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let now_id = (heartbeat.epoch, heartbeat.sequence);
        let absent: Vec<(TaskId, Attempt)> = m
            .allocations()
            .iter()
            .filter(|(k, _)| listed.binary_search(k).is_err())
            .filter(|(_, s)| match s.state {
                // One heartbeat is in flight at a time, so a newer heartbeat shows whether the commands
                // that answered an older one were executed. A answer to a push may overtake them.
                AllocationState::Sent => {
                    hello
                        && !s.push_in_flight
                        && !s.outcome_unknown
                        && s.offered.is_some_and(|o| o < now_id)
                }
                _ => true,
            })
            .map(|(k, _)| k.clone())
            .collect();
        for (task, attempt) in absent {
            let Some(m) = self.machines.get_mut(id) else {
                return;
            };
            let was = m.allocations_mut().remove(&(task.clone(), attempt));
            if was
                .as_ref()
                .is_some_and(|s| s.is_live() && s.running_since.is_some())
            {
                self.run_ended(id, &task, attempt, RunOutcome::Censored, now);
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                forget_attempt(job, &task, id, attempt);
            }
            self.plan_schedule
                .request_if(was.is_some_and(|s| s.is_live()));
        }
    }
}
