//! The records of runs in the key-value store.

use crate::ids::{RunId, StepNo};
use crate::plan::Plan;
use hopyoke_stored_form::json_len;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The policy for a run's other steps after one has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum OnError {
    /// Jobs in flight are cancelled, and no further step starts.
    #[default]
    Stop,
    /// Steps that don't depend on the failed step continue.
    Continue,
}

/// The state of a run. `Done`, `Failed` and `Cancelled` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Steps are submitted as they become ready.
    Running,
    /// A step failed and the jobs in flight are being cancelled; the next state is `Failed`.
    Failing,
    /// A client's cancellation was confirmed; the next state is `Cancelled`.
    Cancelling,
    /// All steps are done.
    Done,
    /// A step failed.
    Failed,
    /// The run was cancelled before it ended.
    Cancelled,
}

impl RunState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            RunState::Done | RunState::Failed | RunState::Cancelled
        )
    }

    /// Returns whether steps may be submitted in this state.
    pub fn allows_submission(self) -> bool {
        self == RunState::Running
    }
}

/// The head of a run: its metadata and state. Stored under `flow/head/RUN`, and under `flowend/RUN` once the state is
/// final. Its revision changes when the run's state does, and only then, because submissions are conditional on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The run's name, given by the submitter.
    pub name: String,
    /// The team whose quota applies to all steps.
    pub team: String,
    /// The submitter, as authenticated by the gateway. Only the submitter and operators may see the run.
    #[serde(default)]
    pub owner: String,
    /// The time of submission, in microseconds since the Unix epoch.
    pub submitted_us: u64,
    /// The time of the end, in microseconds since the Unix epoch; 0 until the run has ended.
    #[serde(default)]
    pub ended_us: u64,
    /// The number of steps in the plan.
    pub steps: u32,
    /// The number of pages of the plan.
    pub plan_pages: u32,
    /// The plan's digest. A submission of a different plan under the same run id is refused.
    pub digest: u64,
    /// The policy for the other steps after one has failed.
    #[serde(default)]
    pub on_error: OnError,
    /// The run's state.
    pub state: RunState,
    /// Why the run failed; empty if it did not.
    #[serde(default)]
    pub reason: String,
    /// The number of steps that were done when the run ended.
    #[serde(default)]
    pub done: u32,
    /// The run that this one resumes, reusing its done steps.
    #[serde(default)]
    pub resumes: Option<RunId>,
    /// The run under whose id the plan's pages are stored, if it is another run.
    #[serde(rename = "plan_of", default)]
    pub plan_source: Option<RunId>,
    /// Labels given by the submitter, returned unchanged.
    #[serde(default)]
    pub tags: BTreeMap<String, String>,
}

impl Head {
    /// Returns the head of a newly submitted run.
    pub fn new(
        name: &str,
        team: &str,
        owner: &str,
        plan: &Plan,
        pages: u32,
        submitted_us: u64,
    ) -> Head {
        Head {
            name: name.to_owned(),
            team: team.to_owned(),
            owner: owner.to_owned(),
            submitted_us,
            ended_us: 0,
            steps: plan.steps.len() as u32,
            plan_pages: pages,
            digest: plan.digest(),
            on_error: OnError::Stop,
            state: RunState::Running,
            reason: String::new(),
            done: 0,
            resumes: None,
            plan_source: None,
            tags: BTreeMap::new(),
        }
    }
}

/// Largest reason that a head keeps, in bytes of JSON. Paths of steps can be longer.
const MAX_REASON_BYTES: usize = 768;

impl Head {
    /// Returns an upper bound of its size in JSON in any later state, and of that of a run that resumes it.
    pub fn max_len(&self) -> usize {
        let largest_id = RunId::wrapping_new(u64::MAX);
        let largest = Head {
            state: RunState::Cancelling,
            ended_us: u64::MAX,
            submitted_us: u64::MAX,
            done: u32::MAX,
            resumes: Some(largest_id),
            plan_source: Some(largest_id),
            reason: String::new(),
            ..self.clone()
        };
        json_len(&largest) + MAX_REASON_BYTES
    }

    /// Returns the head of the run in another state, with the reason, of which the head keeps the beginning.
    #[must_use]
    pub fn in_state(&self, state: RunState, reason: &str) -> Head {
        Head {
            state,
            reason: beginning(reason, MAX_REASON_BYTES),
            ..self.clone()
        }
    }
}

/// Returns as much of a text as takes at most `max_bytes` bytes of JSON.
fn beginning(text: &str, max_bytes: usize) -> String {
    let mut bytes = json_len("");
    let fits = |c: &char| {
        bytes += json_len(c) - json_len("");
        bytes <= max_bytes
    };
    text.chars().take_while(fits).collect()
}

/// A node's claim to a run, stored under `flow/hold/RUN` and attached to the owner's lease. Its revision is the fencing
/// token of the owner's submissions and writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunClaim {
    /// The owner's name.
    pub node: String,
    /// The owner's lease, which distinguishes a process from an earlier one of the same node.
    pub lease: u64,
}

/// The recorded state of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StepState {
    /// The page records no end; the job's own record may be newer.
    #[default]
    Open,
    /// The step's job succeeded, or its dependencies are done and it has no job.
    Done,
    /// The step's job failed, or was cancelled while the run was not.
    Failed,
    /// The step's job was cancelled because the run was cancelled or failed.
    Cancelled,
    /// The step never started, because a dependency failed or the run was stopped.
    Skipped,
}

impl StepState {
    fn code(self) -> u8 {
        match self {
            StepState::Open => b'.',
            StepState::Done => b'd',
            StepState::Failed => b'f',
            StepState::Cancelled => b'w',
            StepState::Skipped => b's',
        }
    }

    fn from_code(b: u8) -> StepState {
        match b {
            b'd' => StepState::Done,
            b'f' => StepState::Failed,
            b'w' => StepState::Cancelled,
            b's' => StepState::Skipped,
            // An unknown code counts as no end, so that the job's record decides.
            _ => StepState::Open,
        }
    }

    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        self != StepState::Open
    }
}

/// The number of steps per page. Their states and some attempts fit into 4 KiB.
pub const STEPS_PER_PAGE: u32 = 2000;

/// A page of step states, stored under `flowpage/RUN/PAGE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StepPage {
    /// The state of each step, encoded as one letter.
    #[serde(rename = "marks")]
    pub states: String,
    /// The attempt of each step whose first job id was in use by another submitter.
    #[serde(rename = "tries", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<u32, u8>,
}

impl StepPage {
    /// Returns the number of the page that holds a step.
    pub fn number_of(step: StepNo) -> u32 {
        step.0 / STEPS_PER_PAGE
    }

    pub(crate) fn encode(first: u32, steps: &[(StepState, u8)]) -> StepPage {
        let states = steps
            .iter()
            .map(|(state, _)| state.code() as char)
            .collect();
        let attempts = (first..)
            .zip(steps)
            .filter(|(_, (_, attempt))| *attempt > 0)
            .map(|(i, (_, attempt))| (i, *attempt))
            .collect();
        StepPage { states, attempts }
    }

    /// Returns the page for a run that resumes this one: done steps stay done, all others are open. The new run's job
    /// ids are its own, so attempts are reset.
    pub fn for_resumed_run(&self) -> StepPage {
        let kept_state = |b: u8| match StepState::from_code(b) {
            StepState::Done => StepState::Done,
            _ => StepState::Open,
        };
        let states = self
            .states
            .bytes()
            .map(|b| kept_state(b).code() as char)
            .collect();
        StepPage {
            states,
            attempts: BTreeMap::new(),
        }
    }

    /// Returns step, state and attempt of each step on this page, whose number is `page`, in order.
    pub fn decode(&self, page: u32) -> impl Iterator<Item = (StepNo, StepState, u8)> + '_ {
        let first = page * STEPS_PER_PAGE;
        (first..)
            .zip(self.states.bytes().take(STEPS_PER_PAGE as usize))
            .map(|(i, b)| {
                let attempts = self.attempts.get(&i).copied().unwrap_or(0);
                (StepNo(i), StepState::from_code(b), attempts)
            })
    }
}
