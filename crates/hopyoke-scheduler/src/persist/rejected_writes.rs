//! Writes that the key-value store rejects as invalid: repeating them does not help.
//!
//! A batch is rejected as a whole, so the invalid write among its writes is found by bisection: each half is tried in a
//! batch of its own. A write that is rejected alone is set aside and tried again, alone, after a backoff, as its value
//! or the store's limits may change. All other writes continue meanwhile.

use super::batch::Write;
use hopyoke_run_times::PageKey;
use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Backoff after the first rejection of a write by itself. It doubles with each further one.
const MIN_BACKOFF: Micros = Micros::from_secs(1);
/// Largest backoff.
const MAX_BACKOFF: Micros = Micros::from_secs(30);

/// What a write is about: successive writes of the same record have the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKey {
    /// Update of a job's record.
    JobUpdate(JobId),
    /// End of a job.
    JobEnd(JobId),
    /// Page of the machine registry.
    RegistryPage(String),
    /// Page of learned run times.
    LearnedRunTimes(PageKey),
    /// Record of the leader's term.
    Term,
}

impl WriteKey {
    /// Returns whether such writes are always in a batch of their own.
    fn is_batched_alone(&self) -> bool {
        matches!(self, WriteKey::LearnedRunTimes(_) | WriteKey::Term)
    }
}

impl fmt::Display for WriteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteKey::JobUpdate(job) => write!(f, "record of job {job}"),
            WriteKey::JobEnd(job) => write!(f, "end of job {job}"),
            WriteKey::RegistryPage(page) => write!(f, "registry page {page}"),
            WriteKey::LearnedRunTimes(page) => write!(f, "page {page} of learned run times"),
            WriteKey::Term => write!(f, "record of the term"),
        }
    }
}

/// A write that the store has rejected by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Size of its value in JSON, in bytes.
    pub bytes: usize,
    /// How often it has been rejected by itself.
    pub count: u32,
    /// When it is tried again.
    pub retry_at: Micros,
}

/// Rejected writes, and groups of writes among which there is one.
#[derive(Debug, Default)]
pub(crate) struct RejectedWrites {
    /// Disjoint groups, each to be tried in a batch of its own, the next one last.
    suspects: Vec<BTreeSet<WriteKey>>,
    rejections: BTreeMap<WriteKey, Rejection>,
}

/// Which writes a batch may contain.
#[derive(Debug, Clone)]
pub(crate) enum Selection {
    /// All but these, which are to be tried in batches of their own.
    AllExcept(BTreeSet<WriteKey>),
    /// Only these.
    Only(BTreeSet<WriteKey>),
}

impl Selection {
    /// Returns whether a batch may contain any write.
    pub(crate) fn is_everything(&self) -> bool {
        matches!(self, Selection::AllExcept(keys) if keys.is_empty())
    }

    /// Returns whether a batch may contain the write.
    pub(crate) fn contains(&self, key: &WriteKey) -> bool {
        match self {
            Selection::AllExcept(keys) => !keys.contains(key),
            Selection::Only(keys) => keys.contains(key),
        }
    }

    /// Returns whether the batch serves to find or to retry an invalid write.
    pub(crate) fn is_trial(&self) -> bool {
        matches!(self, Selection::Only(_))
    }
}

impl RejectedWrites {
    /// Removes and returns the next group of writes to be tried, or selects all writes that are not set aside.
    pub(crate) fn next_selection(&mut self, now: Micros) -> Selection {
        if let Some(group) = self.suspects.pop() {
            return Selection::Only(group);
        }
        let is_due = |(key, rejection): &(&WriteKey, &Rejection)| {
            !key.is_batched_alone() && rejection.retry_at <= now
        };
        match self.rejections.iter().find(is_due) {
            Some((key, _)) => Selection::Only(BTreeSet::from([key.clone()])),
            None => self.all_others(now),
        }
    }

    /// Selects all writes that are not set aside.
    pub(crate) fn all_others(&self, now: Micros) -> Selection {
        let is_set_aside = |(key, rejection): &(&WriteKey, &Rejection)| {
            !key.is_batched_alone() || rejection.retry_at > now
        };
        let rejected = self.rejections.iter().filter(is_set_aside);
        let suspects = self.suspects.iter().flatten();
        Selection::AllExcept(
            rejected
                .map(|(key, _)| key)
                .chain(suspects)
                .cloned()
                .collect(),
        )
    }

    /// Adds a group of writes among which one is invalid, to be tried next.
    pub(crate) fn add_suspects(&mut self, group: BTreeSet<WriteKey>) {
        if !group.is_empty() {
            self.suspects.push(group);
        }
    }

    /// Forgets a write that is not needed any more.
    pub(crate) fn forget(&mut self, key: &WriteKey) {
        self.rejections.remove(key);
    }

    /// Handles a batch that the store has rejected as invalid.
    pub(crate) fn batch_rejected(&mut self, writes: &[Write], now: Micros) {
        if let [write] = writes {
            return self.write_rejected(write, now);
        }
        let (first, second) = writes.split_at(writes.len() / 2);
        let keys = |writes: &[Write]| writes.iter().map(Write::key).collect();
        self.add_suspects(keys(second));
        self.add_suspects(keys(first));
    }

    fn write_rejected(&mut self, write: &Write, now: Micros) {
        let key = write.key();
        let count = self.rejections.get(&key).map_or(0, |r| r.count) + 1;
        let doublings = (count - 1).min(16);
        let backoff = Micros(MIN_BACKOFF.0 << doublings).min(MAX_BACKOFF);
        let bytes = write.value_len();
        tracing::warn!(
            write = %key,
            bytes,
            count,
            retry_after_s = backoff.as_secs_f64(),
            "key-value store rejects a write as invalid"
        );
        let rejection = Rejection {
            bytes,
            count,
            retry_at: now + backoff,
        };
        self.rejections.insert(key, rejection);
    }

    /// Handles a batch that the store has applied.
    pub(crate) fn batch_applied(&mut self, writes: &[Write]) {
        if self.rejections.is_empty() {
            return;
        }
        for write in writes {
            self.rejections.remove(&write.key());
        }
    }

    /// Returns the writes that are set aside.
    pub(crate) fn rejections(&self) -> &BTreeMap<WriteKey, Rejection> {
        &self.rejections
    }
}
