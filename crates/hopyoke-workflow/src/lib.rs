//! Workflow runs as durable state machines, without any I/O: events and the time go in, actions come out.
//!
//! A run is a graph of steps; each step is one job. The run's records outlive engines, nodes and all controllers, in
//! the spirit of AIP-103's per-task record. Any node may execute a run; it claims the run by a key on the node's lease,
//! and every write and every submission is conditional on that key's revision and on the revision of the run's head.
//! So a stale owner can't act late, and nothing starts once a cancellation is written.
//!
//! - [`RunId`], [`StepNo`], [`job_id`]: a step's job id follows from run, step and attempt, so that a repeated
//!   submission can never start a second job.
//! - [`Plan`]: the graph, validated, and its pages.
//! - [`Head`], [`StepPage`]: what is recorded of a run's progress.
//! - [`Engine`]: one node's decisions: which runs to claim, which steps to submit or cancel, what to write, with limits
//!   and retries. It emits an [`Action`] and is told its outcome.
//!
//! Before a step is started (again), reconciliation compares it with its job's record: reconnect to an unfinished job,
//! take the result of a finished one, or start anew.

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
