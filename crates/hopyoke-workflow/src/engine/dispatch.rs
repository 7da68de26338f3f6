//! The order of submissions and cancellations.

use super::{Engine, Team, Timer};
use crate::ids::{RunId, StepNo, job_id};
use crate::messages::Action;
use crate::run::Phase;
use crate::step_table::StepJob;
use hopyoke_types::Micros;
use std::collections::VecDeque;

impl Engine {
    /// Returns the team of a run.
    pub(super) fn team(&mut self, run: RunId) -> &mut Team {
        let name = self
            .runs
            .get(&run)
            .map_or(String::new(), |r| r.head.team.clone());
        self.teams.entry(name).or_insert_with(|| Team {
            in_flight: 0,
            queue: VecDeque::new(),
        })
    }

    /// Updates counters, queues and recorded progress after steps or the state of a run have changed.
    pub(super) fn steps_changed(&mut self, run: RunId, now: Micros) {
        self.recount_in_flight(run);
        self.enqueue_run(run);
        self.write_progress(run, now);
    }

    /// Queues a run for submission and cancellation if it has steps for them.
    fn enqueue_run(&mut self, run: RunId) {
        let max_in_flight = self.limits.max_run_steps_in_flight;
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        let has_ready = r
            .table
            .as_ref()
            .is_some_and(|t| !t.ready.is_empty() && t.in_flight.len() < max_in_flight);
        if has_ready && r.may_submit() && !r.is_queued {
            r.is_queued = true;
            self.team(run).queue.push_back(run);
        }
        if let Some(r) = self.runs.get(&run)
            && r.phase == Phase::Executing
            && r.table.as_ref().is_some_and(|t| !t.cancel_queue.is_empty())
        {
            self.runs_to_cancel.insert(run);
        }
    }

    /// Emits submissions and cancellations as the rate limit permits. The two alternate so that neither starves the
    /// other; submissions are served round robin over teams and over the runs of a team.
    pub(super) fn dispatch(&mut self, now: Micros) {
        let rate = self.limits.max_writes_per_s;
        loop {
            let cancellation = self.runs_to_cancel.first().copied();
            let team = if now < self.paused_until {
                None
            } else {
                self.next_team()
            };
            match (cancellation, team) {
                (Some(run), team) if team.is_none() || !self.last_was_cancellation => {
                    // Two operations, because the job's record moves to another key.
                    if !self.writes.try_take(2.0, rate, now) {
                        return;
                    }
                    self.last_was_cancellation = true;
                    self.cancel_next(run);
                }
                (_, Some(name)) => {
                    if !self.writes.try_take(1.0, rate, now) {
                        return;
                    }
                    self.last_was_cancellation = false;
                    let next_run = self.teams.get_mut(&name).and_then(|t| t.queue.pop_front());
                    self.last_team = name;
                    if let Some(run) = next_run {
                        self.submit_next(run);
                    }
                }
                _ => return,
            }
        }
    }

    /// Returns the next team in the round robin that has steps to submit and is below its limit.
    fn next_team(&self) -> Option<String> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self
            .teams
            .range::<String, _>((Excluded(&self.last_team), Unbounded));
        let mut candidates = after.chain(self.teams.iter());
        candidates
            .find(|(_, t)| !t.queue.is_empty() && self.has_capacity(t))
            .map(|(name, _)| name.clone())
    }

    /// Emits the submission of a run's next ready step.
    fn submit_next(&mut self, run: RunId) {
        self.entities_visited += 1;
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.is_queued = false;
        if !r.may_submit() {
            return;
        }
        let Some(table) = r.table.as_mut() else {
            return;
        };
        let Some(step) = table.ready.pop_front() else {
            return;
        };
        let spec = table
            .plan
            .job_spec(step, job_id(run, step, table.attempts(step)));
        if let Some(spec) = spec.filter(|_| table.is_open(step)) {
            table.in_flight.insert(step, StepJob::Submitting);
            let (epoch, claim_revision, head_revision) =
                (r.epoch, r.claim_revision, r.head_revision);
            self.actions.push_back(Action::Submit {
                run,
                epoch,
                step,
                spec,
                claim_revision,
                head_revision,
            });
        }
        self.recount_in_flight(run);
        self.enqueue_run(run);
    }

    /// Schedules a retry with exponential backoff for a step whose submission or cancellation failed.
    pub(super) fn schedule_step_retry(&mut self, run: RunId, step: StepNo, now: Micros) {
        let Some(table) = self.runs.get_mut(&run).and_then(|r| r.table.as_mut()) else {
            return;
        };
        let failures = table.failures.entry(step).or_default();
        *failures += 1;
        let failures = *failures;
        let delay = self.retry_delay(failures);
        self.timers
            .insert((now + delay, run, Timer::RetryStep(step)));
    }

    /// Queues the submission or cancellation of a step again.
    pub(super) fn requeue_step(&mut self, run: RunId, step: StepNo) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Executing)
        else {
            return;
        };
        let Some(table) = r.table.as_mut() else {
            return;
        };
        match table.in_flight.get(&step) {
            Some(StepJob::OutcomeUnknown) => {
                table.in_flight.remove(&step);
                table.ready.push_front(step);
            }
            Some(StepJob::CancelQueued) => table.queue_cancellation(step),
            _ => return,
        }
        self.recount_in_flight(run);
        self.enqueue_run(run);
    }

    /// Emits the next queued cancellation of a run.
    fn cancel_next(&mut self, run: RunId) {
        self.entities_visited += 1;
        self.runs_to_cancel.remove(&run);
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Executing)
        else {
            return;
        };
        let Some(table) = r.table.as_mut() else {
            return;
        };
        while let Some(step) = table.cancel_queue.pop_front() {
            if table.in_flight.get(&step) == Some(&StepJob::CancelQueued) {
                table.in_flight.insert(step, StepJob::Cancelling);
                let job = job_id(run, step, table.attempts(step));
                self.actions.push_back(Action::Cancel {
                    run,
                    epoch: r.epoch,
                    step,
                    job,
                });
                break;
            }
        }
        if !table.cancel_queue.is_empty() {
            self.runs_to_cancel.insert(run);
        }
    }

    /// Stops a run whose recorded state no longer allows submissions: skips the steps that were not submitted and
    /// queues the cancellation of those that were.
    pub(super) fn begin_stop(&mut self, run: RunId, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.head.state.allows_submission() || r.phase != Phase::Executing {
            return;
        }
        let Some(table) = r.table.as_mut().filter(|t| !t.is_stopping) else {
            return;
        };
        self.entities_visited += u64::from(table.progress().steps);
        table.begin_stop();
        self.steps_changed(run, now);
    }
}
