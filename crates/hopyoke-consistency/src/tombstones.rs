//! Tombstones of finished jobs, which reject older events of them.

use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeMap;

/// Records finished jobs, so that an event of an earlier revision that arrives late, by another path than the job's
/// end, does not bring the job back. Guards the invariant `ran_cancelled`.
///
/// All changes up to a revision have been applied, so any record that is not later is outdated. The end of a job that
/// was learned by another path than the changes is kept until the changes have caught up; the number of these depends
/// on how long that takes and has no fixed limit.
#[derive(Debug, Clone, Default)]
pub struct Tombstones {
    applied: ModRevision,
    /// Finished jobs, with the time at which the end was learned.
    recent: BTreeMap<JobId, Micros>,
}

impl Tombstones {
    /// Records that a job has finished.
    pub fn add(&mut self, job: &JobId, now: Micros) {
        self.recent.insert(job.clone(), now);
    }

    /// Returns whether a record of a job that the scheduler does not hold is older than the job's end.
    pub fn is_outdated(&self, job: &JobId, mod_revision: ModRevision) -> bool {
        mod_revision <= self.applied || self.recent.contains_key(job)
    }

    /// Records that all changes up to `revision` have been applied, by the response to a request sent at `sent_at`.
    /// Tombstones learned before that request are dropped, because its response covers them.
    pub fn caught_up(&mut self, revision: ModRevision, sent_at: Micros) {
        self.applied = self.applied.max(revision);
        self.recent.retain(|_, learned_at| *learned_at >= sent_at);
    }

    /// Returns the revision up to which all changes have been applied.
    pub fn applied(&self) -> ModRevision {
        self.applied
    }
}
