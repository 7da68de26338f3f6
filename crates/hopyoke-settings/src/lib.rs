//! The platform's settings file: read, checked, and every fault reported with field and reason.
//!
//! Rust names follow the field's terms; the names in the file stand here as serde renames.
//! Durations end in `_s` (seconds) or `_ms` (milliseconds).

mod check;

pub use check::InvalidField;

use hopyoke_types::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// All settings of one node.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub node: String,
    /// This node's zone.
    pub zone: String,
    /// Where users, agents and health checks are served.
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Where peers and operators are served.
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: SocketAddr,
    /// The other nodes.
    #[serde(rename = "others", default)]
    pub peers: Vec<Peer>,
    /// Services that this node calls.
    pub endpoints: Endpoints,
    /// What holds for the whole platform.
    #[serde(rename = "facts")]
    pub platform: PlatformSettings,
}

/// Another node.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves peers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Services that a node calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud provider's API.
    pub cloud: SocketAddr,
    /// The key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// What holds for the whole platform.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Number of nodes, at least 1.
    pub nodes: u32,
    /// All zones, at least one.
    pub zones: Vec<String>,
    /// Bound on the error of nodes' wall clocks, in milliseconds.
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timings of agents.
    #[serde(rename = "workers")]
    pub agents: AgentTimings,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// What a node may take of its machine.
    #[serde(rename = "machine_limits")]
    pub limits: MachineLimits,
}

/// A team's quota: what it is guaranteed, and the most that it may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs guaranteed.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Most CPUs.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// GPUs guaranteed.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Most GPUs.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured.
    pub kind: String,
    /// Class of jobs that it is about; `None`: all.
    #[serde(default)]
    pub class: Option<String>,
    /// Bound in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of cases that must keep the bound, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timings of agents and their tasks, all above 0.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct AgentTimings {
    /// Heartbeat interval, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// An agent kills its tasks when its last answered heartbeat is older than this, in seconds.
    pub lease_s: f64,
    /// How long a gang's task waits for the others, in seconds.
    pub gang_wait_s: f64,
    /// How soon a gang's tasks notice that one of them is lost, in seconds.
    #[serde(rename = "gang_peer_s")]
    pub gang_loss_detection_s: f64,
    /// Within this time of a confirmed cancellation all tasks of the job must be gone, in seconds.
    #[serde(rename = "cancel_s")]
    pub cancellation_bound_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct StoreLimits {
    /// Requests per second, over all nodes.
    #[serde(rename = "rps")]
    pub max_requests_per_s: f64,
    /// Mutations per second, over all nodes.
    #[serde(rename = "write_rps")]
    pub max_writes_per_s: f64,
    /// Largest value, in KiB; at least 4.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Most mutations of one transaction; at least 4.
    #[serde(rename = "txn_ops")]
    pub max_txn_mutations: u32,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, over all nodes.
    #[serde(rename = "rps")]
    pub max_requests_per_s: f64,
    /// How far the list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// What a node may take of its machine.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct MachineLimits {
    /// CPU cores.
    #[serde(rename = "cores")]
    pub cpu_cores: f64,
    /// Memory, in MiB.
    #[serde(rename = "mem_mb")]
    pub memory_mib: f64,
    /// Open connections; at least 32.
    pub max_connections: usize,
}

/// Longest wait of the leader's watch of jobs' records: its response covers what was confirmed before it was sent.
pub const JOB_WATCH_WAIT: Micros = Micros::from_secs(2);

/// Upper bound on how much longer a lease lasts by another machine's clock.
pub(crate) const LEASE_DRIFT: f64 = 1.002;

/// How long a task of a cancelled job can live, as a sum of terms; docs/DESIGN.md has the argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationBound {
    /// The last response to the leader's watch is no older than this when the next request is sent.
    pub watch_wait: Micros,
    /// Without a response a leader acts for this long; lease support (2 s) lasts no longer than both terms.
    pub leader_lease: Micros,
    /// Tasks that the leader's last response kept alive run until their agent's lease expires.
    pub agent_lease: Micros,
    /// A response in flight.
    pub margin: Micros,
}

impl CancellationBound {
    /// The sum of all terms.
    pub fn total(&self) -> Micros {
        self.watch_wait + self.leader_lease + self.agent_lease + self.margin
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {error}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The file is no TOML, or lacks a field or has one of the wrong type.
    #[error("{path}: {error}")]
    Parse {
        /// The file.
        path: String,
        /// Where and why.
        error: Box<toml::de::Error>,
    },
    /// Fields are out of range; displayed one a line.
    #[error("{}", invalid_fields.iter().map(|f| format!("{path}: {f}")).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// The file.
        path: String,
        /// Every field at fault, in the order of checking.
        invalid_fields: Vec<InvalidField>,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or [`Settings::parse`] refuses it.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: name.clone(),
            error,
        })?;
        Settings::parse(&name, &text)
    }

    /// Reads and checks settings; `name` stands for the file in errors.
    ///
    /// # Errors
    /// The text is no TOML of this form, or fields are out of range.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: name.to_owned(),
            error: Box::new(error),
        })?;
        let invalid_fields = check::invalid_fields(&settings);
        if invalid_fields.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid {
                path: name.to_owned(),
                invalid_fields,
            })
        }
    }

    /// From a cancellation's confirmation until the job's last task is gone: the terms of the bound.
    pub fn cancellation_bound(&self) -> CancellationBound {
        CancellationBound {
            watch_wait: JOB_WATCH_WAIT,
            leader_lease: self.leader_lease_ttl(),
            agent_lease: Micros::from_secs_f64(self.platform.agents.lease_s).with_drift(),
            margin: Micros::from_millis(500),
        }
    }

    /// Time to live of a leader's lease in the key-value store. Its latest expiry plus an agent's
    /// lease must fit in `cancel_s`: a leader that no longer receives cancellations keeps agents
    /// alive for at most that long.
    pub fn leader_lease_ttl(&self) -> Micros {
        let w = &self.platform.agents;
        let slack_s =
            w.cancellation_bound_s - w.lease_s * LEASE_DRIFT - JOB_WATCH_WAIT.as_secs_f64();
        Micros::from_secs_f64((slack_s / 3.0).clamp(1.0, 6.0))
    }
}
