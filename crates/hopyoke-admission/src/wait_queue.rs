//! The queue of rejected jobs: each keeps its position until its retry is due.

use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Positions that are kept; a job that is rejected beyond them retries as a new one.
const MAX_ENTRIES: usize = 1024;
/// A position is kept for this long after its retry was due: clients add a delay of their own.
const GRACE_PERIOD: Micros = Micros::from_secs(6);

#[derive(Debug, Clone)]
struct Entry {
    job: JobId,
    tenant: usize,
    due_at: Micros,
    /// Rejected by this node rather than by a peer.
    own: bool,
}

/// Queue positions in the order in which they were first given out.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    entries: BTreeMap<u64, Entry>,
    position_by_job: BTreeMap<JobId, u64>,
    by_due_time: BTreeSet<(Micros, u64)>,
    next_position: u64,
}

impl WaitQueue {
    /// Drops positions whose jobs were not retried within the grace period.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((due_at, position)) = self
            .by_due_time
            .first()
            .copied()
            .filter(|(due_at, _)| now >= *due_at + GRACE_PERIOD)
        {
            self.by_due_time.remove(&(due_at, position));
            if let Some(entry) = self.entries.remove(&position) {
                self.position_by_job.remove(&entry.job);
            }
        }
    }

    /// Removes a job that was admitted; false if it had no position.
    pub(crate) fn remove(&mut self, job: &JobId) -> bool {
        let removed = self
            .position_by_job
            .remove(job)
            .and_then(|position| Some((position, self.entries.remove(&position)?)));
        if let Some((position, entry)) = &removed {
            self.by_due_time.remove(&(entry.due_at, *position));
        }
        removed.is_some()
    }

    /// How many jobs are ahead of this one: all in the queue, if it has no position yet. `None`: the queue is full.
    pub(crate) fn ahead_of(&self, job: &JobId) -> Option<usize> {
        match self.position_by_job.get(job) {
            Some(position) => Some(self.entries.range(..position).count()),
            None => (self.entries.len() < MAX_ENTRIES).then_some(self.entries.len()),
        }
    }

    /// How many jobs ahead of this one are due until `deadline`, of tenants that the filter accepts.
    pub(crate) fn due_ahead_of(
        &self,
        deadline: Micros,
        job: &JobId,
        counts_tenant: impl Fn(usize) -> bool,
    ) -> usize {
        let own = self.position_by_job.get(job).copied().unwrap_or(u64::MAX);
        let due = self
            .by_due_time
            .range(..=(deadline, u64::MAX))
            .filter(|(_, position)| *position < own);
        due.filter(|(_, position)| {
            self.entries
                .get(position)
                .is_some_and(|e| counts_tenant(e.tenant))
        })
        .count()
    }

    /// Sets a job's retry time; it keeps the position that it has, or gets the next one while the queue has room.
    pub(crate) fn upsert(&mut self, job: &JobId, tenant: usize, due_at: Micros, own: bool) {
        if let Some(position) = self.position_by_job.get(job)
            && let Some(entry) = self.entries.get_mut(position)
        {
            self.by_due_time.remove(&(entry.due_at, *position));
            self.by_due_time.insert((due_at, *position));
            (entry.due_at, entry.own) = (due_at, own);
            return;
        }
        if self.entries.len() < MAX_ENTRIES {
            let position = self.next_position;
            self.next_position += 1;
            self.entries.insert(
                position,
                Entry {
                    job: job.clone(),
                    tenant,
                    due_at,
                    own,
                },
            );
            self.position_by_job.insert(job.clone(), position);
            self.by_due_time.insert((due_at, position));
        }
    }

    /// How many jobs in the queue were rejected by this node.
    pub(crate) fn own_entries(&self) -> usize {
        self.entries.values().filter(|e| e.own).count()
    }
}
