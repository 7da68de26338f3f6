//! Messages of the GA4GH Workflow Execution Service 1.1, as in the published schema.

use hopyoke::peers::client::proto::RunInfo;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Path prefix of all endpoints.
pub const BASE_PATH: &str = "/ga4gh/wes/v1";

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    Unknown,
    Queued,
    Initializing,
    Running,
    Paused,
    Complete,
    ExecutorError,
    SystemError,
    Canceled,
    Canceling,
    Preempted,
}

impl State {
    /// Reports whether the state is terminal.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            State::Complete | State::ExecutorError | State::SystemError | State::Canceled
        )
    }

    /// Maps the state that the controllers report. A running run counts as queued until a step is in flight or
    /// completed, unless it has no steps.
    pub fn from_info(info: &RunInfo) -> State {
        let started = info.done > 0 || info.in_flight > 0 || info.steps == 0;
        match info.state.as_str() {
            "running" if !started => State::Queued,
            "running" | "failing" => State::Running,
            "cancelling" => State::Canceling,
            "done" => State::Complete,
            "failed" => State::ExecutorError,
            "cancelled" => State::Canceled,
            _ => State::Unknown,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    pub msg: String,
    pub status_code: u16,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RunIdResponse {
    pub run_id: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RunStatus {
    pub run_id: String,
    pub state: State,
    /// Step counts. The published schema permits additional fields.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Progress>,
}

/// Number of steps of a run in total, completed and in flight.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Progress {
    pub steps: u32,
    pub done: u32,
    pub in_flight: u32,
}

impl Progress {
    pub fn from_info(info: &RunInfo) -> Progress {
        Progress {
            steps: info.steps,
            done: info.done,
            in_flight: info.in_flight,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RunSummary {
    pub run_id: String,
    pub state: State,
    pub start_time: Option<String>,
    pub end_time: Option<String>,
    pub tags: BTreeMap<String, String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RunList {
    pub runs: Vec<RunSummary>,
    pub next_page_token: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RunLog {
    pub run_id: String,
    pub request: RunRequest,
    pub state: State,
    pub run_log: Log,
    pub task_logs_url: String,
    pub outputs: Value,
}

/// The original submission. Parameters and attachments are not stored.
#[derive(Debug, Serialize, Deserialize, Default)]
pub struct RunRequest {
    pub workflow_params: Map<String, Value>,
    pub workflow_type: String,
    pub workflow_type_version: String,
    pub workflow_url: String,
    pub tags: BTreeMap<String, String>,
}

#[derive(Debug, Serialize, Deserialize, Default)]
pub struct Log {
    pub name: String,
    pub cmd: Vec<String>,
    pub start_time: Option<String>,
    pub end_time: Option<String>,
    pub stdout: Option<String>,
    pub stderr: Option<String>,
    pub exit_code: Option<i32>,
    /// Reason why a run failed. The published schema permits additional fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub system_logs: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct TaskLog {
    pub id: String,
    pub name: String,
    pub cmd: Vec<String>,
    pub start_time: Option<String>,
    pub end_time: Option<String>,
    pub system_logs: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct TaskList {
    pub task_logs: Vec<TaskLog>,
    pub next_page_token: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ServiceInfo {
    pub id: String,
    pub name: String,
    #[serde(rename = "type")]
    pub kind: ServiceType,
    pub description: String,
    pub organization: Organization,
    pub version: String,
    pub workflow_type_versions: BTreeMap<String, TypeVersions>,
    pub supported_wes_versions: Vec<String>,
    pub supported_filesystem_protocols: Vec<String>,
    pub workflow_engine_versions: BTreeMap<String, TypeVersions>,
    pub default_workflow_engine_parameters: Vec<Value>,
    pub system_state_counts: BTreeMap<String, u64>,
    pub auth_instructions_url: String,
    pub tags: BTreeMap<String, String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ServiceType {
    pub group: String,
    pub artifact: String,
    pub version: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Organization {
    pub name: String,
    pub url: String,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct TypeVersions {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workflow_type_version: Vec<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workflow_engine_version: Vec<String>,
}

/// Formats a timestamp in microseconds since the Unix epoch as RFC 3339. Returns `None` for 0, which means
/// not set, and for values out of range.
pub fn format_timestamp(us: u64) -> Option<String> {
    let timestamp = jiff::Timestamp::from_microsecond(i64::try_from(us).ok()?).ok()?;
    (us > 0).then(|| timestamp.to_string())
}
