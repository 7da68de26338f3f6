//! Jobs' records in the state service, as any node reads and changes them.

use crate::node::Node;
use crate::store::client::{
    LEADER, PrioritizedClient, StateError, TransactionOutcome, end_key, job_key,
};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::{EndRecord, JobRecord};
use hopyoke_types::{JobId, Micros, ModRevision};
use std::rc::Rc;
use tracing::{debug, warn};

/// A job's record, wherever it is.
pub enum Lookup {
    Unfinished(Stored<JobRecord>, ModRevision),
    Finished(EndRecord),
    Unreadable,
    Missing,
}

impl Lookup {
    /// The job is a step of a workflow's run.
    pub fn is_flow(&self) -> bool {
        match self {
            Lookup::Unfinished(Stored::Value(record), _) => record.flow,
            Lookup::Finished(end) => end.flow,
            _ => false,
        }
    }
}

/// A job's final record was written or read here, so that from now on users may be told of it, whoever wrote
/// it: a transaction's answer can be lost, and the user's repeated request finds what it did. Before that a
/// cancellation is noted for leaders that may not hear of it, and our own core drops the job.
/// (Guards `ran_cancelled`: a leader that outlives an outage would keep its tasks alive. Scenarios
/// leader_rejected_then_outage_responses_lost, leader_rejected_then_outage_leader_reads.)
fn found_ended(node: &Node, id: &JobId, end: EndRecord, mod_revision: ModRevision) {
    if end.state == JobState::Cancelled {
        node.lease_support
            .confirmed
            .borrow_mut()
            .note(id, mod_revision);
        if let Some(leadership) = node.leadership()
            && let mut scheduler = leadership.scheduler.borrow_mut()
            && scheduler.applied() < mod_revision
        {
            scheduler.job_dropped(id, runtime::now());
            leadership.wakeup.notify();
        }
    }
    node.terminal_states.add(id, end);
}

/// Learns what cancellations former processes of this node may have confirmed: none that became final after a
/// revision that this process has read.
pub async fn learn_beginning(node: Rc<Node>) {
    loop {
        match node
            .state
            .critical()
            .page::<serde::de::IgnoredAny>(LEADER, None, 1)
            .await
        {
            Ok(page) => {
                return node
                    .lease_support
                    .confirmed
                    .borrow_mut()
                    .began_before(ModRevision(page.revision));
            }
            Err(e) => debug!(error = %e, "the service's revision is not known yet"),
        }
        runtime::sleep(Micros::from_millis(rand::random_range(400..=800))).await;
    }
}

/// Reads a job's record. A record only ever moves from `job/` to `end/`, so reading in this order
/// can't miss it; only then is it truly missing. (Guards `forgotten` and `invented`.)
pub async fn lookup(
    node: &Node,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> Result<Lookup, StateError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(Lookup::Finished(end));
    }
    if let Some((record, mod_revision)) = client.get::<JobRecord>(&job_key(id)).await? {
        return Ok(Lookup::Unfinished(record, mod_revision));
    }
    Ok(match client.get::<EndRecord>(&end_key(id)).await? {
        Some((Stored::Value(end), mod_revision)) => {
            found_ended(node, id, end, mod_revision);
            Lookup::Finished(end)
        }
        Some((Stored::Unreadable(_), _)) => {
            warn!(job = %id, "unreadable final record");
            Lookup::Unreadable
        }
        None => Lookup::Missing,
    })
}

/// Reads the record of a job that is known not to be among the unfinished ones, so most likely over.
pub async fn lookup_ended(node: &Node, id: &JobId) -> Result<Lookup, StateError> {
    if let Some((Stored::Value(end), mod_revision)) =
        node.state.polling().get::<EndRecord>(&end_key(id)).await?
    {
        found_ended(node, id, end, mod_revision);
        return Ok(Lookup::Finished(end));
    }
    // Only a full look proves that it is missing: an unfinished record that can't be read is in no
    // replica.
    lookup(node, node.state.polling(), id).await
}

/// Writes the record of a new job, on the condition that there is none, and on more.
pub async fn accept(
    node: &Rc<Node>,
    record: JobRecord,
    more: Vec<Compare>,
) -> Result<TransactionOutcome, StateError> {
    let id = record.spec.id.clone();
    let mut conditions = vec![
        Compare {
            key: job_key(&id),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: end_key(&id),
            mod_revision: ModRevision(0),
        },
    ];
    conditions.extend(more);
    let changes = vec![Mutation::Put {
        key: job_key(&id),
        value: record,
        lease: None,
    }];
    let end = node.state.accepting().txn(conditions, changes).await?;
    if matches!(end, TransactionOutcome::Applied(_)) {
        notify(node, &id);
    }
    Ok(end)
}

/// Cancels a job: its record moves to its final place. What it is afterwards; `None`: its record
/// keeps changing.
pub async fn cancel(node: &Rc<Node>, id: &JobId) -> Result<Option<Lookup>, StateError> {
    let started = runtime::now();
    loop {
        let (record, mod_revision) = match lookup(node, node.state.cancelling(), id).await? {
            Lookup::Unfinished(record, mod_revision) => (record.readable(), mod_revision),
            found => return Ok(Some(found)),
        };
        let done = record.as_ref().map_or(0, |r| r.done.count());
        let flow = record.is_some_and(|r| r.flow);
        let end = EndRecord {
            flow,
            ..EndRecord::new(JobState::Cancelled, done)
        };
        let conditions = vec![
            Compare {
                key: job_key(id),
                mod_revision,
            },
            Compare {
                key: end_key(id),
                mod_revision: ModRevision(0),
            },
        ];
        let changes = vec![
            Mutation::Delete { key: job_key(id) },
            Mutation::Put {
                key: end_key(id),
                value: end,
                lease: None,
            },
        ];
        match node.state.cancelling().txn(conditions, changes).await? {
            TransactionOutcome::Applied(mod_revision) => {
                found_ended(node, id, end, mod_revision);
                notify(node, id);
                return Ok(Some(Lookup::Finished(end)));
            }
            // Its record changed meanwhile, by the leader's progress most likely.
            TransactionOutcome::Failed(_) if runtime::now() < started + Micros::from_secs(2) => {}
            TransactionOutcome::Failed(_) => return Ok(None),
        }
    }
}

/// Tells the leader, in the background, that a job was accepted or cancelled here.
fn notify(node: &Rc<Node>, id: &JobId) {
    if node.leadership().is_some() {
        return;
    }
    let (node, id) = (node.clone(), id.clone());
    runtime::spawn_until(node.cancel.clone(), async move {
        let leader = node.leader.borrow().clone();
        if let Some(link) = leader.as_deref().and_then(|l| node.peers.by_name(l)) {
            link.notify(&node.settings.node, &id).await;
        }
    });
}
