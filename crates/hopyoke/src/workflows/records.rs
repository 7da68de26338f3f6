//! Reads the records of workflow runs from the key-value store. Any node may read them.

use crate::node::Node;
use crate::store::error::StoreError;
use crate::store::keys::{
    workflow_claim_key, workflow_end_key, workflow_head_key, workflow_page_prefix,
    workflow_plan_prefix,
};
use crate::workflows::watches::to_job_end;
use hopyoke_protocol::state::{KeyValue, Stored};
use hopyoke_scheduler::{EndRecord, JobRecord};
use hopyoke_types::{JobId, ModRevision};
use hopyoke_workflow::{
    Head, Plan, PlanPage, RunClaim, RunId, RunRecords, StepPage, job_id_prefix,
};
use serde::{Deserialize, Serialize};
use tracing::warn;

/// A record of a workflow run. The encoding is untagged: the variants differ by their fields.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum WorkflowRecord {
    Head(Box<Head>),
    RunClaim(RunClaim),
    Page(StepPage),
    Plan(PlanPage),
}

/// Reads the head of an unfinished or finished run, with the revision of its last change. Returns `None` if there is no such
/// run. A head only ever moves from `flow/head/` to `flowend/`, so reading in this order can't miss it.
pub(crate) async fn read_head(
    node: &Node,
    run: RunId,
) -> Result<Option<(Head, ModRevision)>, StoreError> {
    for key in [workflow_head_key(run), workflow_end_key(run)] {
        match node.store.background().get::<Head>(&key).await? {
            Some((Stored::Value(head), mod_revision)) => return Ok(Some((head, mod_revision))),
            Some((Stored::Unreadable(_), _)) => {
                warn!(%run, "malformed head of a workflow run");
                return Err(StoreError::Malformed("head of a workflow run".into()));
            }
            None => {}
        }
    }
    Ok(None)
}

/// Reads the pages of a run's progress, by number and with the revisions of their last change.
pub(crate) async fn read_step_pages(
    node: &Node,
    run: RunId,
) -> Result<Vec<(u32, ModRevision, StepPage)>, StoreError> {
    let prefix = workflow_page_prefix(run);
    let pairs = node
        .store
        .background()
        .list::<StepPage>(&prefix)
        .await?
        .pairs;
    let page = |p: KeyValue<StepPage>| {
        let number = p.key.strip_prefix(&prefix)?.parse().ok()?;
        // A malformed page counts as empty: the jobs' own records show which steps have ended.
        Some((
            number,
            p.mod_revision,
            p.value.decoded().unwrap_or_default(),
        ))
    };
    Ok(pairs.into_iter().filter_map(page).collect())
}

/// Reads a run's plan. Returns `None` if a page is missing or malformed.
pub(crate) async fn read_plan(
    node: &Node,
    run: RunId,
    head: &Head,
) -> Result<Option<Plan>, StoreError> {
    let pairs = node
        .store
        .background()
        .list::<PlanPage>(&workflow_plan_prefix(head.plan_source.unwrap_or(run)))
        .await?
        .pairs;
    let pages: Option<Vec<PlanPage>> = pairs.into_iter().map(|p| p.value.decoded()).collect();
    Ok(pages
        .filter(|p| p.len() == head.plan_pages as usize)
        .map(Plan::from_pages))
}

/// Reads the records that a node needs to execute a run. Returns `None` if its head or plan is missing.
pub(super) async fn read_run_records(
    node: &Node,
    run: RunId,
    with_plan: bool,
) -> Result<Option<RunRecords>, StoreError> {
    let claim_revision = node
        .store
        .background()
        .get::<RunClaim>(&workflow_claim_key(run))
        .await?
        .map(|(_, mod_revision)| mod_revision);
    let Some((head, head_revision)) = read_head(node, run).await? else {
        return Ok(None);
    };
    let plan = if with_plan && !head.state.is_final() {
        match read_plan(node, run, &head).await? {
            Some(plan) => Some(plan),
            None => return Ok(None),
        }
    } else {
        None
    };
    let pages = read_step_pages(node, run).await?;
    // Unfinished jobs are read first: a record only ever moves from `job/` to `end/`, so none is missed.
    let prefix = job_id_prefix(run);
    let jobs = node
        .store
        .background()
        .list::<JobRecord>(&format!("job/{prefix}"))
        .await?
        .pairs;
    let ends = node
        .store
        .background()
        .list::<EndRecord>(&format!("end/{prefix}"))
        .await?
        .pairs;
    let job_id_in_key = |key: &str| JobId::parse(key.split_once('/')?.1);
    Ok(Some(RunRecords {
        head,
        head_revision,
        claim_revision,
        plan,
        pages,
        unfinished_jobs: jobs
            .iter()
            .filter_map(|p| {
                Some((
                    job_id_in_key(&p.key)?,
                    matches!(&p.value, Stored::Value(r) if r.is_workflow_step),
                ))
            })
            .collect(),
        ended_jobs: ends
            .iter()
            .filter_map(|p| match &p.value {
                Stored::Value(e) => {
                    Some((job_id_in_key(&p.key)?, to_job_end(*e), e.is_workflow_step))
                }
                Stored::Unreadable(_) => None,
            })
            .collect(),
    }))
}
