//! Changes of stored job records, by which jobs enter and leave the ledger.

use crate::Scheduler;
use crate::ledger::{Job, JobRecord};
use hopyoke_types::{JobId, Micros, ModRevision};

impl Scheduler {
    /// Merges a stored job record into the ledger. Ignores revisions that are already known.
    pub fn job_record_changed(
        &mut self,
        id: JobId,
        record: JobRecord,
        mod_revision: ModRevision,
        now: Micros,
    ) {
        match self.jobs.get_mut(&id) {
            None if self.tombstones.is_outdated(&id, mod_revision) => return,
            None => {
                // The token is the revision of the grant, before which the earlier leader's lease had
                // expired. It can't have started a job that was written later.
                let inherited = mod_revision.0 <= self.token.0;
                let job = Job::new(
                    record,
                    mod_revision,
                    inherited,
                    self.cfg.max_value_bytes,
                    now,
                );
                let spec = job.spec.clone();
                self.jobs.insert(id.clone(), job);
                self.adopt_allocations(&id, &spec);
            }
            Some(job) if mod_revision > job.mod_revision => {
                let done = record.done.normalized(job.spec.tasks);
                job.done.merge(&done);
                job.recorded_done = done;
                job.recorded_start_attempt = record.start_attempt;
                job.mod_revision = mod_revision;
                self.writes.mark_dirty(&id);
                return;
            }
            Some(_) => return,
        }
        self.placement_schedule.request();
    }

    /// Removes a job whose record was deleted, by a cancellation or by the write of its end record, and
    /// stops its attempts.
    pub fn job_removed(&mut self, id: &JobId, now: Micros) {
        self.tombstones.add(id, now);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (index, attempts) in job.attempts {
            for (machine, attempt) in attempts {
                self.stop_allocation(&machine, id, index, attempt, 0.0);
            }
        }
        self.placement_schedule.request();
    }

    /// Records that all changes of job records up to `revision` have been applied. They came with the answer
    /// to a request that was sent at `sent`.
    pub fn records_applied_to(&mut self, revision: ModRevision, sent: Micros) {
        self.tombstones.caught_up(revision, sent);
    }

    /// Returns the revision up to which all changes of job records have been applied.
    pub fn applied_revision(&self) -> ModRevision {
        self.tombstones.applied()
    }
}
