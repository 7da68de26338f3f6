//! Handling of the outcomes of actions.

use super::{Engine, Timer};
use crate::ids::{RunId, StepNo};
use crate::messages::{Action, JobOutcome, RunRecords, WriteOutcome};
use crate::run::Phase;
use crate::step_table::{StepJob, StepTable};
use hopyoke_types::{Micros, ModRevision};
use std::rc::Rc;
use tracing::{debug, info};

impl Engine {
    /// Handles the outcome of a claim: `Ok` holds its revision, `Err(Some)` the revision of another owner's claim, and
    /// `Err(None)` stands for an unknown outcome.
    pub fn claim_finished(
        &mut self,
        run: RunId,
        result: Result<ModRevision, Option<ModRevision>>,
        now: Micros,
    ) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Claiming)
        else {
            return;
        };
        match result {
            Ok(claim_revision) => {
                r.claim_revision = claim_revision;
                r.latest_claim_revision = r.latest_claim_revision.max(claim_revision);
                r.failures = 0;
                r.phase = Phase::Reading;
                info!(%run, claim_revision = claim_revision.0, "run claimed");
                self.timers.insert((now, run, Timer::Read));
            }
            Err(other_claim) => {
                r.phase = Phase::NotOwned;
                r.foreign_claim_revision = r
                    .foreign_claim_revision
                    .max(other_claim.unwrap_or_default());
                r.latest_claim_revision = r.latest_claim_revision.max(r.foreign_claim_revision);
                r.failures += 1;
                let may_claim = r.may_claim();
                self.uncount_owned_run(run);
                if may_claim {
                    self.schedule_claim(run, now);
                }
            }
        }
    }

    /// Handles the records of a run that were read, or `None` if the read failed.
    pub fn read_finished(
        &mut self,
        run: RunId,
        epoch: u64,
        records: Option<RunRecords>,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Reading || r.epoch != epoch {
            return;
        }
        let known_plan = r.table.as_ref().map(|t| t.plan.clone());
        let Some((records, plan)) = records.and_then(|mut records| {
            let plan = records.plan.take().map(Rc::new).or(known_plan)?;
            Some((records, plan))
        }) else {
            self.schedule_reread(run, now);
            return;
        };
        r.failures = 0;
        if records.claim_revision != Some(r.claim_revision) {
            self.release(run, now);
            return;
        }
        if records.head_revision >= r.head_revision {
            r.head = records.head.clone();
            r.head_revision = records.head_revision;
        }
        if r.head.state.is_final() {
            self.remove_run(run);
            return;
        }
        self.entities_visited += plan.steps.len() as u64;
        if plan.steps.len() != r.head.steps as usize || plan.digest() != r.head.digest {
            // Pages are written before the head, so this is corruption and not a partial write.
            debug!(%run, "plan does not match the run's head");
            self.schedule_reread(run, now);
            return;
        }
        let table = StepTable::reconcile(plan, &r.head, &records);
        let p = table.progress();
        debug!(
            %run,
            steps = p.steps,
            done = p.done,
            reconnected = p.in_flight,
            ready = p.ready,
            "run records read");
        r.table = Some(table);
        r.phase = Phase::Executing;
        let buffered_job_ends = std::mem::take(&mut r.buffered_job_ends);
        self.begin_stop(run, now);
        for (job, end) in buffered_job_ends {
            self.job_ended(&job, end, now);
        }
        self.steps_changed(run, now);
    }

    /// Handles the outcome of a submission.
    pub fn submission_finished(
        &mut self,
        run: RunId,
        epoch: u64,
        step: StepNo,
        outcome: JobOutcome,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Executing || r.epoch != epoch {
            return;
        }
        let Some(table) = r.table.as_mut() else {
            return;
        };
        if table.in_flight.get(&step) != Some(&StepJob::Submitting) {
            return;
        }
        let is_stopping = !r.head.state.allows_submission();
        match outcome {
            JobOutcome::Accepted | JobOutcome::AlreadyAccepted if !is_stopping => {
                table.failures.remove(&step);
                table.in_flight.insert(step, StepJob::Submitted);
            }
            JobOutcome::Ended(end) => table.job_ended(step, end, &r.head),
            JobOutcome::Invalid(reason) => table.fail(step, &reason, &r.head),
            // Even if this submission was not executed, an earlier one may have been.
            _ if is_stopping => table.queue_cancellation(step),
            JobOutcome::IdTaken if !table.next_attempt(step) => {
                table.fail(step, "all its ids are taken by other jobs", &r.head);
            }
            JobOutcome::IdTaken => {
                table.in_flight.remove(&step);
                table.ready.push_front(step);
            }
            JobOutcome::RetryAfter(_) | JobOutcome::Unknown => {
                table.in_flight.insert(step, StepJob::OutcomeUnknown);
                if let JobOutcome::RetryAfter(pause) = outcome {
                    self.paused_until = self.paused_until.max(now + pause);
                }
                self.schedule_step_retry(run, step, now);
                return;
            }
            JobOutcome::Accepted
            | JobOutcome::AlreadyAccepted
            | JobOutcome::Stale
            | JobOutcome::NotFound => {
                self.schedule_reread(run, now);
                return;
            }
        }
        self.steps_changed(run, now);
    }

    /// Handles the outcome of a cancellation. Any outcome other than `Ended`, `NotFound` and `IdTaken` counts as
    /// unknown.
    pub fn cancellation_finished(
        &mut self,
        run: RunId,
        epoch: u64,
        step: StepNo,
        outcome: JobOutcome,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Executing || r.epoch != epoch {
            return;
        }
        let Some(table) = r.table.as_mut() else {
            return;
        };
        if table.in_flight.get(&step) != Some(&StepJob::Cancelling) {
            return;
        }
        match outcome {
            JobOutcome::Ended(end) => table.job_ended(step, end, &r.head),
            // A delayed submission can't be executed any more either, because the head's revision has changed.
            JobOutcome::NotFound | JobOutcome::IdTaken => table.skip(step),
            _ => {
                table.in_flight.insert(step, StepJob::CancelQueued);
                self.schedule_step_retry(run, step, now);
                return;
            }
        }
        self.steps_changed(run, now);
    }

    /// Handles the outcome of a write, which `action` requested.
    pub fn write_finished(
        &mut self,
        run: RunId,
        epoch: u64,
        action: &Action,
        outcome: WriteOutcome,
        now: Micros,
    ) {
        let Action::Write {
            pages,
            head,
            release,
            ..
        } = action
        else {
            return;
        };
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Executing || r.epoch != epoch {
            return;
        }
        let Some(table) = r.table.as_mut() else {
            return;
        };
        table.is_writing = false;
        match outcome {
            WriteOutcome::Applied(mod_revision) => {
                r.failures = 0;
                for (page, ..) in pages {
                    table.page_revisions.insert(*page, mod_revision);
                }
                if let Some((_, head)) = head {
                    r.head = head.clone();
                    r.head_revision = mod_revision;
                }
                if *release {
                    info!(%run, state = ?r.head.state, done = r.head.done, "run ended");
                    self.remove_run(run);
                    return;
                }
                self.begin_stop(run, now);
                self.write_progress(run, now);
            }
            WriteOutcome::Rejected => {
                table.dirty_pages.extend(pages.iter().map(|p| p.0));
                table.dirty_since = Some(now);
                r.failures += 1;
                let failures = r.failures;
                let delay = self.retry_delay(failures);
                self.timers.insert((now + delay, run, Timer::WriteProgress));
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.schedule_reread(run, now),
        }
    }
}
