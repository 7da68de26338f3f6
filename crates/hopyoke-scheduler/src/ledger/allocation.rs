//! Allocations: task attempts on machines.

use crate::resources::Resources;
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::{FencingToken, Micros};
use std::rc::Rc;

/// A task attempt on a machine, from the decision to start it until its agent no longer lists it.
#[derive(Debug, Clone)]
pub struct Allocation {
    /// Lifecycle state, as far as this leader knows.
    pub state: AllocationState,
    /// Spec of its job. Kept here because its resources stay charged until the attempt is proven
    /// gone, even after its job has left the ledger. `None` if the ledger does not know the job.
    pub spec: Option<Rc<JobSpec>>,
    /// Latest heartbeat (epoch, sequence) whose response carried the start command, or that the agent
    /// sent in answer to a pushed start. `None` if no such command is known to have been delivered.
    pub start_sent_with: Option<(u64, u64)>,
    /// A pushed start command awaits its answer.
    pub push_in_flight: bool,
    /// A pushed start command got no answer: the agent may still execute it at any time in this epoch.
    pub outcome_unknown: bool,
    /// Highest token under which its start may have been pushed. Until the agent has seen a higher one, a repetition of that
    /// push starts the attempt, unless the agent knows it. `None` if no start was pushed.
    pub(crate) pushed_under: Option<FencingToken>,
    /// The agent no longer lists it although it was not acknowledged: the agent has lost it.
    pub(crate) is_missing: bool,
    /// The stop that was requested, if any.
    pub stop: Option<StopRequest>,
    /// When the attempt was created by this leader, or first reported to it.
    pub created_at: Micros,
    /// When a heartbeat first reported it as running.
    pub running_since: Option<Micros>,
}

/// Lifecycle state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// Start requested; no heartbeat has confirmed it yet.
    Unconfirmed,
    /// Reported by its agent in this state.
    Live(TaskState),
    /// Exited; its agent lists it until the exit is acknowledged.
    Ended(ExitReason),
}

/// A requested stop of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopRequest {
    /// Grace period in seconds, in which the task may save a checkpoint; 0 kills it immediately.
    pub grace_s: f64,
}

impl Allocation {
    /// Creates an allocation that was requested, or first reported, at `now`.
    pub fn new(state: AllocationState, spec: Option<Rc<JobSpec>>, now: Micros) -> Allocation {
        Allocation {
            state,
            spec,
            start_sent_with: None,
            push_in_flight: false,
            outcome_unknown: false,
            pushed_under: None,
            is_missing: false,
            stop: None,
            created_at: now,
            running_since: None,
        }
    }

    /// Returns whether an agent that has seen `token` refuses all pushes that may contain the attempt's start.
    pub(crate) fn is_start_refused_under(&self, token: FencingToken) -> bool {
        self.pushed_under.is_none_or(|pushed| token > pushed)
    }

    /// Returns true unless the attempt is known to have exited.
    pub fn is_live(&self) -> bool {
        !matches!(self.state, AllocationState::Ended(_))
    }

    /// Returns the resources that it holds; zero if its job is unknown.
    pub fn resources(&self) -> Resources {
        self.spec
            .as_ref()
            .map_or(Resources::default(), |s| Resources::of_task(s))
    }
}
