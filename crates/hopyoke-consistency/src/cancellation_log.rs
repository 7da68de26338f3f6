//! The log of cancellations that a node has acknowledged.

use hopyoke_types::{JobId, ModRevision};
use std::collections::BTreeMap;

/// The cancellations acknowledged here that a leader may not know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancellationDelta {
    /// The cancelled jobs, in the order of their sequence numbers.
    pub jobs: Vec<JobId>,
    /// The sequence number up to which the leader has received entries, with these.
    pub last_sequence: u64,
    /// With these the leader knows of all cancellations that were acknowledged here so far.
    pub is_complete: bool,
}

/// Cancellations that this process has acknowledged to users, by the revision that made them final.
///
/// The revision decides which leader can be unaware of one: a leader that has applied all changes up to a revision
/// knows of every cancellation up to it. So entries do not expire; when there are too many they are dropped, oldest
/// revision first, and a leader that has not applied so much gets no complete delta any more.
#[derive(Debug, Clone)]
pub struct CancellationLog {
    /// Sequence numbers by revision and job.
    entries: BTreeMap<(ModRevision, JobId), u64>,
    /// Entries are numbered from 1 as they are appended.
    last_sequence: u64,
    /// All that is missing became final up to this revision. `None`: not known yet.
    missing_up_to: Option<ModRevision>,
    max_entries: usize,
}

/// Jobs of one delta. With ids of at most 24 bytes it stays well below 64 KiB.
const MAX_DELTA_JOBS: usize = 1024;

impl CancellationLog {
    /// The log of a process that starts now. `max_entries`: at least 1.
    pub fn new(max_entries: usize) -> CancellationLog {
        CancellationLog {
            entries: BTreeMap::new(),
            last_sequence: 0,
            missing_up_to: None,
            max_entries: max_entries.max(1),
        }
    }

    /// The key-value store was at this revision, at some moment after this process had started. Only the first call
    /// counts.
    pub fn set_start_revision(&mut self, revision: ModRevision) {
        if self.missing_up_to.is_none() {
            self.drop_up_to(revision);
        }
    }

    fn drop_up_to(&mut self, revision: ModRevision) {
        self.missing_up_to = self.missing_up_to.max(Some(revision));
        self.entries = self.entries.split_off(&first_key_after(revision));
    }

    /// Appends a cancellation that became final at this revision. To be called before the user is told of it.
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
            // Before the first revision is read no delta is complete, and that revision covers the dropped entries.
            let oldest = *oldest;
            match self.missing_up_to {
                Some(_) => self.drop_up_to(oldest),
                None => drop(self.entries.pop_first()),
            }
        }
    }

    /// What a leader lacks that has applied all changes up to `applied` and received entries up to the sequence
    /// number `delivered`.
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

    /// Nothing is missing here for a leader that has applied all changes up to `applied`. Holds for a leader on this
    /// very node, too.
    pub fn covers(&self, applied: ModRevision) -> bool {
        self.missing_up_to.is_some_and(|m| applied >= m)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// There are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Cancellations that a new leader on this node lacks if it has applied all changes up to `applied`.
    pub fn entries_after(&self, applied: ModRevision) -> Vec<JobId> {
        self.entries
            .range(first_key_after(applied)..)
            .map(|((_, job), _)| job.clone())
            .collect()
    }
}

/// The first key of a later revision.
fn first_key_after(revision: ModRevision) -> (ModRevision, JobId) {
    (ModRevision(revision.0.saturating_add(1)), JobId::new(""))
}
