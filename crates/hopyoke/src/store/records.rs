//! Jobs' records in the key-value store, as any node reads and changes them.

use super::client::{KeyRead, PrioritizedClient, TransactionOutcome};
use super::error::StateError;
use super::keys::{LEADER, end_key, job_key};
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

/// How long a cancellation for which no user waits is tried again while the job's record keeps changing.
const MAX_CANCEL_TIME: Micros = Micros::from_secs(2);

/// A job's record, unfinished or final.
pub(crate) enum Lookup {
    /// The record of an unfinished job, with the revision of its last change.
    Unfinished(Stored<JobRecord>, ModRevision),
    /// The record of a finished job.
    Finished(EndRecord),
    /// The job is finished, but its final record can't be decoded.
    Unreadable,
    /// There is no such job.
    Missing,
}

impl Lookup {
    /// The job is a step of a workflow's run.
    pub(crate) fn is_workflow_step(&self) -> bool {
        match self {
            Lookup::Unfinished(Stored::Value(record), _) => record.flow,
            Lookup::Finished(end) => end.flow,
            _ => false,
        }
    }
}

/// Notes that a job's final record was written or read here, whoever wrote it (the answer to a transaction can be
/// lost, and the user's repeated request finds what it did): from now on users may be told of it. Before that a
/// cancellation is logged for leaders that may not receive it, and this node's own scheduler drops the job.
/// (Guards `ran_cancelled`: a leader that outlives an outage would keep its tasks alive. Scenarios
/// leader_rejected_then_outage_responses_lost, leader_rejected_then_outage_leader_reads.)
fn terminal_state_known(node: &Node, id: &JobId, end: EndRecord, mod_revision: ModRevision) {
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
    node.terminal_states.add(id, end);
}

/// Bounds the cancellations that former processes of this node may have acknowledged: none became final after a
/// revision that this process has read.
pub(crate) async fn read_start_revision(node: Rc<Node>) {
    loop {
        match node
            .store
            .critical()
            .page::<serde::de::IgnoredAny>(LEADER, None, 1)
            .await
        {
            Ok(page) => {
                return node
                    .lease_support
                    .cancellation_log
                    .borrow_mut()
                    .started_before(ModRevision(page.revision));
            }
            Err(e) => debug!(error = %e, "revision at start not read"),
        }
        runtime::sleep(Micros::from_millis(rand::random_range(400..=800))).await;
    }
}

/// Reads a job's record. A record only ever moves from `job/` to `end/`, so reading in this order
/// can't miss it; only then is it truly missing. (Guards `forgotten` and `invented`.)
///
/// # Errors
///
/// The store's, if a read failed.
pub(crate) async fn lookup(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StateError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(Lookup::Finished(end));
    }
    if client.must_read_side_by_side() {
        return lookup_side_by_side(node, client, id).await;
    }
    if let Some((record, mod_revision)) = client.get::<JobRecord>(&job_key(id)).await? {
        return Ok(Lookup::Unfinished(record, mod_revision));
    }
    lookup_final(node, client, id).await
}

/// Reads both records at once, where the store's latency leaves no time for one after the other.
///
/// What is found is as good as a read of its own, and began after the request arrived. That neither is there proves the
/// job missing only if `end/` was read at a revision that is not older than that of `job/`: had the job existed as of the
/// latter, it would be under `end/` by then, and it never leaves it. Else it may have moved between the two reads, and
/// `end/` is read again. (Guards `forgotten`, `invented` and `went_back`.)
async fn lookup_side_by_side(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StateError> {
    let (job_key, end_key) = (job_key(id), end_key(id));
    let (unfinished, end) = join(
        client.read::<JobRecord>(&job_key),
        client.read::<EndRecord>(&end_key),
    )
    .await;
    let end = match end {
        Ok(KeyRead::Present(end, mod_revision)) => {
            return Ok(final_record_read(node, id, end, mod_revision));
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
        KeyRead::Absent(revision) if revision >= absent_as_of => Ok(Lookup::Missing),
        _ => lookup_final(node, client, id).await,
    }
}

/// Reads the final record of a job that is not unfinished.
async fn lookup_final(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StateError> {
    Ok(match client.get::<EndRecord>(&end_key(id)).await? {
        Some((end, mod_revision)) => final_record_read(node, id, end, mod_revision),
        None => Lookup::Missing,
    })
}

fn final_record_read(
    node: &Node,
    id: &JobId,
    end: Stored<EndRecord>,
    mod_revision: ModRevision,
) -> Lookup {
    match end {
        Stored::Value(end) => {
            terminal_state_known(node, id, end, mod_revision);
            Lookup::Finished(end)
        }
        Stored::Unreadable(_) => {
            warn!(job = %id, "final record unreadable");
            Lookup::Unreadable
        }
    }
}

/// Lookups in the background at once: their users ask again every few seconds.
const MAX_BACKGROUND_LOOKUPS: usize = 32;

/// Jobs whose records are being read though their users no longer wait.
#[derive(Default)]
pub(crate) struct BackgroundLookups(RefCell<BTreeSet<JobId>>);

/// Goes on reading a job's record after its user's deadline: a final state is remembered, and answers the next poll
/// however slow the store is. (Guards `forgotten`: test finished_jobs_are_answered_for_under_a_store_too_slow_for_polls.)
pub(crate) fn look_up_in_background(node: &Rc<Node>, id: &JobId) {
    let lookups = &node.background_lookups.0;
    let is_full = lookups.borrow().len() >= MAX_BACKGROUND_LOOKUPS;
    if is_full || !lookups.borrow_mut().insert(id.clone()) {
        return;
    }
    let (node, id) = (node.clone(), id.clone());
    runtime::spawn_until(node.cancel.clone(), async move {
        if let Err(e) = lookup(&node, node.store.polling(), &id).await {
            debug!(job = %id, error = %e, "job not read in the background");
        }
        node.background_lookups.0.borrow_mut().remove(&id);
    });
}

/// Reads the record of a job that is known not to be among the unfinished ones, so most likely over.
///
/// # Errors
///
/// The store's, if a read failed.
pub(crate) async fn lookup_ended(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StateError> {
    if let Some((Stored::Value(end), mod_revision)) = client.get::<EndRecord>(&end_key(id)).await? {
        terminal_state_known(node, id, end, mod_revision);
        return Ok(Lookup::Finished(end));
    }
    // Only a full lookup proves that it is missing: an unfinished record that can't be decoded is in no
    // scheduler.
    lookup(node, client, id).await
}

/// Writes the record of a new job, on the condition that there is none, and on `preconditions`.
///
/// # Errors
///
/// The store's; after [`StateError::Unknown`] the record may have been written.
pub(crate) async fn accept(
    node: &Rc<Node>,
    client: PrioritizedClient<'_>,
    record: JobRecord,
    preconditions: Vec<Compare>,
) -> Result<TransactionOutcome, StateError> {
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

/// Cancels a job: its record moves to its final key. What it is afterwards; `None` if its record keeps changing.
///
/// # Errors
///
/// The store's; after [`StateError::Unknown`] the job may have been cancelled.
pub(crate) async fn cancel(
    node: &Rc<Node>,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Option<Lookup>, StateError> {
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
            flow: record.is_some_and(|r| r.flow),
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
                terminal_state_known(node, id, end, mod_revision);
                notify_leader(node, id);
                return Ok(Some(Lookup::Finished(end)));
            }
            // Its record changed meanwhile, by the leader's progress most likely.
            TransactionOutcome::Failed(_) if runtime::now() < deadline => {}
            TransactionOutcome::Failed(_) => return Ok(None),
        }
    }
}

/// Notifies the leader, in the background, that a job was accepted or cancelled here.
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
