//! Key layout of the key-value store.
//!
//! | key | record |
//! | --- | --- |
//! | `leader` | leader, attached to the leader's lease |
//! | `block/ZONE` | owner of a zone's shard of machines, attached to the owner's lease |
//! | `job/ID` | unfinished job |
//! | `end/ID` | terminal record of a job, never deleted |
//! | `fleet/ID` | page of the machine registry |
//! | `learn/N` | learned run times; optional |
//! | `term` | fencing token of the leader's term, written only to obtain a new revision; never read |
//! | `staffed` | operators' override of staffed hours |
//! | `flow/head/RUN` | unfinished workflow run |
//! | `flow/hold/RUN` | claim of the node that executes a run, attached to that node's lease |
//! | `flowend/RUN` | terminal record of a workflow run, never deleted |
//! | `flowplan/RUN/N` | page of a run's plan, written once |
//! | `flowpage/RUN/N` | page of a run's step progress |

use hopyoke_run_times::PageKey;
use hopyoke_types::JobId;
use hopyoke_workflow::RunId;

/// Key of the leader; see [`crate::leadership::election`].
pub(crate) const LEADER_KEY: &str = "leader";
/// Key of the record of the leader's term.
pub(crate) const TERM_KEY: &str = "term";
/// Prefix of unfinished jobs.
pub(crate) const JOB_PREFIX: &str = "job/";
/// Prefix of the machine registry's pages.
pub(crate) const REGISTRY_PREFIX: &str = "fleet/";
/// Prefix of learned run times.
pub(crate) const RUN_TIMES_PREFIX: &str = "learn/";
/// Key of the operators' override of staffed hours.
pub(crate) const STAFFED_HOURS_KEY: &str = "staffed";
/// Prefix of unfinished workflow runs and of the claims on them.
pub(crate) const WORKFLOW_PREFIX: &str = "flow/";
/// Prefix of unfinished workflow runs.
pub(crate) const WORKFLOW_HEAD_PREFIX: &str = "flow/head/";
/// Prefix of the nodes' claims on workflow runs.
pub(crate) const WORKFLOW_CLAIM_PREFIX: &str = "flow/hold/";
/// Prefix of finished workflow runs.
pub(crate) const WORKFLOW_END_PREFIX: &str = "flowend/";

/// Returns the key of an unfinished job.
pub(crate) fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's terminal record.
pub(crate) fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

/// Returns the key of a page of the machine registry.
pub(crate) fn registry_page_key(page: &str) -> String {
    format!("{REGISTRY_PREFIX}{page}")
}

/// Returns the key of a page of learned run times.
pub(crate) fn run_times_key(page: PageKey) -> String {
    format!("{RUN_TIMES_PREFIX}{page}")
}

/// Returns the key of the owner of a zone's shard of machines.
pub(crate) fn shard_key(zone: &str) -> String {
    format!("block/{zone}")
}

/// Returns the key of an unfinished run.
pub(crate) fn workflow_head_key(run: RunId) -> String {
    format!("{WORKFLOW_HEAD_PREFIX}{run}")
}

/// Returns the key of the claim of the node that executes a run.
pub(crate) fn workflow_claim_key(run: RunId) -> String {
    format!("{WORKFLOW_CLAIM_PREFIX}{run}")
}

/// Returns the key of a finished run.
pub(crate) fn workflow_end_key(run: RunId) -> String {
    format!("{WORKFLOW_END_PREFIX}{run}")
}

/// Returns the prefix of the pages of a run's plan; the pages are sorted by key.
pub(crate) fn workflow_plan_prefix(run: RunId) -> String {
    format!("flowplan/{run}/")
}

/// Returns the key of a page of a run's plan.
pub(crate) fn workflow_plan_key(run: RunId, page: u32) -> String {
    format!("flowplan/{run}/{page:05}")
}

/// Returns the prefix of the pages of a run's progress.
pub(crate) fn workflow_page_prefix(run: RunId) -> String {
    format!("flowpage/{run}/")
}

/// Returns the key of a page of a run's progress.
pub(crate) fn workflow_page_key(run: RunId, page: u32) -> String {
    format!("flowpage/{run}/{page:03}")
}
