//! The workflow engine: durable state machines of workflow runs, without any I/O. Its inputs are events and the current
//! time, its outputs are actions.
//!
//! A run is a DAG of steps; each step is one job or a join without a job. All state of a run is recorded in the
//! key-value store, so a run survives the failure of any node or of all of them. Any node may execute a run. It claims
//! the run with a key that is attached to the node's lease. Submissions and writes are fenced by the revision of that
//! key, submissions also by the revision of the run's head. A stale owner therefore can't submit or write, and no step
//! starts after a cancellation is recorded.
//!
//! - [`RunId`], [`StepNo`], [`job_id`]: the id of a step's job is derived from run, step and attempt, which makes
//!   submissions idempotent.
//! - [`Plan`]: the DAG, its validation and its division into pages.
//! - [`Head`], [`StepPage`]: the recorded state of a run and of its steps.
//! - [`Engine`]: the decisions of one node: which runs to claim, which steps to submit or cancel and what to write,
//!   within rate limits and with retries. It emits each [`Action`] and is told the outcome.
//!
//! Before a new owner submits a step, it reconciles the step with its job's record: it reattaches to an unfinished job,
//! takes the result of an ended one, or submits the step.

mod engine;
mod ids;
mod limits;
mod messages;
mod plan;
mod record;
mod run;
mod step_table;

pub use engine::Engine;
pub use ids::{
    MAX_ATTEMPTS, RESERVED_JOB_ID_PREFIX, RunId, StepNo, is_step_job_id, job_id, job_id_prefix,
    parse_job_id,
};
pub use limits::Limits;
pub use messages::{Action, JobEnd, JobOutcome, RunRecords, WriteOutcome};
pub use plan::{MAX_DEPENDENCIES, MAX_STEPS, Plan, PlanError, PlanPage, PlanStep};
pub use record::{Head, OnError, RunClaim, RunState, STEPS_PER_PAGE, StepPage, StepState};
pub use run::Progress;
