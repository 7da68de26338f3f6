//! Messages between agents and controllers: heartbeats and commands.

use hopyoke_types::{Attempt, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// Heartbeat of an agent, with the status of its machine and tasks. Heartbeats of a machine are ordered by
/// (`epoch`, `sequence`).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine, assigned by the cloud provider.
    #[serde(rename = "vessel")]
    pub machine: MachineId,
    /// Address at which the agent accepts pushed commands, as `host:port`.
    pub address: String,
    /// Name of the instance type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "basin")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    /// Agent epoch: starts at 1 and increases each time that the agent's lease expires and it drops its tasks.
    #[serde(rename = "watch")]
    pub epoch: u64,
    /// Sequence number of the heartbeat within the epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the agent has seen; 0 if it has seen none.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud provider preempts the machine. `None` if it has given no notice.
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All task attempts on the machine. Ended ones are included until they are acknowledged.
    #[serde(rename = "oars", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Status of one attempt of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task, as `JOB/INDEX`.
    #[serde(rename = "oar")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "launch")]
    pub attempt: Attempt,
    /// Lifecycle state of the attempt.
    #[serde(rename = "bearing")]
    pub state: TaskState,
    /// Why the attempt ended. Set only with [`TaskState::Ended`].
    #[serde(rename = "wreck", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt saved a checkpoint when it was stopped.
    #[serde(rename = "kept", default, skip_serializing_if = "std::ops::Not::not")]
    pub checkpoint_saved: bool,
}

/// Lifecycle state of an attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Pulling its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Waiting for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Stopping, and saving its checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// Ended for the [`TaskStatus::exit_reason`].
    #[serde(rename = "ended")]
    Ended,
}

/// Why an attempt of a task ended.
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
    /// Not all tasks of its gang were ready in time.
    #[serde(rename = "incomplete")]
    Incomplete,
    /// Failed, because of the machine or of the job.
    #[serde(rename = "error")]
    Error,
    /// Start refused: the machine has insufficient free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Start refused: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Start refused: the job or task has never been submitted.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Any reason that this version does not recognize. The attempt has ended without completing.
    #[serde(other)]
    Other,
}

/// Command to an agent. All commands are idempotent, except that a start that is repeated after its attempt was
/// acknowledged runs the attempt again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Command {
    /// Starts an attempt.
    #[serde(rename = "run")]
    Start {
        /// Task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// Attempt to start.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
    /// Stops an attempt, with a grace period in which it may save a checkpoint.
    #[serde(rename = "halt")]
    Stop {
        /// Task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// Attempt to stop.
        #[serde(rename = "launch")]
        attempt: Attempt,
        /// Grace period, in seconds. A checkpoint is saved only if this is at least the job's `checkpoint_save_s`.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Acknowledges the end of an attempt. The agent drops it from its heartbeats and retains no state of it.
    #[serde(rename = "reap")]
    Acknowledge {
        /// Task, as `JOB/INDEX`.
        #[serde(rename = "oar")]
        task: String,
        /// Attempt that ended.
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

/// Response to a heartbeat. Renews the agent's lease unless its token is stale.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader. The agent ignores a response with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands pushed to an agent outside of heartbeat responses. They do not renew its lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct PushedCommands {
    /// Fencing token of the leader. The agent rejects commands with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Agent epoch that the commands are for. The agent rejects commands for any other epoch.
    #[serde(rename = "watch")]
    pub epoch: u64,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Redirect of an agent to the node that handles its heartbeats.
#[derive(Debug, Serialize)]
pub struct HeartbeatRedirect<'a> {
    /// Name of that node. If `None`, the agent tries the next node in its list.
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub target: Option<&'a str>,
}
