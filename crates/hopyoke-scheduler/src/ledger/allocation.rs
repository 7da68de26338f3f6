//! Attempts of tasks on machines.

use crate::amounts::Resources;
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::Micros;
use std::rc::Rc;

/// An attempt on a machine, from its start command until the worker no longer lists it.
#[derive(Debug, Clone)]
pub struct Allocation {
    pub state: AllocationState,
    /// What it takes and of which job, kept here because it must be charged until it is proven
    /// gone, even when its job is over. `None`: a job that the ledger doesn't know.
    pub spec: Option<Rc<JobSpec>>,
    /// The start command went out with the answer to this report (session, seq).
    pub offered: Option<(u64, u64)>,
    /// A direct start command is under way.
    pub push_in_flight: bool,
    /// A direct start command got no answer: it may be executed at any later time of this session.
    pub outcome_unknown: bool,
    pub stop: Option<Stop>,
    /// When it was commanded, or first seen.
    pub since: Micros,
    /// When it was first seen running.
    pub running_since: Option<Micros>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllocationState {
    /// Commanded; no report has shown it yet.
    Sent,
    Live(TaskState),
    Ended(ExitReason),
}

/// An order to stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    pub grace_s: f64,
}

impl Allocation {
    pub fn new(state: AllocationState, spec: Option<Rc<JobSpec>>, now: Micros) -> Allocation {
        Allocation {
            state,
            spec,
            offered: None,
            push_in_flight: false,
            outcome_unknown: false,
            stop: None,
            since: now,
            running_since: None,
        }
    }

    pub fn is_live(&self) -> bool {
        !matches!(self.state, AllocationState::Ended(_))
    }

    pub fn amounts(&self) -> Resources {
        self.spec
            .as_ref()
            .map_or(Resources::default(), |s| Resources::of_task(s))
    }
}
