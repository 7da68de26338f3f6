//! Heartbeats of agents and commands of controllers.

use hopyoke_types::{Attempt, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// An agent's heartbeat with the status of its machine and tasks. Of two, the one with the larger
/// (`epoch`, `sequence`) is the newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name, given by the cloud.
    #[serde(rename = "vessel")]
    pub machine: MachineId,
    /// Address of the agent for pushed commands, as `host:port`.
    pub address: String,
    /// Name of the machine's instance type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "basin")]
    pub zone: String,
    /// Spot instead of on-demand.
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    /// Agent epoch: from 1, increased each time that the agent's lease expires and it drops its tasks.
    #[serde(rename = "watch")]
    pub epoch: u64,
    /// Heartbeat sequence number within the epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the agent has seen; 0 at first.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud preempts the machine, if it gave notice.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine; ended ones until they are acknowledged.
    #[serde(rename = "oars", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The status of one attempt of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task, as `JOB/INDEX`.
    #[serde(rename = "oar")]
    pub task: String,
    /// Its attempt.
    #[serde(rename = "launch")]
    pub attempt: Attempt,
    /// Where the attempt stands in its lifecycle.
    #[serde(rename = "bearing")]
    pub state: TaskState,
    /// Why it ended; only with [`TaskState::Ended`].
    #[serde(rename = "wreck", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a stopped task saved its checkpoint.
    #[serde(rename = "kept", default, skip_serializing_if = "std::ops::Not::not")]
    pub checkpoint_saved: bool,
}

/// Lifecycle of a task's attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Its image is being pulled.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Told to stop, and saving its checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Ended; see [`TaskStatus::exit_reason`].
    #[serde(rename = "ended")]
    Ended,
}

/// Why a task's attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its running gang was lost.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// Its gang did not assemble in time.
    #[serde(rename = "incomplete")]
    Incomplete,
    /// Failed, by fault of the machine or of the job.
    #[serde(rename = "error")]
    Error,
    /// Start refused: the machine's free resources do not suffice.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Start refused: no such job or task has been submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version does not know: the task is over and not done.
    #[serde(other)]
    Other,
}

/// A command to an agent. All are idempotent, but for a start after the attempt was acknowledged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Command {
    /// Start an attempt.
    #[serde(rename = "run")]
    Start {
        /// The task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// The attempt to start.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
    /// Stop an attempt, with time to save its checkpoint.
    #[serde(rename = "halt")]
    Stop {
        /// The task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// The attempt to stop.
        #[serde(rename = "launch")]
        attempt: Attempt,
        /// Grace period in seconds; it saves only if this is at least the job's `checkpoint_save_s`.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Drop an ended attempt from heartbeats. The agent does not remember it afterwards.
    #[serde(rename = "reap")]
    Acknowledge {
        /// The task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// The attempt that ended.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat. It renews the agent's lease unless its token is stale.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token; the agent drops an answer with a lower one than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Commands, executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands pushed to an agent outside of a heartbeat. They do not renew its lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct PushedCommands {
    /// The leader's fencing token; the agent refuses a lower one than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Agent epoch that the commands are meant for; the agent refuses those for another.
    #[serde(rename = "watch")]
    pub epoch: u64,
    /// Commands, executed in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Redirects an agent to the node that takes its heartbeats.
#[derive(Debug, Serialize)]
pub struct HeartbeatRedirect<'a> {
    /// Name of that node; `None`: the agent tries the next one it knows.
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub target: Option<&'a str>,
}
