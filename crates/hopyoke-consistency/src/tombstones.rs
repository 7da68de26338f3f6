//! Jobs that are over, against news that is older than their end.

use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeMap;

/// News of an earlier revision can arrive later than that of a job's end, by another path: it must not bring
/// the job back. (Guards `ran_cancelled`.)
///
/// All changes up to a revision are known, so whatever is not later is old. Ends that were learned by
/// another path than the changes are remembered until the changes have come so far; how many those are
/// follows from how long that takes, and no constant decides it.
#[derive(Debug, Clone, Default)]
pub struct Tombstones {
    known: ModRevision,
    /// Jobs that are over, and when that was learned.
    recent: BTreeMap<JobId, Micros>,
}

impl Tombstones {
    /// A job is over.
    pub fn add(&mut self, job: &JobId, now: Micros) {
        self.recent.insert(job.clone(), now);
    }

    /// A record of a job that is not in the ledger is older than the job's end.
    pub fn outdates(&self, job: &JobId, mod_revision: ModRevision) -> bool {
        mod_revision <= self.known || self.recent.contains_key(job)
    }

    /// All changes up to `revision` have been taken in, by an answer to what was asked at `sent`.
    pub fn caught_up(&mut self, revision: ModRevision, sent: Micros) {
        self.known = self.known.max(revision);
        self.recent.retain(|_, learned| *learned >= sent);
    }

    /// All changes up to this revision have been taken in.
    pub fn known(&self) -> ModRevision {
        self.known
    }
}
