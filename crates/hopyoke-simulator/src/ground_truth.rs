//! What is true about a job, whatever nodes, agents and users believe.

use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_types::{JobId, Micros};
use std::rc::Rc;

/// What is true about a job.
pub struct JobGroundTruth {
    /// Its description.
    pub spec: Rc<JobSpec>,
    /// How long a task runs on a sound machine.
    pub run_time: Micros,
    /// Fails on every machine.
    pub always_fails: bool,
    /// It is a step of a workflow's run.
    pub is_workflow_step: bool,
    /// When its user first tried to submit it.
    pub first_submitted_at: Option<Micros>,
    /// When its user first observed that it is accepted.
    pub accepted_at: Option<Micros>,
    /// Its submission was rejected for good.
    pub is_rejected: bool,
    /// What is sent for it instead of its description, and must not be accepted.
    pub malformed_body: Option<Vec<u8>>,
    /// Its user has asked for its cancellation.
    pub cancel_requested: bool,
    /// Whether it is cancelled at its end has been drawn.
    pub cancel_at_end_drawn: bool,
    /// When its user first observed that it is cancelled.
    pub cancelled_at: Option<Micros>,
    /// The final state that its user observed.
    pub observed_end: Option<JobState>,
    /// When its user last got an answer.
    pub last_response_at: Micros,
    /// Its tasks, by index, that ran to their end.
    pub done: Vec<bool>,
    /// When the last of its tasks ran to its end.
    pub done_at: Option<Micros>,
    /// Starts of its tasks, repeated ones too.
    pub start_count: u32,
    /// When the first of its tasks started.
    pub first_started_at: Option<Micros>,
    /// Progress that a gang's checkpoints hold.
    pub checkpointed_progress: Micros,
}

impl JobGroundTruth {
    /// A job of one plain task that nobody has submitted yet.
    pub fn new(id: JobId) -> JobGroundTruth {
        JobGroundTruth {
            spec: Rc::new(JobSpec::with_defaults(id, "c", "crew", "img-1")),
            run_time: Micros::from_secs(10),
            always_fails: false,
            is_workflow_step: false,
            first_submitted_at: None,
            accepted_at: None,
            is_rejected: false,
            malformed_body: None,
            cancel_requested: false,
            cancel_at_end_drawn: false,
            cancelled_at: None,
            observed_end: None,
            last_response_at: Micros::ZERO,
            done: vec![false],
            done_at: None,
            start_count: 0,
            first_started_at: None,
            checkpointed_progress: Micros::ZERO,
        }
    }
}
