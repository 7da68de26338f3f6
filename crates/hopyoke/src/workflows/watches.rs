//! What the engine learns from the key-value store: runs, who executes them, and the ends of their steps' jobs.

use super::records::Value;
use super::runner::flows_of;
use crate::node::Node;
use crate::store::error::StoreError;
use crate::store::keys::{WORKFLOW_CLAIM_PREFIX, WORKFLOW_HEAD_PREFIX, WORKFLOW_PREFIX};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{KeyValue, Stored, WatchResponse};
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::EndRecord;
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{JobEnd, RESERVED_JOB_PREFIX, RunId};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// Longest wait of a watch.
const WATCH_WAIT: Micros = Micros::from_secs(10);

/// The run whose key this is.
fn run_of(key: &str, prefix: &str) -> Option<RunId> {
    RunId::parse(key.strip_prefix(prefix)?)
}

/// Learns of runs, cancellations and grants.
pub(super) async fn watch_runs(node: Rc<Node>) {
    let flows = flows_of(&node);
    let mut since = None;
    loop {
        let Some(from) = since else {
            match node.store.background().list::<Value>(WORKFLOW_PREFIX).await {
                Ok(listing) => {
                    records_listed(&node, listing.pairs, ModRevision(listing.revision));
                    since = Some(listing.revision);
                }
                Err(e) => {
                    debug!(error = %e, "runs not listed");
                    runtime::sleep(Micros::from_millis(700)).await;
                }
            }
            continue;
        };
        let result: Result<WatchResponse<Value>, _> = node
            .store
            .background()
            .watch(WORKFLOW_PREFIX, from, WATCH_WAIT)
            .await;
        match result {
            Ok(events) => {
                since = Some(events.revision.max(from));
                let any = !events.events.is_empty();
                for e in events.events {
                    if let Some(key) = e.deleted {
                        record_deleted(&node, &key, e.mod_revision);
                    } else if let (Some(key), Some(Stored::Value(value))) = (e.put, e.value) {
                        record_changed(&node, &key, value, e.mod_revision);
                    }
                }
                if any {
                    flows.wakeup.notify();
                }
            }
            Err(StoreError::Gone) => since = None,
            Err(e) => {
                debug!(error = %e, "watch of runs failed");
                runtime::sleep(Micros::from_millis(300)).await;
            }
        }
    }
}

/// A run's head or its holder has changed.
fn record_changed(node: &Node, key: &str, value: Value, mod_revision: ModRevision) {
    let now = runtime::now();
    let mut engine = flows_of(node).engine.borrow_mut();
    match value {
        Value::Head(head) => {
            if let Some(run) = run_of(key, WORKFLOW_HEAD_PREFIX) {
                engine.head_changed(run, *head, mod_revision, now);
            }
        }
        Value::RunClaim(hold) => {
            if let Some(run) = run_of(key, WORKFLOW_CLAIM_PREFIX) {
                engine.claim_changed(run, &hold.node, mod_revision, now);
            }
        }
        _ => warn!(key, "neither a run's head nor a grant"),
    }
}

/// A run's head or its holder is gone.
fn record_deleted(node: &Node, key: &str, mod_revision: ModRevision) {
    let mut engine = flows_of(node).engine.borrow_mut();
    if let Some(run) = run_of(key, WORKFLOW_CLAIM_PREFIX) {
        engine.claim_deleted(run, mod_revision, runtime::now());
    } else if let Some(run) = run_of(key, WORKFLOW_HEAD_PREFIX) {
        engine.head_deleted(run, mod_revision);
    }
}

/// All runs and grants as of a revision: what is not among them is gone.
fn records_listed(node: &Node, pairs: Vec<KeyValue<Value>>, revision: ModRevision) {
    let mut heads = BTreeSet::new();
    let mut holds = BTreeSet::new();
    for p in pairs {
        heads.extend(run_of(&p.key, WORKFLOW_HEAD_PREFIX));
        holds.extend(run_of(&p.key, WORKFLOW_CLAIM_PREFIX));
        match p.value {
            Stored::Value(v) => record_changed(node, &p.key, v, p.mod_revision),
            Stored::Unreadable(_) => warn!(key = %p.key, "unreadable record of a run"),
        }
    }
    let flows = flows_of(node);
    let mut engine = flows.engine.borrow_mut();
    let known: Vec<RunId> = engine.runs().map(|(run, ..)| run).collect();
    for run in known {
        if !heads.contains(&run) {
            engine.head_deleted(run, revision);
        } else if !holds.contains(&run) {
            engine.claim_deleted(run, revision, runtime::now());
        }
    }
    engine.watch_interrupted(runtime::now());
    flows.wakeup.notify();
}

/// Learns of the ends of steps' jobs, and of no others.
pub(super) async fn watch_ends(node: Rc<Node>) {
    let flows = flows_of(&node);
    let prefix = format!("end/{RESERVED_JOB_PREFIX}");
    let mut since: Option<u64> = None;
    loop {
        let from = match since {
            Some(s) => s,
            // What came before is read with each run's records.
            None => match node
                .store
                .background()
                .read_page::<EndRecord>(&prefix, None, 1)
                .await
            {
                Ok(page) => {
                    flows.engine.borrow_mut().watch_interrupted(runtime::now());
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
            Ok(events) => {
                since = Some(events.revision.max(from));
                let now = runtime::now();
                let mut engine = flows.engine.borrow_mut();
                for e in events.events {
                    if let (Some(key), Some(Stored::Value(end))) = (e.put, e.value)
                        && let Some(job) = key.strip_prefix("end/").and_then(JobId::parse)
                        && end.is_workflow_step
                    {
                        engine.job_ended(&job, job_end_of(end), now);
                    }
                }
                drop(engine);
                flows.wakeup.notify();
            }
            Err(StoreError::Gone) => since = None,
            Err(_) => runtime::sleep(Micros::from_millis(300)).await,
        }
    }
}

/// How a step's job ended.
pub(super) fn job_end_of(end: EndRecord) -> JobEnd {
    match end.state {
        JobState::Done => JobEnd::Done,
        _ if end.given_up => JobEnd::GivenUp,
        _ => JobEnd::Cancelled,
    }
}
