//! The users' API: job submissions and the status of jobs.

mod submission;

pub use submission::{MAX_TASKS, SubmissionError};

use hopyoke_types::JobId;
use serde::{Deserialize, Serialize};

/// How a job's tasks belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Job array: independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Gang: all tasks run at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    /// Service: replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Ordered from the most to the least important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Production work.
    #[serde(rename = "prod")]
    Production,
    /// Above normal.
    #[serde(rename = "high")]
    High,
    /// The default.
    #[serde(rename = "standard")]
    Normal,
    /// Best effort.
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as its user describes it. [`JobSpec::parse`] gives the ranges of its fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user; it makes submissions idempotent.
    pub id: JobId,
    /// Class of similar jobs, by which objectives are set and run times learned; 1 to 200 bytes.
    #[serde(rename = "berth")]
    pub class: String,
    /// Team whose quota counts; 1 to 200 bytes.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "hull")]
    pub kind: JobKind,
    /// Priority, for queue order and preemption.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`]; they are numbered from 0.
    #[serde(rename = "oars")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of each task, in gigabytes.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Image that a machine must hold before a task can start; 1 to 200 bytes.
    #[serde(rename = "cargo")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Instance types allowed, at most 64; `None`: any.
    #[serde(rename = "rigs", default)]
    pub machine_types: Option<Vec<String>>,
    /// The one zone allowed; `None`: any.
    #[serde(rename = "basin", default)]
    pub zone: Option<String>,
    /// Affinity: all tasks run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Anti-affinity: no zone holds more than half of the tasks, rounded up.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "driftboats")]
    pub spot: bool,
    /// Owner's estimate of a task's run time without the image's pull, in seconds; 0 for services.
    #[serde(rename = "voyage_s")]
    pub estimate_s: f64,
    /// Progress between checkpoints, in seconds; 0: the tasks never save.
    #[serde(rename = "logbook_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a stopped task needs to save its checkpoint, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_s: f64,
    /// Time from submission until the job should be done, in seconds; `None`: no deadline.
    #[serde(rename = "ashore_s", default)]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// An array of one task that takes one CPU and 1 GB, runs anywhere but on spot machines, and has
    /// nothing special about it.
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

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task runs.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. Terminal.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user. Terminal.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a query or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatusResponse<'a> {
    /// The job.
    pub id: &'a str,
    /// Its state.
    #[serde(rename = "bearing")]
    pub state: JobState,
    /// Tasks that are done; for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run; for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
