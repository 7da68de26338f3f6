//! Reads and changes of job records in the key-value store, on any node.

use super::client::{KeyRead, PrioritizedClient, TransactionOutcome};
use super::error::StoreError;
use super::keys::{LEADER_KEY, end_key, job_key};
use crate::node::Node;
use futures_util::future::join;
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::{EndRecord, JobRecord};
use hopyoke_types::{JobId, Micros, ModRevision};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// How long a cancellation without a deadline is retried while the job's record keeps changing.
const MAX_CANCEL_TIME: Micros = Micros::from_secs(2);

/// Result of looking up a job's record.
pub(crate) enum Lookup {
    /// Record of an unfinished job, with the revision of its last change.
    Unfinished(Stored<JobRecord>, ModRevision),
    /// Terminal record of a finished job.
    Finished(EndRecord),
    /// The job is finished, but its terminal record cannot be decoded.
    Unreadable,
    /// The job does not exist.
    NotFound,
}

impl Lookup {
    /// Returns whether the job is a step of a workflow run.
    pub(crate) fn is_workflow_step(&self) -> bool {
        match self {
            Lookup::Unfinished(Stored::Value(record), _) => record.is_workflow_step,
            Lookup::Finished(end) => end.is_workflow_step,
            _ => false,
        }
    }
}

/// Records a job's terminal state that this node has written or read; responses to users may report it from now on.
///
/// Before that, a cancellation is appended to the cancellation log for leaders that may not receive it, and the job is
/// removed from this node's own scheduler. This applies to a record of any writer: the response to the cancelling
/// transaction can be lost, and the user's repeated request then finds its result. Guards the invariant
/// `ran_cancelled`: a leader that outlives an outage of the store would otherwise keep the job's tasks running (scenarios
/// leader_rejected_then_outage_responses_lost, leader_rejected_then_outage_leader_reads).
fn record_terminal_state(node: &Node, id: &JobId, end: EndRecord, mod_revision: ModRevision) {
    if end.state == JobState::Cancelled {
        node.lease_support
            .cancellation_log
            .borrow_mut()
            .append(id, mod_revision);
        if let Some(leadership) = node.leadership()
            && let mut scheduler = leadership.scheduler.borrow_mut()
            && scheduler.applied_revision() < mod_revision
        {
            scheduler.job_removed(id, runtime::now());
            leadership.wakeup.notify();
        }
    }
    node.terminal_states.insert(id, end);
}

/// Reads a revision of the store at process start. Every cancellation that a previous process of this node acknowledged
/// was committed at or before this revision, so the cancellation log is complete from it on.
pub(crate) async fn read_start_revision(node: Rc<Node>) {
    loop {
        match node
            .store
            .critical()
            .read_page::<serde::de::IgnoredAny>(LEADER_KEY, None, 1)
            .await
        {
            Ok(page) => {
                return node
                    .lease_support
                    .cancellation_log
                    .borrow_mut()
                    .set_start_revision(ModRevision(page.revision));
            }
            Err(e) => debug!(error = %e, "failed to read store revision at process start"),
        }
        runtime::sleep(Micros::from_millis(rand::random_range(400..=800))).await;
    }
}

/// Reads a job's record. A record only ever moves from `job/` to `end/`, so reading the two keys in this order cannot
/// miss it: the job does not exist only if neither read finds it. Guards the invariants `forgotten` and `invented`.
///
/// # Errors
///
/// Returns the store's error if a read failed.
pub(crate) async fn lookup(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StoreError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(Lookup::Finished(end));
    }
    if client.must_read_concurrently() {
        return lookup_concurrently(node, client, id).await;
    }
    if let Some((record, mod_revision)) = client.get::<JobRecord>(&job_key(id)).await? {
        return Ok(Lookup::Unfinished(record, mod_revision));
    }
    lookup_terminal(node, client, id).await
}

/// Reads both keys of a job concurrently, if the store's latency leaves no time for sequential reads.
///
/// A record that is found is as valid as one from a single read, as both reads began after the request arrived. If both
/// keys are absent, the job does not exist only if `end/` was read at a revision not older than that of the `job/`
/// read: a job that existed as of the latter revision would be under `end/` by then, which it never leaves. Otherwise
/// the record may have moved between the two reads, and `end/` is read again. Guards the invariants `forgotten`,
/// `invented` and `went_back`.
async fn lookup_concurrently(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StoreError> {
    let (job_key, end_key) = (job_key(id), end_key(id));
    let (unfinished, end) = join(
        client.read::<JobRecord>(&job_key),
        client.read::<EndRecord>(&end_key),
    )
    .await;
    let end = match end {
        Ok(KeyRead::Present(end, mod_revision)) => {
            return Ok(handle_terminal_record(node, id, end, mod_revision));
        }
        absent_or_failed => absent_or_failed,
    };
    let absent_as_of = match unfinished? {
        KeyRead::Present(record, mod_revision) => {
            return Ok(Lookup::Unfinished(record, mod_revision));
        }
        KeyRead::Absent(revision) => revision,
    };
    match end? {
        KeyRead::Absent(revision) if revision >= absent_as_of => Ok(Lookup::NotFound),
        _ => lookup_terminal(node, client, id).await,
    }
}

/// Reads the terminal record of a job that has no unfinished record.
async fn lookup_terminal(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StoreError> {
    Ok(match client.get::<EndRecord>(&end_key(id)).await? {
        Some((end, mod_revision)) => handle_terminal_record(node, id, end, mod_revision),
        None => Lookup::NotFound,
    })
}

fn handle_terminal_record(
    node: &Node,
    id: &JobId,
    end: Stored<EndRecord>,
    mod_revision: ModRevision,
) -> Lookup {
    match end {
        Stored::Value(end) => {
            record_terminal_state(node, id, end, mod_revision);
            Lookup::Finished(end)
        }
        Stored::Unreadable(_) => {
            warn!(job = %id, "cannot decode terminal record");
            Lookup::Unreadable
        }
    }
}

/// Maximum number of concurrent background lookups; further ones are dropped, as clients repeat their polls.
const MAX_BACKGROUND_LOOKUPS: usize = 32;

/// Jobs whose records are still being read although their users no longer wait.
#[derive(Default)]
pub(crate) struct BackgroundLookups(RefCell<BTreeSet<JobId>>);

/// Reads a job's record in the background after its user's deadline. A terminal state is cached and answers the next
/// poll, however slow the store is. Guards the invariant `forgotten`.
pub(crate) fn spawn_background_lookup(node: &Rc<Node>, id: &JobId) {
    let lookups = &node.background_lookups.0;
    let is_full = lookups.borrow().len() >= MAX_BACKGROUND_LOOKUPS;
    if is_full || !lookups.borrow_mut().insert(id.clone()) {
        return;
    }
    let (node, id) = (node.clone(), id.clone());
    runtime::spawn_until(node.cancel.clone(), async move {
        if let Err(e) = lookup(&node, node.store.polls(), &id).await {
            debug!(job = %id, error = %e, "background lookup of job failed");
        }
        node.background_lookups.0.borrow_mut().remove(&id);
    });
}

/// Reads the record of a job that is unknown to the scheduler and therefore most likely finished.
///
/// # Errors
///
/// Returns the store's error if a read failed.
pub(crate) async fn lookup_finished(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StoreError> {
    if let Some((Stored::Value(end), mod_revision)) = client.get::<EndRecord>(&end_key(id)).await? {
        record_terminal_state(node, id, end, mod_revision);
        return Ok(Lookup::Finished(end));
    }
    // Only a full lookup shows that the job does not exist: an unfinished record that cannot be decoded is unknown to
    // the scheduler.
    lookup(node, client, id).await
}

/// Writes the record of a new job, on condition that the job has no record yet and that `preconditions` hold.
///
/// # Errors
///
/// Returns the store's error; after [`StoreError::Unknown`] the record may have been written.
pub(crate) async fn create(
    node: &Rc<Node>,
    client: PrioritizedClient<'_>,
    record: JobRecord,
    preconditions: Vec<Compare>,
) -> Result<TransactionOutcome, StoreError> {
    let id = record.spec.id.clone();
    let mut compares = vec![
        Compare {
            key: job_key(&id),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: end_key(&id),
            mod_revision: ModRevision(0),
        },
    ];
    compares.extend(preconditions);
    let mutations = vec![Mutation::Put {
        key: job_key(&id),
        value: record,
        lease: None,
    }];
    let outcome = client.txn(compares, mutations).await?;
    if matches!(outcome, TransactionOutcome::Applied(_)) {
        notify_leader(node, &id);
    }
    Ok(outcome)
}

/// Cancels a job by replacing its record with a terminal one, and returns the resulting record. Returns `None` if the
/// record kept changing until the deadline.
///
/// # Errors
///
/// Returns the store's error; after [`StoreError::Unknown`] the job may have been cancelled.
pub(crate) async fn cancel(
    node: &Rc<Node>,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Option<Lookup>, StoreError> {
    let deadline = client
        .deadline()
        .unwrap_or(runtime::now() + MAX_CANCEL_TIME);
    loop {
        let (record, mod_revision) = match lookup(node, client, id).await? {
            Lookup::Unfinished(record, mod_revision) => (record.decoded(), mod_revision),
            found => return Ok(Some(found)),
        };
        let done_tasks = record.as_ref().map_or(0, |r| r.done.count());
        let end = EndRecord {
            is_workflow_step: record.is_some_and(|r| r.is_workflow_step),
            ..EndRecord::new(JobState::Cancelled, done_tasks)
        };
        let compares = vec![
            Compare {
                key: job_key(id),
                mod_revision,
            },
            Compare {
                key: end_key(id),
                mod_revision: ModRevision(0),
            },
        ];
        let mutations = vec![
            Mutation::Delete { key: job_key(id) },
            Mutation::Put {
                key: end_key(id),
                value: end,
                lease: None,
            },
        ];
        match client.txn(compares, mutations).await? {
            TransactionOutcome::Applied(mod_revision) => {
                record_terminal_state(node, id, end, mod_revision);
                notify_leader(node, id);
                return Ok(Some(Lookup::Finished(end)));
            }
            // The record has changed since it was read, most likely by progress that the leader recorded.
            TransactionOutcome::Failed(_) if runtime::now() < deadline => {}
            TransactionOutcome::Failed(_) => return Ok(None),
        }
    }
}

/// Notifies the leader, in the background, that a job was submitted or cancelled through this node.
fn notify_leader(node: &Rc<Node>, id: &JobId) {
    if node.leadership().is_some() {
        return;
    }
    let (node, id) = (node.clone(), id.clone());
    runtime::spawn_until(node.cancel.clone(), async move {
        let leader = node.leader.borrow().clone();
        if let Some(peer) = leader.as_deref().and_then(|l| node.peers.by_name(l)) {
            peer.notify(&node.settings.node, &id).await;
        }
    });
}
