//! Attempts of tasks on machines.

use crate::resources::Resources;
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::Micros;
use std::rc::Rc;

/// An attempt on a machine, from its start command until the agent no longer lists it.
#[derive(Debug, Clone)]
pub struct Allocation {
    /// How far it has come.
    pub state: AllocationState,
    /// What it takes and of which job, kept here because it must be charged until it is proven
    /// gone, even when its job is over. `None`: a job that the ledger doesn't know.
    pub spec: Option<Rc<JobSpec>>,
    /// The start command went out with the response to this heartbeat (epoch, sequence).
    pub start_sent_with: Option<(u64, u64)>,
    /// A pushed start command is under way.
    pub push_in_flight: bool,
    /// A pushed start command got no answer: it may be executed at any later time of this epoch.
    pub outcome_unknown: bool,
    /// It is to be stopped.
    pub stop: Option<StopRequest>,
    /// When it was commanded, or first seen.
    pub since: Micros,
    /// When it was first seen running.
    pub running_since: Option<Micros>,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// Commanded; no heartbeat has shown it yet.
    Unconfirmed,
    /// Its agent reports it in this state.
    Live(TaskState),
    /// It has exited; its agent still lists it until that is acknowledged.
    Ended(ExitReason),
}

/// A stop that was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopRequest {
    /// Seconds in which the task may save its progress; 0: it is killed at once.
    pub grace_s: f64,
}

impl Allocation {
    /// An attempt that was commanded or first seen at `now`.
    pub fn new(state: AllocationState, spec: Option<Rc<JobSpec>>, now: Micros) -> Allocation {
        Allocation {
            state,
            spec,
            start_sent_with: None,
            push_in_flight: false,
            outcome_unknown: false,
            stop: None,
            since: now,
            running_since: None,
        }
    }

    /// It has not ended, as far as is known.
    pub fn is_live(&self) -> bool {
        !matches!(self.state, AllocationState::Ended(_))
    }

    /// The resources that it takes; none if its job is unknown.
    pub fn resources(&self) -> Resources {
        self.spec
            .as_ref()
            .map_or(Resources::default(), |s| Resources::of_task(s))
    }
}
