//! Identifiers of runs and steps, and the job ids that are derived from them.

use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The id of a workflow run, chosen by the submitter: twelve decimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(u64);

/// The exclusive upper bound of run numbers.
const RUN_COUNT: u64 = 1_000_000_000_000;

impl RunId {
    /// Returns the id with this number, or `None` if the number is 10¹² or more.
    pub fn new(number: u64) -> Option<RunId> {
        (number < RUN_COUNT).then_some(RunId(number))
    }

    /// Returns the id whose number is `number` modulo 10¹².
    pub fn wrapping_new(number: u64) -> RunId {
        RunId(number % RUN_COUNT)
    }

    /// Parses the twelve digits that [`fmt::Display`] writes. Returns `None` for any other text.
    pub fn parse(s: &str) -> Option<RunId> {
        let is_id = s.len() == 12 && s.bytes().all(|b| b.is_ascii_digit());
        if is_id {
            s.parse().ok().and_then(RunId::new)
        } else {
            None
        }
    }

    /// Returns the run's number.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012}", self.0)
    }
}

/// The index of a step in its run's plan, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StepNo(pub u32);

/// The prefix of the job ids of all workflow steps. Their numbers have twenty digits and a leading 9, so they exceed
/// 2⁶⁴ and can't collide with ids that a client numbers with a 64-bit counter.
pub const RESERVED_JOB_ID_PREFIX: &str = "req-9";

/// The maximum number of job ids under which one step is submitted.
pub const MAX_ATTEMPTS: u8 = 100;

/// Returns the id of a step's job: `req-9`, the run, five digits of the step and two of the attempt.
pub fn job_id(run: RunId, step: StepNo, attempt: u8) -> JobId {
    JobId::new(&format!(
        "{RESERVED_JOB_ID_PREFIX}{run}{:05}{:02}",
        step.0, attempt
    ))
}

/// Returns the prefix of the ids of a run's jobs.
pub fn job_id_prefix(run: RunId) -> String {
    format!("{RESERVED_JOB_ID_PREFIX}{run}")
}

/// Returns whether the id has the form of a workflow step's job id.
pub fn is_step_job_id(job: &JobId) -> bool {
    parse_job_id(job).is_some()
}

/// Parses the run, step and attempt of a step's job id. Returns `None` if the id has another form.
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
