//! Ground truth of jobs, against which the state of nodes, agents and users is checked.

use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_types::{JobId, Micros};
use std::rc::Rc;

/// True state of a job, independent of what nodes, agents and its user have observed.
pub struct JobGroundTruth {
    /// Job description.
    pub spec: Rc<JobSpec>,
    /// Run time of a task on a healthy machine.
    pub run_time: Micros,
    /// Whether its tasks fail on every machine.
    pub always_fails: bool,
    /// Whether the job is a step of a workflow run.
    pub is_workflow_step: bool,
    /// When the user first tried to submit the job.
    pub first_submitted_at: Option<Micros>,
    /// When the user first observed that the job is accepted.
    pub accepted_at: Option<Micros>,
    /// Whether the submission was rejected permanently.
    pub is_rejected: bool,
    /// Malformed body that is submitted instead of the description and must not be accepted.
    pub malformed_body: Option<Vec<u8>>,
    /// Whether the user has requested cancellation.
    pub cancel_requested: bool,
    /// Whether the draw for a cancellation at the job's end has been made.
    pub cancel_at_end_drawn: bool,
    /// When the user first observed that the job is cancelled.
    pub cancelled_at: Option<Micros>,
    /// Final state that the user has observed.
    pub observed_end: Option<JobState>,
    /// When the user last received a response.
    pub last_response_at: Micros,
    /// Whether each task, by index, has run to its end.
    pub done: Vec<bool>,
    /// When the last task ran to its end.
    pub done_at: Option<Micros>,
    /// Number of task starts, including repeated ones.
    pub start_count: u32,
    /// When the first task started.
    pub first_started_at: Option<Micros>,
    /// Progress that its checkpoints hold.
    pub checkpointed_progress: Micros,
}

impl JobGroundTruth {
    /// Creates a job of a single task that has not been submitted yet.
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
