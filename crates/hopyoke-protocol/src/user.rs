//! Messages of the user API: job submissions and job status.

mod submission;

pub use submission::{MAX_TASKS, SubmissionError};

use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};

/// How the tasks of a job are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Job array: independent tasks that each run to completion.
    #[serde(rename = "array")]
    Array,
    /// Gang: all tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// Service: replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job, ordered from highest to lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production.
    #[serde(rename = "prod")]
    Production,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// Normal.
    #[serde(rename = "standard")]
    Normal,
    /// Best effort, below normal.
    #[serde(rename = "best_effort")]
    Low,
}

/// Specification of a job, as submitted by its user. [`JobSpec::check`] validates the ranges of the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique ID, chosen by the user. It is the idempotency key of the submission.
    pub id: JobId,
    /// Class of similar jobs, for which objectives are set and run times learned; 1 to 200 bytes.
    #[serde(rename = "berth")]
    pub class: String,
    /// Team whose quota the job counts against; 1 to 200 bytes.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job: array, gang or service.
    #[serde(rename = "hull")]
    pub kind: JobKind,
    /// Priority, which determines queue order and preemption.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`]. Their indices start at 0.
    #[serde(rename = "oars")]
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory per task, in gigabytes.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Image that must be on the machine before a task can start; 1 to 200 bytes.
    #[serde(rename = "cargo")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Instance types that are allowed, at most 64. `None` allows all. In a stored description digests may stand for long
    /// names (package `hopyoke-stored-form`).
    #[serde(rename = "rigs", default)]
    pub machine_types: Option<Vec<String>>,
    /// Zone in which all tasks must run, at most 200 bytes. `None` allows all zones.
    #[serde(rename = "basin", default)]
    pub zone: Option<String>,
    /// Zone affinity: all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Zone anti-affinity: no zone may hold more than half of the tasks, rounded up.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "driftboats")]
    pub spot: bool,
    /// User's estimate of a task's run time, without the image pull, in seconds; 0 for services.
    #[serde(rename = "voyage_s")]
    pub estimate_s: f64,
    /// Checkpoint interval, in seconds; 0 if the tasks save no checkpoints.
    #[serde(rename = "logbook_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a stopping task needs to save a checkpoint, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_s: f64,
    /// Deadline, in seconds after submission. `None` if there is no deadline.
    #[serde(rename = "ashore_s", default)]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns a job array of one task with 1 CPU and 1 GB of memory, normal priority, no deadline, no checkpoints and
    /// no placement constraints except that spot machines are not allowed.
    pub fn with_defaults(id: JobId, class: &str, team: &str, image: &str) -> JobSpec {
        JobSpec {
            id,
            class: class.to_owned(),
            team: team.to_owned(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: image.to_owned(),
            image_gb: 1.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 10.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: None,
        }
    }
}

/// State of a job as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted, and no task is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Terminal.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user. Terminal.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to a submission, query or cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatusResponse<'a> {
    /// ID of the job.
    pub id: &'a str,
    /// State of the job.
    #[serde(rename = "bearing")]
    pub state: JobState,
    /// Number of tasks that are done. Informational.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of running tasks. Informational.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
