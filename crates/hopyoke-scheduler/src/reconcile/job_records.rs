//! Job records as the state service has them: jobs enter and leave the ledger.

use crate::Scheduler;
use crate::ledger::{Job, JobRecord};
use hopyoke_types::{JobId, Micros, ModRevision};

impl Scheduler {
    /// A job's record as the state service has it.
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
                // Whatever was first written after our grant can't have been started by a stale
                // leaseholder: its lease was over before the grant was applied.
                let inherited = mod_revision.0 <= self.token.0;
                let job = Job::new(record, mod_revision, inherited, now);
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
        self.plan_schedule.request();
    }

    /// The job's record is gone: it was cancelled, or we recorded its end ourselves.
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
        self.plan_schedule.request();
    }

    /// All changes of jobs' records up to `revision` have been applied here; they came with the answer to a request
    /// that was sent at `sent`.
    pub fn records_applied_to(&mut self, revision: ModRevision, sent: Micros) {
        self.tombstones.caught_up(revision, sent);
    }

    /// All changes of jobs' records up to this revision are known here.
    pub fn applied_revision(&self) -> ModRevision {
        self.tombstones.applied()
    }
}
