//! Queue of rejected jobs, which keep their positions until they are retried or expire.

use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of positions; a job rejected beyond that retries as a new one.
const MAX_ENTRIES: usize = 1024;
/// Time for which a position is kept after its retry was due, as clients add a delay of their own.
const GRACE_PERIOD: Micros = Micros::from_secs(6);

#[derive(Debug, Clone)]
struct Entry {
    job: JobId,
    tenant: usize,
    due_at: Micros,
    /// Whether this node rejected the job, rather than a peer.
    own: bool,
}

/// Queue positions in the order in which they were assigned.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    entries: BTreeMap<u64, Entry>,
    position_by_job: BTreeMap<JobId, u64>,
    by_due_time: BTreeSet<(Micros, u64)>,
    next_position: u64,
}

impl WaitQueue {
    /// Drops the positions of jobs that weren't retried within the grace period.
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

    /// Removes an admitted job. Returns false if it had no position.
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

    /// Returns how many jobs are ahead of this one: all queued jobs if it has no position yet. Returns `None` if it has
    /// no position and the queue is full.
    pub(crate) fn ahead_of(&self, job: &JobId) -> Option<usize> {
        match self.position_by_job.get(job) {
            Some(position) => Some(self.entries.range(..position).count()),
            None => (self.entries.len() < MAX_ENTRIES).then_some(self.entries.len()),
        }
    }

    /// Returns how many jobs ahead of this one are due by `deadline`, among tenants that the filter accepts.
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

    /// Sets a job's retry time. A job without a position gets the next one unless the queue is full.
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

    /// Returns how many queued jobs were rejected by this node.
    pub(crate) fn own_entries(&self) -> usize {
        self.entries.values().filter(|e| e.own).count()
    }
}
