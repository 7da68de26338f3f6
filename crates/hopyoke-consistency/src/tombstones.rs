//! Tombstones: jobs that are over, against older events of them.

use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeMap;

/// An event of an earlier revision can arrive later than that of a job's end, by another path: it must not bring
/// the job back. (Guards `ran_cancelled`.)
///
/// All changes up to a revision are applied, so whatever is not later is outdated. Ends that were learned by
/// another path than the changes are remembered until the changes have come so far; how many those are
/// follows from how long that takes, and no constant decides it.
#[derive(Debug, Clone, Default)]
pub struct Tombstones {
    applied: ModRevision,
    /// Jobs that are over, and when that was learned.
    recent: BTreeMap<JobId, Micros>,
}

impl Tombstones {
    /// A job is over.
    pub fn add(&mut self, job: &JobId, now: Micros) {
        self.recent.insert(job.clone(), now);
    }

    /// A record of a job that the scheduler does not have is older than the job's end.
    pub fn is_outdated(&self, job: &JobId, mod_revision: ModRevision) -> bool {
        mod_revision <= self.applied || self.recent.contains_key(job)
    }

    /// All changes up to `revision` have been applied, by an answer to a request sent at `sent_at`.
    pub fn caught_up(&mut self, revision: ModRevision, sent_at: Micros) {
        self.applied = self.applied.max(revision);
        self.recent.retain(|_, learned_at| *learned_at >= sent_at);
    }

    /// All changes up to this revision have been applied.
    pub fn applied(&self) -> ModRevision {
        self.applied
    }
}
