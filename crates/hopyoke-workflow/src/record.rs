//! What is recorded of a run.

use crate::ids::{RunId, StepNo};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What happens to a run's other steps once one has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum OnError {
    /// Jobs in flight are cancelled, nothing else starts.
    #[default]
    Stop,
    /// All that does not depend on the failed step goes on.
    Continue,
}

/// The state of a run. `Done`, `Failed` and `Cancelled` are final and never change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Steps are submitted as they become ready.
    Running,
    /// A step failed and the others are being cancelled; becomes `Failed`.
    Failing,
    /// A client got its cancellation confirmed; becomes `Cancelled`.
    Cancelling,
    /// All steps are done.
    Done,
    /// A step failed.
    Failed,
    /// It was cancelled before its end.
    Cancelled,
}

impl RunState {
    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            RunState::Done | RunState::Failed | RunState::Cancelled
        )
    }

    /// Whether steps may be submitted.
    pub fn allows_submission(self) -> bool {
        self == RunState::Running
    }
}

/// A run's head, under `flow/head/RUN`, and under `flowend/RUN` once its state is final. Its
/// revision changes when the run's state does, and only then: submissions are conditional on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The submitter's name for it.
    pub name: String,
    /// The team whose quota applies to all its steps.
    pub team: String,
    /// Who submitted it, as the gateway authenticated them; only they and operators see it.
    #[serde(default)]
    pub owner: String,
    /// Time of day in microseconds.
    pub submitted_us: u64,
    /// Time of day in microseconds; 0 until it has ended.
    #[serde(default)]
    pub ended_us: u64,
    /// How many steps the plan has.
    pub steps: u32,
    /// How many pages the plan has.
    pub plan_pages: u32,
    /// A digest of the plan: a repeated submission of another plan under this id is refused.
    pub digest: u64,
    /// What happens once a step has failed.
    #[serde(default)]
    pub on_error: OnError,
    /// Where the run stands.
    pub state: RunState,
    /// Why it failed; empty if it did not.
    #[serde(default)]
    pub reason: String,
    /// Steps that were done when it ended.
    #[serde(default)]
    pub done: u32,
    /// The run from whose done steps this one goes on.
    #[serde(default)]
    pub resumes: Option<RunId>,
    /// The run under whose id the plan's pages stand, if that is another.
    #[serde(rename = "plan_of", default)]
    pub plan_source: Option<RunId>,
    /// The submitter's own labels, returned as they are.
    #[serde(default)]
    pub tags: BTreeMap<String, String>,
}

impl Head {
    /// The head of a run that is submitted now.
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

/// A node's claim of a run, under `flow/hold/RUN`, on the owner's lease. Its revision fences the owner's writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunClaim {
    /// The owner.
    pub node: String,
    /// The owner's lease: tells a process from an earlier one of its node.
    pub lease: u64,
}

/// The recorded state of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StepState {
    /// Not over, as far as the page says; the job's own record may be newer.
    #[default]
    Open,
    /// Its job succeeded, or it has none.
    Done,
    /// Its job failed, or was cancelled while the run went on.
    Failed,
    /// Its job was cancelled because its run was cancelled or failed.
    Cancelled,
    /// It never started, because a dependency failed or its run stopped.
    Skipped,
}

impl StepState {
    fn letter(self) -> u8 {
        match self {
            StepState::Open => b'.',
            StepState::Done => b'd',
            StepState::Failed => b'f',
            StepState::Cancelled => b'w',
            StepState::Skipped => b's',
        }
    }

    fn of_letter(b: u8) -> StepState {
        match b {
            b'd' => StepState::Done,
            b'f' => StepState::Failed,
            b'w' => StepState::Cancelled,
            b's' => StepState::Skipped,
            // An unknown letter is no information: the job's record decides.
            _ => StepState::Open,
        }
    }

    /// Whether the state is final.
    pub fn is_final(self) -> bool {
        self != StepState::Open
    }
}

/// Steps on one page: two thousand letters and some attempts fit into 4 KiB.
pub const STEPS_PER_PAGE: u32 = 2000;

/// A page of steps' progress, under `flowpage/RUN/PAGE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StepPage {
    /// One letter per step.
    #[serde(rename = "marks")]
    pub states: String,
    /// Attempts of steps whose first id was taken by another submitter, by step.
    #[serde(rename = "tries", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attempts: BTreeMap<u32, u8>,
}

impl StepPage {
    /// The number of the page on which a step is.
    pub fn of(step: StepNo) -> u32 {
        step.0 / STEPS_PER_PAGE
    }

    pub(crate) fn write(first: u32, steps: &[(StepState, u8)]) -> StepPage {
        let states = steps.iter().map(|(m, _)| m.letter() as char).collect();
        let attempts = (first..)
            .zip(steps)
            .filter(|(_, (_, t))| *t > 0)
            .map(|(i, (_, t))| (i, *t))
            .collect();
        StepPage { states, attempts }
    }

    /// The page of a run that goes on from the done steps of this one, under ids of its own.
    pub fn for_resumed_run(&self) -> StepPage {
        let letter = |b: u8| match StepState::of_letter(b) {
            StepState::Done => StepState::Done,
            _ => StepState::Open,
        };
        let states = self
            .states
            .bytes()
            .map(|b| letter(b).letter() as char)
            .collect();
        StepPage {
            states,
            attempts: BTreeMap::new(),
        }
    }

    /// The states and attempts on this page, whose number is `page`, in the order of steps.
    pub fn read(&self, page: u32) -> impl Iterator<Item = (StepNo, StepState, u8)> + '_ {
        let first = page * STEPS_PER_PAGE;
        (first..)
            .zip(self.states.bytes().take(STEPS_PER_PAGE as usize))
            .map(|(i, b)| {
                let attempts = self.attempts.get(&i).copied().unwrap_or(0);
                (StepNo(i), StepState::of_letter(b), attempts)
            })
    }
}
