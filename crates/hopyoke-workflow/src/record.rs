//! What is recorded of a run.

use crate::ids::{RunId, StepNo};
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What becomes of a run's other steps once one has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum OnError {
    /// Steps under way are withdrawn, nothing else starts.
    #[default]
    Stop,
    /// All that does not need the failed step goes on.
    Continue,
}

/// Where a run stands. `Done`, `Failed` and `Cancelled` are final and never change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    Running,
    /// A step failed and the others are being wound up; it will be `Failed`.
    Failing,
    /// A client was told that it is cancelled; it will be `Cancelled`.
    Cancelling,
    Done,
    Failed,
    Cancelled,
}

impl RunState {
    pub fn is_final(self) -> bool {
        matches!(
            self,
            RunState::Done | RunState::Failed | RunState::Cancelled
        )
    }

    /// Steps may be submitted.
    pub fn starts_steps(self) -> bool {
        self == RunState::Running
    }
}

/// A run's head, under `flow/head/RUN`, and under `flowend/RUN` once its state is final. Its mark
/// changes when the run's state does, and only then: submissions are conditional on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What the submitter calls it.
    pub name: String,
    /// The team whose guarantee and limit apply to all its steps.
    pub team: String,
    /// Who submitted it, as the gateway knows them; only they and operators see it.
    #[serde(default)]
    pub owner: String,
    /// Time of day in microseconds.
    pub submitted_us: u64,
    #[serde(default)]
    pub ended_us: u64,
    pub steps: u32,
    pub plan_pages: u32,
    /// A digest of the plan: a repeated submission of another plan under this id is refused.
    pub digest: u64,
    #[serde(default)]
    pub on_error: OnError,
    pub state: RunState,
    /// Why it failed.
    #[serde(default)]
    pub reason: String,
    /// Steps that were done when it ended.
    #[serde(default)]
    pub done: u32,
    /// It goes on from what this run had done.
    #[serde(default)]
    pub resumes: Option<RunId>,
    /// The run under whose id the plan's pages stand, if that is another.
    #[serde(default)]
    pub plan_of: Option<RunId>,
    /// What the submitter wants to be told again.
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
            plan_of: None,
            tags: BTreeMap::new(),
        }
    }
}

/// Who carries a run, under `flow/hold/RUN`, on the carrier's lease. Its mark is the grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    pub node: String,
    /// The carrier's lease: tells a process from an earlier one of its node.
    pub lease: u64,
}

/// What is recorded of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StepMark {
    /// Not over, as far as this page knows; the job's own record may know more.
    #[default]
    Open,
    Done,
    Failed,
    /// It was withdrawn because its run was cancelled or failed.
    Withdrawn,
    /// It never started, because a step that it needs failed or its run ended.
    Skipped,
}

impl StepMark {
    fn letter(self) -> u8 {
        match self {
            StepMark::Open => b'.',
            StepMark::Done => b'd',
            StepMark::Failed => b'f',
            StepMark::Withdrawn => b'w',
            StepMark::Skipped => b's',
        }
    }

    fn of_letter(b: u8) -> StepMark {
        match b {
            b'd' => StepMark::Done,
            b'f' => StepMark::Failed,
            b'w' => StepMark::Withdrawn,
            b's' => StepMark::Skipped,
            // An unknown letter is no knowledge: the job's record is looked at again.
            _ => StepMark::Open,
        }
    }

    pub fn is_over(self) -> bool {
        self != StepMark::Open
    }
}

/// Steps on one page: two thousand letters and some tries fit into 4 KiB.
pub const STEPS_PER_PAGE: u32 = 2000;

/// A page of steps' progress, under `flowpage/RUN/PAGE`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct StepPage {
    /// A letter a step.
    pub marks: String,
    /// Tries of steps whose first id was taken by somebody else.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub tries: BTreeMap<u32, u8>,
}

impl StepPage {
    /// The page on which a step is.
    pub fn of(step: StepNo) -> u32 {
        step.0 / STEPS_PER_PAGE
    }

    pub(crate) fn write(first: u32, steps: &[(StepMark, u8)]) -> StepPage {
        let marks = steps.iter().map(|(m, _)| m.letter() as char).collect();
        let tries = (first..)
            .zip(steps)
            .filter(|(_, (_, t))| *t > 0)
            .map(|(i, (_, t))| (i, *t))
            .collect();
        StepPage { marks, tries }
    }

    /// The page of a run that goes on from what this one had done, under ids of its own.
    pub fn done_alone(&self) -> StepPage {
        let letter = |b: u8| match StepMark::of_letter(b) {
            StepMark::Done => StepMark::Done,
            _ => StepMark::Open,
        };
        let marks = self
            .marks
            .bytes()
            .map(|b| letter(b).letter() as char)
            .collect();
        StepPage {
            marks,
            tries: BTreeMap::new(),
        }
    }

    /// The marks and tries that the page records, from its first step on.
    pub fn read(&self, page: u32) -> impl Iterator<Item = (StepNo, StepMark, u8)> + '_ {
        let first = page * STEPS_PER_PAGE;
        (first..)
            .zip(self.marks.bytes().take(STEPS_PER_PAGE as usize))
            .map(|(i, b)| {
                let tries = self.tries.get(&i).copied().unwrap_or(0);
                (StepNo(i), StepMark::of_letter(b), tries)
            })
    }
}
