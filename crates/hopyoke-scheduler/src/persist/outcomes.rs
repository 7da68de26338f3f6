//! Outcomes of batches, and reloads of records whose outcome is unknown.

use super::batch::{Batch, BatchError, RegistryPage, Write};
use super::records::page_key;
use crate::ledger::JobRecord;
use crate::{Action, Scheduler};
use hopyoke_types::{FencingToken, JobId, Micros, ModRevision};

impl Scheduler {
    /// Handles the outcome of a batch: the revision at which it was applied, or the error.
    pub fn batch_completed(
        &mut self,
        batch: Batch,
        result: Result<ModRevision, BatchError>,
        now: Micros,
    ) {
        if let Ok(revision) = &result {
            self.command_tokens.write_applied(FencingToken(revision.0));
        }
        self.writes.batch_answered(&batch.writes, &result, now);
        for write in batch.writes {
            match write {
                Write::Update { job, record, .. } => self.update_completed(&job, record, &result),
                Write::End { job: id, .. } => match &result {
                    Ok(_) => {
                        tracing::debug!(job = %id, "end of job recorded");
                        self.job_removed(&id, now);
                    }
                    Err(e) => {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.write_in_flight = false;
                        }
                        self.reload_after_error(&id, e);
                    }
                },
                Write::Page { key, page, .. } => {
                    self.page_write_completed(&key, page.as_ref(), &result)
                }
                Write::Term { .. } => {}
                Write::LearnedRunTimes { key, .. } => {
                    self.learned_page_written(key, result.is_ok())
                }
                Write::DeletePage { key } => {
                    if result.is_err() {
                        self.registry.write_not_applied(&key);
                    }
                }
            }
        }
    }

    /// Handles the outcome of an update of a job's record.
    fn update_completed(
        &mut self,
        id: &JobId,
        record: JobRecord,
        result: &Result<ModRevision, BatchError>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.write_in_flight = false;
        let mod_revision = match result {
            Ok(mod_revision) => *mod_revision,
            Err(e) => return self.reload_after_error(id, e),
        };
        let is_first_start = job.recorded_start_attempt.0 == 0;
        if mod_revision > job.mod_revision {
            job.mod_revision = mod_revision;
            job.recorded_done = record.done;
            job.recorded_start_attempt = record.start_attempt;
        }
        // Its tasks may start now. Acknowledgements can wait for the next heartbeat responses.
        if is_first_start || job.is_gang() {
            let attempts = job.attempts.values().flatten().map(|(m, _)| m.clone());
            self.commands_due.extend(attempts);
        }
    }

    fn page_write_completed(
        &mut self,
        key: &str,
        page: Option<&RegistryPage>,
        result: &Result<ModRevision, BatchError>,
    ) {
        let has_conflict = |pages: &[String]| pages.iter().any(|p| p == key);
        match result {
            Ok(mod_revision) => {
                for id in self.registry.write_committed(key, *mod_revision, page) {
                    if let Some(m) = self.machines.get_mut(&id)
                        && !m.is_registered
                    {
                        m.is_registered = true;
                        self.placement_schedule.request();
                    }
                }
            }
            Err(BatchError::Conflict { pages, .. }) if !has_conflict(pages) => {
                self.registry.write_not_applied(key)
            }
            Err(BatchError::NotApplied) => self.registry.write_not_applied(key),
            Err(BatchError::Invalid) => self.registry.write_rejected(key),
            Err(_) => {
                let (counter, token) = (&mut self.sequence_number, self.token);
                self.registry
                    .write_outcome_unknown(key, || page_key(counter, token));
            }
        }
    }

    /// Requests a reload of the job's record after a conflict on it or a write of unknown outcome.
    fn reload_after_error(&mut self, id: &JobId, error: &BatchError) {
        let must_reload = match error {
            BatchError::Conflict { jobs, .. } => jobs.contains(id),
            BatchError::LeadershipLost => false,
            BatchError::NotApplied | BatchError::Invalid => false,
            BatchError::OutcomeUnknown => true,
        };
        if let Some(job) = self.jobs.get_mut(id)
            && must_reload
        {
            // Blocks further writes of the record until it has been reloaded.
            job.write_in_flight = true;
            self.actions
                .push_back(Action::ReloadRecord { job: id.clone() });
        }
    }

    /// Handles the result of [`Action::ReloadRecord`]. `None` if the record no longer exists.
    pub fn record_reloaded(
        &mut self,
        id: JobId,
        record: Option<(JobRecord, ModRevision)>,
        now: Micros,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.write_in_flight = false;
        }
        match record {
            Some((record, mod_revision)) => self.job_record_changed(id, record, mod_revision, now),
            None => self.job_removed(&id, now),
        }
    }

    /// Handles a failed reload of a record: it is repeated.
    pub fn record_reload_failed(&mut self, id: JobId) {
        self.actions.push_back(Action::ReloadRecord { job: id });
    }
}
