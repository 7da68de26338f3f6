//! The keys of the key-value store under which records live.
//!
//! | key | record |
//! | --- | --- |
//! | `leader` | the leader, on the leader's lease |
//! | `block/ZONE` | the holder of a zone's shard of machines, on the holder's lease |
//! | `job/ID` | an unfinished job |
//! | `end/ID` | a finished job, for good |
//! | `fleet/ID` | a page of the machine registry |
//! | `learn/N` | learned run times; nothing depends on them |
//! | `staffed` | the operators' override of staffed hours |
//! | `flow/head/RUN` | a run of a workflow that is not over |
//! | `flow/hold/RUN` | the node that executes it, on that node's lease |
//! | `flowend/RUN` | a run that is over, for good |
//! | `flowplan/RUN/N` | a page of its plan, written once |
//! | `flowpage/RUN/N` | a page of its steps' progress |

use hopyoke_run_times::PageKey;
use hopyoke_types::JobId;
use hopyoke_workflow::RunId;

/// The leader; see [`crate::leadership::election`].
pub(crate) const LEADER_KEY: &str = "leader";
/// Unfinished jobs.
pub(crate) const JOB_PREFIX: &str = "job/";
/// Pages of the machine registry.
pub(crate) const REGISTRY_PREFIX: &str = "fleet/";
/// Learned run times.
pub(crate) const RUN_TIMES_PREFIX: &str = "learn/";
/// The operators' override of staffed hours.
pub(crate) const STAFFED_HOURS_KEY: &str = "staffed";
/// Unfinished runs of workflows and the nodes that execute them.
pub(crate) const WORKFLOW_PREFIX: &str = "flow/";
/// Unfinished runs of workflows.
pub(crate) const WORKFLOW_HEAD_PREFIX: &str = "flow/head/";
/// Nodes that execute runs of workflows.
pub(crate) const WORKFLOW_CLAIM_PREFIX: &str = "flow/hold/";
/// Finished runs of workflows.
pub(crate) const WORKFLOW_END_PREFIX: &str = "flowend/";

/// An unfinished job.
pub(crate) fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// A finished job.
pub(crate) fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

/// A page of the machine registry.
pub(crate) fn registry_page_key(page: &str) -> String {
    format!("{REGISTRY_PREFIX}{page}")
}

/// A page of learned run times.
pub(crate) fn run_times_key(page: PageKey) -> String {
    format!("{RUN_TIMES_PREFIX}{page}")
}

/// The holder of a zone's shard of machines.
pub(crate) fn shard_key(zone: &str) -> String {
    format!("block/{zone}")
}

/// A run that is not over.
pub(crate) fn workflow_head_key(run: RunId) -> String {
    format!("{WORKFLOW_HEAD_PREFIX}{run}")
}

/// The node that executes a run.
pub(crate) fn workflow_claim_key(run: RunId) -> String {
    format!("{WORKFLOW_CLAIM_PREFIX}{run}")
}

/// A run that is over.
pub(crate) fn workflow_end_key(run: RunId) -> String {
    format!("{WORKFLOW_END_PREFIX}{run}")
}

/// All pages of a run's plan, which follow in the order of their keys.
pub(crate) fn workflow_plan_prefix(run: RunId) -> String {
    format!("flowplan/{run}/")
}

/// A page of a run's plan.
pub(crate) fn workflow_plan_key(run: RunId, page: u32) -> String {
    format!("flowplan/{run}/{page:05}")
}

/// All pages of a run's progress.
pub(crate) fn workflow_page_prefix(run: RunId) -> String {
    format!("flowpage/{run}/")
}

/// A page of a run's progress.
pub(crate) fn workflow_page_key(run: RunId, page: u32) -> String {
    format!("flowpage/{run}/{page:03}")
}
