//! What workers and controllers tell each other.

use hopyoke_types::{Attempt, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "vessel")]
    pub machine: MachineId,
    pub address: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "basin")]
    pub zone: String,
    #[serde(rename = "driftboats", default)]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub epoch: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    #[serde(rename = "recall_s", default)]
    pub preemption_notice_s: Option<f64>,
    #[serde(rename = "oars", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "oar")]
    pub task: String,
    #[serde(rename = "launch")]
    pub attempt: Attempt,
    #[serde(rename = "bearing")]
    pub state: TaskState,
    #[serde(rename = "wreck", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    #[serde(rename = "kept", default, skip_serializing_if = "std::ops::Not::not")]
    pub saved: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    #[serde(rename = "incomplete")]
    Incomplete,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    InsufficientResources,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version does not know: the task is over and not done.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Command {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "oar")]
        task: String,
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "oar")]
        task: String,
        #[serde(rename = "launch")]
        attempt: Attempt,
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Acknowledge {
        #[serde(rename = "oar")]
        task: String,
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "helm")]
    pub token: FencingToken,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Orders sent straight to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct PushedCommands {
    #[serde(rename = "helm")]
    pub token: FencingToken,
    #[serde(rename = "watch")]
    pub epoch: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Sends a worker to the node that serves it.
#[derive(Debug, Serialize)]
pub struct HeartbeatRedirect<'a> {
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
