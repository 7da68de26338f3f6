//! Records of runs in the key-value store, as any node reads them.

use crate::node::Node;
use crate::store::error::StoreError;
use crate::store::keys::{
    workflow_claim_key, workflow_end_key, workflow_head_key, workflow_page_prefix,
    workflow_plan_prefix,
};
use crate::workflows::watches::job_end_of;
use hopyoke_protocol::state::{KeyValue, Stored};
use hopyoke_scheduler::{EndRecord, JobRecord};
use hopyoke_types::{JobId, ModRevision};
use hopyoke_workflow::{Head, Plan, PlanPage, RunClaim, RunId, RunRecords, StepPage, job_prefix};
use serde::{Deserialize, Serialize};
use tracing::warn;

/// What is under `flow/`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum Value {
    Head(Box<Head>),
    RunClaim(RunClaim),
    Page(StepPage),
    Plan(PlanPage),
}

/// Reads a run's head, wherever it is: a head only ever moves from `flow/head/` to `flowend/`.
pub(crate) async fn head_of(
    node: &Node,
    run: RunId,
) -> Result<Option<(Head, ModRevision)>, StoreError> {
    for key in [workflow_head_key(run), workflow_end_key(run)] {
        match node.store.background().get::<Head>(&key).await? {
            Some((Stored::Value(head), mod_revision)) => return Ok(Some((head, mod_revision))),
            Some((Stored::Unreadable(_), _)) => {
                warn!(%run, "unreadable head");
                return Err(StoreError::Malformed("a run's head".into()));
            }
            None => {}
        }
    }
    Ok(None)
}

/// The pages of a run's progress.
pub(crate) async fn pages_of(
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
        // An unreadable page is no knowledge; the jobs' own records tell.
        Some((
            number,
            p.mod_revision,
            p.value.decoded().unwrap_or_default(),
        ))
    };
    Ok(pairs.into_iter().filter_map(page).collect())
}

/// A run's plan, if all its pages can be read.
pub(crate) async fn plan_of(
    node: &Node,
    run: RunId,
    head: &Head,
) -> Result<Option<Plan>, StoreError> {
    let pairs = node
        .store
        .background()
        .list::<PlanPage>(&workflow_plan_prefix(head.plan_of.unwrap_or(run)))
        .await?
        .pairs;
    let pages: Option<Vec<PlanPage>> = pairs.into_iter().map(|p| p.value.decoded()).collect();
    Ok(pages
        .filter(|p| p.len() == head.plan_pages as usize)
        .map(Plan::from_pages))
}

/// All that a node must know of a run to execute it; `None` if its head or plan is not there.
pub(super) async fn read_run(
    node: &Node,
    run: RunId,
    plan: bool,
) -> Result<Option<RunRecords>, StoreError> {
    let grant = node
        .store
        .background()
        .get::<RunClaim>(&workflow_claim_key(run))
        .await?
        .map(|(_, mod_revision)| mod_revision);
    let Some((head, head_revision)) = head_of(node, run).await? else {
        return Ok(None);
    };
    let plan = if plan && !head.state.is_final() {
        match plan_of(node, run, &head).await? {
            Some(plan) => Some(plan),
            None => return Ok(None),
        }
    } else {
        None
    };
    let pages = pages_of(node, run).await?;
    // Unfinished jobs first: a record only ever moves to the ended ones.
    let prefix = job_prefix(run);
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
    let id = |key: &str| JobId::parse(key.split_once('/')?.1);
    Ok(Some(RunRecords {
        head,
        head_revision,
        claim_revision: grant,
        plan,
        pages,
        jobs: jobs
            .iter()
            .filter_map(|p| {
                Some((
                    id(&p.key)?,
                    matches!(&p.value, Stored::Value(r) if r.is_workflow_step),
                ))
            })
            .collect(),
        ends: ends
            .iter()
            .filter_map(|p| match &p.value {
                Stored::Value(e) => Some((id(&p.key)?, job_end_of(*e), e.is_workflow_step)),
                Stored::Unreadable(_) => None,
            })
            .collect(),
    }))
}
