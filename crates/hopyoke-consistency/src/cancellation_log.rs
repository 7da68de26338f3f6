//! What was confirmed at this node.

use hopyoke_types::{JobId, ModRevision};
use std::collections::BTreeMap;

/// What a leader may not know yet of the cancellations confirmed here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancellationDelta {
    pub jobs: Vec<JobId>,
    /// The number of the last one that is in it, or was before.
    pub upto: u64,
    /// Nothing is missing: with it the leader knows of all that was confirmed here so far.
    pub complete: bool,
}

/// Cancellations that this process has confirmed to users, by the revision that made them final.
///
/// The revision decides who can be unaware of one: a leader that has applied all changes up to a
/// revision knows of every cancellation up to it. So an entry need not go by time; it goes when there are
/// too many, oldest revision first, and a leader that has not come so far gets no promise any more.
#[derive(Debug, Clone)]
pub struct CancellationLog {
    entries: BTreeMap<(ModRevision, JobId), u64>,
    /// Entries are numbered from 1 as they are noted.
    last: u64,
    /// All that is missing became final up to this revision. `None`: not known yet.
    missing: Option<ModRevision>,
    most: usize,
}

/// Jobs named in one answer. With ids of at most 24 bytes it stays well below 64 KiB.
const MOST_IN_DELTA: usize = 1024;

impl CancellationLog {
    /// `most`: entries kept, at least 1.
    pub fn new(most: usize) -> CancellationLog {
        CancellationLog {
            entries: BTreeMap::new(),
            last: 0,
            missing: None,
            most: most.max(1),
        }
    }

    /// The state service was at this revision, at some moment after this process began.
    pub fn began_before(&mut self, revision: ModRevision) {
        if self.missing.is_none() {
            self.forget_to(revision);
        }
    }

    fn forget_to(&mut self, revision: ModRevision) {
        self.missing = self.missing.max(Some(revision));
        self.entries = self.entries.split_off(&after(revision));
    }

    /// A user is about to be told that a job is cancelled, which became final at this revision.
    pub fn note(&mut self, job: &JobId, mod_revision: ModRevision) {
        if self.missing.is_some_and(|m| mod_revision <= m) {
            return;
        }
        let next = self.last + 1;
        let entry = self
            .entries
            .entry((mod_revision, job.clone()))
            .or_insert(next);
        self.last = self.last.max(*entry);
        if self.entries.len() > self.most
            && let Some(((oldest, _), _)) = self.entries.first_key_value()
        {
            // Before the first revision is read nothing is promised anyway, and that one covers these.
            let oldest = *oldest;
            match self.missing {
                Some(_) => self.forget_to(oldest),
                None => drop(self.entries.pop_first()),
            }
        }
    }

    /// What a leader has to be told that has applied all changes up to `applied` and was told of entries
    /// up to number `delivered`.
    pub fn since(&self, applied: ModRevision, delivered: u64) -> CancellationDelta {
        let later = self.entries.range(after(applied)..);
        let mut open: Vec<(u64, &JobId)> = later
            .filter(|(_, n)| **n > delivered)
            .map(|((_, job), n)| (*n, job))
            .collect();
        open.sort_unstable();
        let all = open.len() <= MOST_IN_DELTA;
        open.truncate(MOST_IN_DELTA);
        let upto = if all {
            self.last
        } else {
            open.last().map_or(delivered, |(n, _)| *n)
        };
        let jobs = open.into_iter().map(|(_, job)| job.clone()).collect();
        CancellationDelta {
            jobs,
            upto,
            complete: all && self.covers(applied),
        }
    }

    /// Nothing is missing for a leader that has applied all changes up to `applied`; one on this very node, too.
    pub fn covers(&self, applied: ModRevision) -> bool {
        self.missing.is_some_and(|m| applied >= m)
    }

    /// Entries kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What a new leader on this node must be told of what the node itself confirmed.
    pub fn after(&self, applied: ModRevision) -> Vec<JobId> {
        self.entries
            .range(after(applied)..)
            .map(|((_, job), _)| job.clone())
            .collect()
    }
}

/// The first key of a later revision.
fn after(revision: ModRevision) -> (ModRevision, JobId) {
    (ModRevision(revision.0.saturating_add(1)), JobId::new(""))
}
