//! Identifiers of runs and steps, and the job ids that follow from them.

use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A run of a workflow, chosen by whoever submits it: twelve decimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(u64);

/// Runs are numbered below this.
const RUN_COUNT: u64 = 1_000_000_000_000;

impl RunId {
    /// A run's id by its number; `None` from 10¹² on.
    pub fn new(number: u64) -> Option<RunId> {
        (number < RUN_COUNT).then_some(RunId(number))
    }

    /// A run's id by any number, modulo 10¹².
    pub fn wrapping_new(number: u64) -> RunId {
        RunId(number % RUN_COUNT)
    }

    /// Reads the twelve digits that [`fmt::Display`] writes.
    pub fn parse(s: &str) -> Option<RunId> {
        let is_id = s.len() == 12 && s.bytes().all(|b| b.is_ascii_digit());
        if is_id {
            s.parse().ok().and_then(RunId::new)
        } else {
            None
        }
    }

    /// The run's number.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012}", self.0)
    }
}

/// A step's place in its run's plan, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StepNo(pub u32);

/// What the ids of all jobs of runs begin with. They have twenty digits and a leading 9, so as
/// numbers they lie above 2⁶⁴, where no counter of a user's can reach.
pub const RESERVED_JOB_ID_PREFIX: &str = "req-9";

/// A step is submitted under at most this many ids.
pub const MAX_ATTEMPTS: u8 = 100;

/// The id of a step's job: `req-9`, the run, five digits for the step and two for the attempt.
pub fn job_id(run: RunId, step: StepNo, attempt: u8) -> JobId {
    JobId::new(&format!(
        "{RESERVED_JOB_ID_PREFIX}{run}{:05}{:02}",
        step.0, attempt
    ))
}

/// What the ids of a run's jobs begin with.
pub fn job_id_prefix(run: RunId) -> String {
    format!("{RESERVED_JOB_ID_PREFIX}{run}")
}

/// Whether the id has the form of those that runs use.
pub fn is_step_job_id(job: &JobId) -> bool {
    parse_job_id(job).is_some()
}

/// The run, step and attempt of a job's id.
pub fn parse_job_id(job: &JobId) -> Option<(RunId, StepNo, u8)> {
    let digits = job.as_str().strip_prefix(RESERVED_JOB_ID_PREFIX)?;
    if digits.len() != 19 || !digits.is_ascii() {
        return None;
    }
    let run = RunId::parse(&digits[..12])?;
    Some((
        run,
        StepNo(digits[12..17].parse().ok()?),
        digits[17..].parse().ok()?,
    ))
}
