//! The leader's watch on job records.

use super::WATCH_TIMEOUT;
use crate::kv_store::Value;
use crate::{Host, Simulation};
use hopyoke_consistency::latency::{Purpose, RequestKind};
use hopyoke_scheduler::JobRecord;
use hopyoke_types::{JobId, Micros, ModRevision};

/// A change of a job record.
struct RecordChange {
    job: JobId,
    /// The record. `None` if it was deleted or has changed again since.
    record: Option<JobRecord>,
    mod_revision: ModRevision,
    is_deleted: bool,
}

/// Changes of job records up to a revision.
pub(crate) struct RecordChanges {
    changes: Vec<RecordChange>,
    revision: ModRevision,
}

impl Simulation {
    /// Opens a watch on job records from the revision that the scheduler has applied.
    pub(super) fn open_watch(&mut self, node: usize, process: u64) {
        let sent = self.now;
        let Some(leadership) = self.leadership(node, process) else {
            return;
        };
        leadership.watch_number += 1;
        let (since, number) = (
            leadership.scheduler.applied_revision(),
            leadership.watch_number,
        );
        self.send(Host::Node(node), Host::KvStore, move |sim| {
            if sim.store_rejects(node) {
                // Open watches wait while the store rejects requests; a new one is rejected and retried.
                let retry_delay = Micros::from_millis(200);
                return sim.send(Host::KvStore, Host::Node(node), move |sim| {
                    sim.timer(node, retry_delay, move |sim| {
                        if sim
                            .leadership(node, process)
                            .is_some_and(|l| l.watch_number == number)
                        {
                            sim.open_watch(node, process);
                        }
                    });
                });
            }
            sim.watch_at_store(node, process, since, number, sent);
        });
        // Without a response, which may be lost, the watch is opened again.
        let timeout = self.store_timeout(node, RequestKind::Watch, Purpose::Term);
        self.timer(node, WATCH_TIMEOUT + timeout, move |sim| {
            if sim
                .leadership(node, process)
                .is_some_and(|l| l.watch_number == number)
            {
                sim.store_timed_out(node, RequestKind::Watch, sent);
                sim.open_watch(node, process);
            }
        });
    }

    /// Answers a watch at the store once there is a change, or after the watch's timeout.
    fn watch_at_store(
        &mut self,
        node: usize,
        process: u64,
        since: ModRevision,
        number: u64,
        sent: Micros,
    ) {
        if self
            .leadership(node, process)
            .is_none_or(|l| l.watch_number != number)
        {
            return;
        }
        let record_changes = self.record_changes_since(since);
        let has_timed_out = self.now >= sent + WATCH_TIMEOUT;
        if (record_changes.changes.is_empty() && !has_timed_out) || self.store_rejects(node) {
            let wait = Micros::from_millis(20);
            return self.after(wait, move |sim| {
                sim.watch_at_store(node, process, since, number, sent)
            });
        }
        self.send(Host::KvStore, Host::Node(node), move |sim| {
            if sim
                .leadership(node, process)
                .is_none_or(|l| l.watch_number != number)
            {
                return;
            }
            // Includes the time that the store waited for a change, so it is only an upper bound of the latency.
            let now = sim.now;
            sim.nodes[node]
                .store_latency
                .record_upper_bound(RequestKind::Watch, now - sent, now);
            sim.apply_record_changes(node, process, record_changes, sent);
            sim.run_scheduler(node, process);
            sim.open_watch(node, process);
        });
    }

    /// Returns the changes of job records after a revision.
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

    /// Applies the changes that the store returned for a request sent at `sent`.
    pub(crate) fn apply_record_changes(
        &mut self,
        node: usize,
        process: u64,
        record_changes: RecordChanges,
        sent: Micros,
    ) {
        let now = self.now;
        let Some(leadership) = self.leadership(node, process) else {
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
