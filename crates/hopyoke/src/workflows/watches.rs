//! Watches the key-value store on behalf of the workflow engine: runs, claims on them, and the ends of their steps' jobs.

use super::records::WorkflowRecord;
use super::runner::workflow_state;
use crate::node::Node;
use crate::store::error::StoreError;
use crate::store::keys::{WORKFLOW_CLAIM_PREFIX, WORKFLOW_HEAD_PREFIX, WORKFLOW_PREFIX};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{KeyValue, Stored, WatchResponse};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::EndRecord;
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{JobEnd, RESERVED_JOB_ID_PREFIX, RunId};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// How long the store may hold a watch request open without changes.
const WATCH_WAIT: Micros = Micros::from_secs(10);

/// Returns the run whose id follows `prefix` in a key, or `None` for any other key.
fn run_in_key(key: &str, prefix: &str) -> Option<RunId> {
    RunId::parse(key.strip_prefix(prefix)?)
}

/// Watches the heads of unfinished runs, which reflect submissions and cancellations, and the claims on them. Starts
/// with a full listing, also after the watched revision was compacted.
pub(super) async fn watch_runs(node: Rc<Node>) {
    let workflows = workflow_state(&node);
    let mut since = None;
    loop {
        let Some(from) = since else {
            match node
                .store
                .background()
                .list::<WorkflowRecord>(WORKFLOW_PREFIX)
                .await
            {
                Ok(listing) => {
                    apply_listing(&node, listing.pairs, ModRevision(listing.revision));
                    since = Some(listing.revision);
                }
                Err(e) => {
                    debug!(error = %e, "failed to list workflow runs");
                    runtime::sleep(Micros::from_millis(700)).await;
                }
            }
            continue;
        };
        let result: Result<WatchResponse<WorkflowRecord>, _> = node
            .store
            .background()
            .watch(WORKFLOW_PREFIX, from, WATCH_WAIT)
            .await;
        match result {
            Ok(response) => {
                since = Some(response.revision.max(from));
                let has_events = !response.events.is_empty();
                for event in response.events {
                    if let Some(key) = event.deleted {
                        record_deleted(&node, &key, event.mod_revision);
                    } else if let (Some(key), Some(Stored::Value(value))) = (event.put, event.value)
                    {
                        record_changed(&node, &key, value, event.mod_revision);
                    }
                }
                if has_events {
                    workflows.wakeup.notify();
                }
            }
            Err(StoreError::Gone) => since = None,
            Err(e) => {
                debug!(error = %e, "watch of workflow runs failed");
                runtime::sleep(Micros::from_millis(300)).await;
            }
        }
    }
}

/// Passes a changed head or claim to the engine.
fn record_changed(node: &Node, key: &str, value: WorkflowRecord, mod_revision: ModRevision) {
    let now = runtime::now();
    let mut engine = workflow_state(node).engine.borrow_mut();
    match value {
        WorkflowRecord::Head(head) => {
            if let Some(run) = run_in_key(key, WORKFLOW_HEAD_PREFIX) {
                engine.head_changed(run, *head, mod_revision, now);
            }
        }
        WorkflowRecord::RunClaim(claim) => {
            if let Some(run) = run_in_key(key, WORKFLOW_CLAIM_PREFIX) {
                engine.claim_changed(run, &claim.node, mod_revision, now);
            }
        }
        _ => warn!(
            key,
            "record is neither the head of a workflow run nor a claim on one"
        ),
    }
}

/// Passes the deletion of a head or claim to the engine.
fn record_deleted(node: &Node, key: &str, mod_revision: ModRevision) {
    let mut engine = workflow_state(node).engine.borrow_mut();
    if let Some(run) = run_in_key(key, WORKFLOW_CLAIM_PREFIX) {
        engine.claim_deleted(run, mod_revision, runtime::now());
    } else if let Some(run) = run_in_key(key, WORKFLOW_HEAD_PREFIX) {
        engine.head_deleted(run, mod_revision);
    }
}

/// Reconciles the engine with a full listing of heads and claims as of a revision: heads and claims not listed have been
/// deleted.
fn apply_listing(node: &Node, pairs: Vec<KeyValue<WorkflowRecord>>, revision: ModRevision) {
    let mut heads = BTreeSet::new();
    let mut claims = BTreeSet::new();
    for pair in pairs {
        heads.extend(run_in_key(&pair.key, WORKFLOW_HEAD_PREFIX));
        claims.extend(run_in_key(&pair.key, WORKFLOW_CLAIM_PREFIX));
        match pair.value {
            Stored::Value(record) => record_changed(node, &pair.key, record, pair.mod_revision),
            Stored::Unreadable(_) => warn!(key = %pair.key, "malformed record of a workflow run"),
        }
    }
    let workflows = workflow_state(node);
    let mut engine = workflows.engine.borrow_mut();
    let known: Vec<RunId> = engine.runs().map(|(run, ..)| run).collect();
    for run in known {
        if !heads.contains(&run) {
            engine.head_deleted(run, revision);
        } else if !claims.contains(&run) {
            engine.claim_deleted(run, revision, runtime::now());
        }
    }
    engine.watch_interrupted(runtime::now());
    workflows.wakeup.notify();
}

/// Watches for ended jobs of workflow steps. Their ids have a reserved prefix, so the ends of users' jobs are not received.
pub(super) async fn watch_job_ends(node: Rc<Node>) {
    let workflows = workflow_state(&node);
    let prefix = format!("end/{RESERVED_JOB_ID_PREFIX}");
    let mut since: Option<u64> = None;
    loop {
        let from = match since {
            Some(revision) => revision,
            // The watch starts at the current revision: earlier ends are read with each run's records.
            None => match node
                .store
                .background()
                .read_page::<EndRecord>(&prefix, None, 1)
                .await
            {
                Ok(page) => {
                    workflows
                        .engine
                        .borrow_mut()
                        .watch_interrupted(runtime::now());
                    page.revision
                }
                Err(_) => {
                    runtime::sleep(Micros::from_millis(700)).await;
                    continue;
                }
            },
        };
        since = Some(from);
        let result: Result<WatchResponse<EndRecord>, _> = node
            .store
            .background()
            .watch(&prefix, from.max(1), WATCH_WAIT)
            .await;
        match result {
            Ok(response) => {
                since = Some(response.revision.max(from));
                let now = runtime::now();
                let mut engine = workflows.engine.borrow_mut();
                for event in response.events {
                    if let (Some(key), Some(Stored::Value(end))) = (event.put, event.value)
                        && let Some(job) = key.strip_prefix("end/").and_then(JobId::parse)
                        && end.is_workflow_step
                    {
                        engine.job_ended(&job, to_job_end(end), now);
                    }
                }
                drop(engine);
                workflows.wakeup.notify();
            }
            Err(StoreError::Gone) => since = None,
            Err(_) => runtime::sleep(Micros::from_millis(300)).await,
        }
    }
}

/// Returns how a step's job ended, by its final record.
pub(super) fn to_job_end(end: EndRecord) -> JobEnd {
    match end.state {
        JobState::Done => JobEnd::Done,
        _ if end.cancelled_by_scheduler => JobEnd::Failed,
        _ => JobEnd::Cancelled,
    }
}
