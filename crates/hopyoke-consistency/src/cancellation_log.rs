//! Log of the cancellations that a node has acknowledged.

use hopyoke_types::{JobId, ModRevision};
use std::collections::BTreeMap;

/// Cancellations that a node has acknowledged and a leader may lack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancellationDelta {
    /// Cancelled jobs, in the order of their sequence numbers.
    pub jobs: Vec<JobId>,
    /// Sequence number up to which the leader has received entries once it has received these.
    pub last_sequence: u64,
    /// Whether the leader, with these entries, has all cancellations that the node has acknowledged so far.
    pub is_complete: bool,
}

/// Records the cancellations that this process has acknowledged to users, by the revision that made them final.
///
/// The revision decides which leader can lack an entry: a leader that has applied all changes up to a
/// revision has every cancellation up to it. Entries therefore do not expire. When there are too many, those of
/// the oldest revision are dropped, and a leader that has not applied that revision no longer receives a complete
/// delta.
#[derive(Debug, Clone)]
pub struct CancellationLog {
    /// Sequence number of each entry, by revision and job.
    entries: BTreeMap<(ModRevision, JobId), u64>,
    /// Sequence number of the last entry; entries are numbered from 1.
    last_sequence: u64,
    /// Revision up to which entries may be missing; all missing entries are of this or an earlier one. `None` if
    /// it is not known yet.
    missing_up_to: Option<ModRevision>,
    max_entries: usize,
}

/// Maximum number of jobs in one delta. With IDs of at most 24 bytes a delta stays well below 64 KiB.
const MAX_DELTA_JOBS: usize = 1024;

impl CancellationLog {
    /// Creates the log of a process that starts now. A `max_entries` of 0 counts as 1.
    pub fn new(max_entries: usize) -> CancellationLog {
        CancellationLog {
            entries: BTreeMap::new(),
            last_sequence: 0,
            missing_up_to: None,
            max_entries: max_entries.max(1),
        }
    }

    /// Records a revision that the key-value store had reached after the start of this process. It covers what
    /// earlier processes acknowledged. Only the first call has an effect.
    pub fn set_start_revision(&mut self, revision: ModRevision) {
        if self.missing_up_to.is_none() {
            self.drop_up_to(revision);
        }
    }

    fn drop_up_to(&mut self, revision: ModRevision) {
        self.missing_up_to = self.missing_up_to.max(Some(revision));
        self.entries = self.entries.split_off(&first_key_after(revision));
    }

    /// Appends a cancellation that became final at this revision. Must be called before the user receives the
    /// response.
    pub fn append(&mut self, job: &JobId, mod_revision: ModRevision) {
        if self.missing_up_to.is_some_and(|m| mod_revision <= m) {
            return;
        }
        let next_sequence = self.last_sequence + 1;
        let sequence = self
            .entries
            .entry((mod_revision, job.clone()))
            .or_insert(next_sequence);
        self.last_sequence = self.last_sequence.max(*sequence);
        if self.entries.len() > self.max_entries
            && let Some(((oldest, _), _)) = self.entries.first_key_value()
        {
            // Until the start revision is known no delta is complete, and that revision will cover the dropped
            // entries.
            let oldest = *oldest;
            match self.missing_up_to {
                Some(_) => self.drop_up_to(oldest),
                None => drop(self.entries.pop_first()),
            }
        }
    }

    /// Returns what a leader lacks that has applied all changes up to `applied` and received entries up to the
    /// sequence number `delivered`.
    pub fn delta_since(&self, applied: ModRevision, delivered: u64) -> CancellationDelta {
        let later = self.entries.range(first_key_after(applied)..);
        let mut undelivered: Vec<(u64, &JobId)> = later
            .filter(|(_, sequence)| **sequence > delivered)
            .map(|((_, job), sequence)| (*sequence, job))
            .collect();
        undelivered.sort_unstable();
        let all_fit = undelivered.len() <= MAX_DELTA_JOBS;
        undelivered.truncate(MAX_DELTA_JOBS);
        let last_sequence = if all_fit {
            self.last_sequence
        } else {
            undelivered
                .last()
                .map_or(delivered, |(sequence, _)| *sequence)
        };
        let jobs = undelivered.into_iter().map(|(_, job)| job.clone());
        CancellationDelta {
            jobs: jobs.collect(),
            last_sequence,
            is_complete: all_fit && self.covers(applied),
        }
    }

    /// Returns whether the log is complete for a leader that has applied all changes up to `applied`. This also holds
    /// for a leader on the same node.
    pub fn covers(&self, applied: ModRevision) -> bool {
        self.missing_up_to.is_some_and(|m| applied >= m)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the cancellations that a new leader on this node lacks if it has applied all changes up to `applied`.
    pub fn entries_after(&self, applied: ModRevision) -> Vec<JobId> {
        self.entries
            .range(first_key_after(applied)..)
            .map(|((_, job), _)| job.clone())
            .collect()
    }
}

/// Returns the lower bound of the keys of later revisions.
fn first_key_after(revision: ModRevision) -> (ModRevision, JobId) {
    (ModRevision(revision.0.saturating_add(1)), JobId::new(""))
}
