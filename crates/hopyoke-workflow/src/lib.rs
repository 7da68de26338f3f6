//! Workflow runs as durable state machines, without any I/O: events and the time go in, actions
//! come out.
//!
//! A run is a graph of steps; each step is one job. The run's records outlive engines, nodes and
//! all controllers, in the spirit of AIP-103's per-task record. Any node may carry a run; its grant
//! is a key on the node's lease, and every write and every submission is conditional on that key's
//! mark and on the mark of the run's head. So an old carrier can't act late, and nothing starts
//! once a cancellation is written.
//!
//! - [`RunId`], [`StepNo`], [`job_id`]: a step's job id follows from run, step and try, so that a
//!   repeated submission can never start a second job.
//! - [`Plan`]: the graph, checked, and its pages.
//! - [`Head`], [`StepPage`]: what is recorded of a run's progress.
//! - [`Engine`]: one node's decisions: which runs to claim, which steps to submit or withdraw, what
//!   to write, with limits and retries.
//!
//! Before a step is started (again), the three-way check compares it with its job's record:
//! reconnect to an unfinished job, take the result of a finished one, or start anew.

mod engine;
mod ids;
mod limits;
mod plan;
mod record;
mod run;

pub use engine::{Action, Engine, Fetched, JobEnd, Outcome, Written};
pub use ids::{MOST_TRIES, RESERVED, RunId, StepNo, is_reserved, job_id, job_prefix, parts_of};
pub use limits::Limits;
pub use plan::{MOST_AFTER, MOST_STEPS, Plan, PlanError, PlanPage, PlanStep};
pub use record::{Head, Hold, OnError, RunState, STEPS_PER_PAGE, StepMark, StepPage};
pub use run::Progress;
