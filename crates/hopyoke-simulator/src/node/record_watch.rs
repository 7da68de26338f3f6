//! The leader's watch on the records of the jobs.

use super::WATCH_TIMEOUT;
use crate::kv_store::Value;
use crate::{Host, Simulation};
use hopyoke_consistency::latency::{Purpose, RequestKind};
use hopyoke_scheduler::JobRecord;
use hopyoke_types::{JobId, Micros, ModRevision};

/// A change of a job's record.
struct RecordChange {
    job: JobId,
    /// The record, unless there is a later change of it or it is gone.
    record: Option<JobRecord>,
    mod_revision: ModRevision,
    is_deleted: bool,
}

/// Changes of jobs' records up to a revision.
pub(crate) struct RecordChanges {
    changes: Vec<RecordChange>,
    revision: ModRevision,
}

impl Simulation {
    /// Opens a watch on the records of the jobs, from what the scheduler has applied.
    pub(super) fn watch(&mut self, i: usize, process: u64) {
        let sent = self.now;
        let Some(leadership) = self.leadership(i, process) else {
            return;
        };
        leadership.watch += 1;
        let (since, number) = (leadership.scheduler.applied_revision(), leadership.watch);
        self.send(Host::Node(i), Host::KvStore, move |w| {
            if w.store_rejects(i) {
                // Only watches that are open wait; a new one is refused, and asked for again.
                let again = Micros::from_millis(200);
                return w.send(Host::KvStore, Host::Node(i), move |w| {
                    w.timer(i, again, move |w| {
                        if w.leadership(i, process).is_some_and(|l| l.watch == number) {
                            w.watch(i, process);
                        }
                    });
                });
            }
            w.watch_at_store(i, process, since, number, sent);
        });
        // An answer that got lost: ask again.
        let timeout = self.store_timeout(i, RequestKind::Watch, Purpose::Term);
        self.timer(i, WATCH_TIMEOUT + timeout, move |w| {
            if w.leadership(i, process).is_some_and(|l| l.watch == number) {
                w.store_timed_out(i, RequestKind::Watch, sent);
                w.watch(i, process);
            }
        });
    }

    /// The store answers a watch once there is a change, or after its timeout.
    fn watch_at_store(
        &mut self,
        i: usize,
        process: u64,
        since: ModRevision,
        number: u64,
        sent: Micros,
    ) {
        if self
            .leadership(i, process)
            .is_none_or(|l| l.watch != number)
        {
            return;
        }
        let record_changes = self.record_changes_since(since);
        let over = self.now >= sent + WATCH_TIMEOUT;
        if (record_changes.changes.is_empty() && !over) || self.store_rejects(i) {
            let wait = Micros::from_millis(20);
            return self.after(wait, move |w| {
                w.watch_at_store(i, process, since, number, sent)
            });
        }
        self.send(Host::KvStore, Host::Node(i), move |w| {
            if w.leadership(i, process).is_none_or(|l| l.watch != number) {
                return;
            }
            // The store has waited for a change, nobody knows how long.
            let now = w.now;
            w.nodes[i]
                .store_latency
                .answered_within(RequestKind::Watch, now - sent, now);
            w.apply_record_changes(i, process, record_changes, sent);
            w.run_scheduler(i, process);
            w.watch(i, process);
        });
    }

    /// What has changed among the jobs' records after a revision.
    pub(crate) fn record_changes_since(&self, since: ModRevision) -> RecordChanges {
        let mut changes = Vec::new();
        for (mod_revision, key, deleted) in self
            .kv_store
            .since(since.0)
            .iter()
            .filter(|(_, k, _)| k.starts_with("job/"))
        {
            let record = match self.kv_store.entries.get(key) {
                Some(crate::kv_store::Entry {
                    value: Value::JobRecord(r),
                    mod_revision: m,
                    ..
                }) if m == mod_revision => Some(r.clone()),
                _ => None,
            };
            changes.push(RecordChange {
                job: JobId::new(&key[4..]),
                record,
                mod_revision: ModRevision(*mod_revision),
                is_deleted: *deleted,
            });
        }
        RecordChanges {
            changes,
            revision: ModRevision(self.kv_store.revision),
        }
    }

    /// Applies what the store answered to a request that was sent at `sent`.
    pub(crate) fn apply_record_changes(
        &mut self,
        i: usize,
        process: u64,
        record_changes: RecordChanges,
        sent: Micros,
    ) {
        let now = self.now;
        let Some(leadership) = self.leadership(i, process) else {
            return;
        };
        leadership.leader_lease.changes_received(sent);
        for change in record_changes.changes {
            let scheduler = &mut leadership.scheduler;
            match change.record {
                Some(record) => {
                    scheduler.job_record_changed(change.job, record, change.mod_revision, now)
                }
                None if change.is_deleted => scheduler.job_removed(&change.job, now),
                None => {}
            }
        }
        leadership
            .scheduler
            .records_applied_to(record_changes.revision, sent);
    }
}
