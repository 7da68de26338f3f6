//! Keeps the leader's scheduler in sync with the job records, by a watch and by queries for pending reads.

use super::client::Listing;
use super::error::StoreError;
use super::keys::JOB_PREFIX;
use crate::node::{Leadership, Node};
use hopyoke_consistency::read_index::ReadQuery;
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{KeyValue, Stored, WatchResponse};
use hopyoke_scheduler::{JobRecord, Scheduler};
use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// Maximum time for which the store waits for changes before it answers the leader's watch. If a response is lost, a
/// cancellation can remain unknown for this long.
pub(crate) const MAX_WATCH_WAIT: Micros = hopyoke_settings::JOB_WATCH_TIMEOUT;

/// Minimum interval between two watch requests.
const MIN_WATCH_INTERVAL: Micros = Micros::from_millis(80);

/// Applies other nodes' changes of job records: submissions and cancellations.
pub(crate) async fn follow_job_records(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let sent_at = runtime::now();
        let since = leadership.scheduler.borrow().applied_revision().0;
        let latency = node.store.timeouts.max_expected_latency();
        let wait = leadership
            .leader_lease
            .borrow()
            .watch_wait(latency, MAX_WATCH_WAIT);
        let result: Result<WatchResponse<JobRecord>, _> =
            node.store.records().watch(JOB_PREFIX, since, wait).await;
        match result {
            Ok(changes) => {
                apply_changes(&leadership, changes, sent_at);
                // Under load each watch is answered immediately; the delay batches several changes into one request.
                runtime::sleep_until(sent_at + MIN_WATCH_INTERVAL).await;
            }
            Err(StoreError::Gone) => match node.store.records().list(JOB_PREFIX).await {
                Ok(listing) => apply_listing(&leadership, listing, sent_at),
                Err(_) => runtime::sleep(Micros::from_millis(300)).await,
            },
            Err(e) => {
                debug!(error = %e, "watch of job records failed");
                runtime::sleep(Micros::from_millis(200)).await;
            }
        }
    }
}

/// Queries the store for changes whenever reads are pending. With a slow store several queries are in flight.
pub(crate) async fn run_read_queries(node: Rc<Node>, leadership: Rc<Leadership>) {
    loop {
        let Some(query) = leadership.waiting_reads.next_query().await else {
            leadership.waiting_reads.wake_readers();
            continue;
        };
        runtime::spawn_until(
            leadership.cancel.clone(),
            run_read_query(node.clone(), leadership.clone(), query),
        );
    }
}

async fn run_read_query(node: Rc<Node>, leadership: Rc<Leadership>, query: ReadQuery) {
    let reads = &leadership.waiting_reads;
    let sent_at = runtime::now();
    let since = leadership.scheduler.borrow().applied_revision().0;
    let result: Result<WatchResponse<JobRecord>, StoreError> = node
        .store
        .records()
        .watch(JOB_PREFIX, since.max(1), Micros::ZERO)
        .await;
    match result {
        Ok(changes) => {
            apply_changes(&leadership, changes, sent_at);
            reads.query_answered(query, runtime::now());
        }
        // If the revision has been compacted, the watch lists all records again.
        Err(e) => {
            debug!(error = %e, "query for pending reads failed");
            reads.query_failed(query, runtime::now());
        }
    }
    reads.wake_readers();
}

/// Applies a full list of the job records, read because the store no longer has all changes since the last revision.
fn apply_listing(leadership: &Leadership, listing: Listing<JobRecord>, sent_at: Micros) {
    let now = runtime::now();
    let mut scheduler = leadership.scheduler.borrow_mut();
    for id in jobs_missing_from(&scheduler, &listing) {
        scheduler.job_removed(&id, now);
    }
    for (id, record, mod_revision) in listing.pairs.into_iter().filter_map(decode_job) {
        scheduler.job_record_changed(id, record, mod_revision, now);
    }
    scheduler.records_applied_to(ModRevision(listing.revision), sent_at);
    leadership
        .leader_lease
        .borrow_mut()
        .changes_received(sent_at);
    leadership.wakeup.notify();
}

/// Returns the scheduler's jobs that are missing from the list. Excludes jobs newer than the list's revision: a
/// notification or a query delivered them after the list was read, and they are not finished. Guards the invariant
/// `forgotten`.
fn jobs_missing_from(scheduler: &Scheduler, listing: &Listing<JobRecord>) -> Vec<JobId> {
    let listed: BTreeSet<JobId> = listing
        .pairs
        .iter()
        .filter_map(|p| job_id_from_key(&p.key))
        .collect();
    let is_older_than_list = |id: &JobId| {
        scheduler
            .jobs
            .get(id)
            .is_some_and(|j| j.mod_revision.0 <= listing.revision)
    };
    scheduler
        .job_ids()
        .into_iter()
        .filter(|id| !listed.contains(id) && is_older_than_list(id))
        .collect()
}

/// Applies changes to the scheduler. A change may be received twice, by the watch and by a query: a known revision
/// changes nothing, and a finished job stays finished.
fn apply_changes(leadership: &Leadership, changes: WatchResponse<JobRecord>, sent_at: Micros) {
    let now = runtime::now();
    leadership
        .leader_lease
        .borrow_mut()
        .changes_received(sent_at);
    let has_events = !changes.events.is_empty();
    let mut scheduler = leadership.scheduler.borrow_mut();
    for e in changes.events {
        if let Some(id) = e.deleted.as_deref().and_then(job_id_from_key) {
            scheduler.job_removed(&id, now);
        } else if let (Some(key), Some(value)) = (e.put, e.value)
            && let Some((id, record, mod_revision)) = decode_job(KeyValue {
                key,
                value,
                mod_revision: e.mod_revision,
            })
        {
            scheduler.job_record_changed(id, record, mod_revision, now);
        }
    }
    scheduler.records_applied_to(ModRevision(changes.revision), sent_at);
    drop(scheduler);
    if has_events {
        leadership.wakeup.notify();
    }
}

/// Decodes a job's ID, record and revision. Returns `None` if the record cannot be decoded.
pub(crate) fn decode_job(pair: KeyValue<JobRecord>) -> Option<(JobId, JobRecord, ModRevision)> {
    let id = JobId::parse(pair.key.strip_prefix(JOB_PREFIX)?)?;
    match pair.value {
        Stored::Value(record) => Some((id, record, pair.mod_revision)),
        Stored::Unreadable(_) => {
            // Not fatal: the job still exists for its user.
            warn!(job = %id, "cannot decode job record");
            None
        }
    }
}

/// Returns the ID of the job that a key of an unfinished job names, or `None` for another key.
pub(crate) fn job_id_from_key(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(JOB_PREFIX)?)
}
