//! What workers and controllers tell each other.

use hopyoke_types::{Attempt, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
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
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    #[serde(rename = "recall_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "oars", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
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
    PeersGone,
    #[serde(rename = "incomplete")]
    Incomplete,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    NoSuch,
    /// A reason that this version does not know: the task is over and not done.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Order {
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
    Forget {
        #[serde(rename = "oar")]
        task: String,
        #[serde(rename = "launch")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Debug, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "helm")]
    pub token: FencingToken,
    pub orders: Vec<Order>,
}

/// Orders sent straight to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "helm")]
    pub token: FencingToken,
    #[serde(rename = "watch")]
    pub session: u64,
    pub orders: Vec<Order>,
}

/// Sends a worker to the node that serves it.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    #[serde(rename = "harbormaster", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
