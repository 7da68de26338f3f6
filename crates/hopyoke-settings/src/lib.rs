//! Settings file of the platform: loading and validation. All invalid fields are reported together, each with a reason.
//!
//! Names in the file that differ from the names in the code are declared here as serde renames. Names of durations end
//! in `_s` (seconds) or `_ms` (milliseconds).

mod check;

pub use check::InvalidField;

use hopyoke_types::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of one node.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    pub node: String,
    /// Zone of this node.
    pub zone: String,
    /// Address that serves users, agents and health checks.
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Address that serves peers and operators.
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: SocketAddr,
    /// Other nodes.
    #[serde(rename = "others", default)]
    pub peers: Vec<Peer>,
    /// Endpoints of the services that this node calls.
    pub endpoints: Endpoints,
    /// Settings that are the same on all nodes.
    #[serde(rename = "facts")]
    pub platform: PlatformSettings,
}

/// Another node of the platform.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which it serves peers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Endpoints of the services that a node calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud provider's API.
    pub cloud: SocketAddr,
    /// The key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings that are the same on all nodes.
#[derive(Debug, Clone, Deserialize)]
pub struct PlatformSettings {
    /// Number of nodes, at least 1.
    pub nodes: u32,
    /// Names of all zones, at least one.
    pub zones: Vec<String>,
    /// Upper bound on the error of any node's wall clock, in milliseconds.
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
    /// Teams with their quotas.
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
    /// Limits of the cloud provider's API.
    pub cloud: CloudLimits,
    /// Resource limits of a node on its machine.
    #[serde(rename = "machine_limits")]
    pub limits: MachineLimits,
}

/// Quota of a team: what it is guaranteed and what it may use at most.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Number of CPUs guaranteed.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs; 0 for no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Number of GPUs guaranteed.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Maximum number of GPUs; 0 for no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// Service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of measurement.
    pub kind: String,
    /// Job class to which it applies. `None` applies to all.
    #[serde(default)]
    pub class: Option<String>,
    /// Bound of the measured time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Fraction of cases that must be within the bound, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Timings of agents and their tasks. All must be positive.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct AgentTimings {
    /// Heartbeat interval, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease of an agent: it kills its tasks when its last acknowledged heartbeat is older than this, in seconds.
    pub lease_s: f64,
    /// Time that a task of a gang waits for the others to be ready, in seconds.
    pub gang_wait_s: f64,
    /// Time in which the tasks of a gang detect the loss of one of them, in seconds.
    #[serde(rename = "gang_peer_s")]
    pub gang_loss_detection_s: f64,
    /// Time after an acknowledged cancellation in which all tasks of the job must have ended, in seconds.
    #[serde(rename = "cancel_s")]
    pub cancellation_bound_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct StoreLimits {
    /// Maximum requests per second of all nodes together.
    #[serde(rename = "rps")]
    pub max_requests_per_s: f64,
    /// Maximum mutations per second of all nodes together.
    #[serde(rename = "write_rps")]
    pub max_writes_per_s: f64,
    /// Maximum size of a value, in KiB; at least 4.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Maximum number of mutations in a transaction; at least 4.
    #[serde(rename = "txn_ops")]
    pub max_txn_mutations: u32,
}

/// Limits of the cloud provider's API.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second of all nodes together.
    #[serde(rename = "rps")]
    pub max_requests_per_s: f64,
    /// Maximum staleness of the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of a node on its machine.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct MachineLimits {
    /// CPU cores, may be fractional.
    #[serde(rename = "cores")]
    pub cpu_cores: f64,
    /// Memory, in MiB.
    #[serde(rename = "mem_mb")]
    pub memory_mib: f64,
    /// Maximum number of open connections; at least 32.
    pub max_connections: usize,
}

/// Timeout of the leader's watch of job records. A response covers all changes that were committed before the store
/// sent it.
pub const JOB_WATCH_TIMEOUT: Micros = Micros::from_secs(2);

/// Upper bound on the factor by which a lease lasts longer by another machine's clock.
pub(crate) const LEASE_DRIFT: f64 = 1.002;

/// Upper bound on how long a task of a cancelled job can run, as a sum of terms. See docs/DESIGN.md for the derivation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationBound {
    /// Maximum age of the last response to the leader's watch when the next request is sent.
    pub watch_timeout: Micros,
    /// Time that a leader keeps acting without a response. The lease support of peers (2 s) never outlasts this term
    /// and the one before together.
    pub leader_lease: Micros,
    /// Time until the lease of an agent expires, during which tasks run on after the leader's last heartbeat response.
    pub agent_lease: Micros,
    /// Allowance for a response in flight.
    pub margin: Micros,
}

impl CancellationBound {
    /// Returns the sum of all terms.
    pub fn total(&self) -> Micros {
        self.watch_timeout + self.leader_lease + self.agent_lease + self.margin
    }
}

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {error}")]
    Read {
        /// Name of the file.
        path: String,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// The file is not valid TOML, lacks a field or has a field of the wrong type.
    #[error("{path}: {error}")]
    Parse {
        /// Name of the file.
        path: String,
        /// Position and cause.
        error: Box<toml::de::Error>,
    },
    /// Fields are out of range. Displayed one per line.
    #[error("{}", invalid_fields.iter().map(|f| format!("{path}: {f}")).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// Name of the file.
        path: String,
        /// All invalid fields, in the order of validation.
        invalid_fields: Vec<InvalidField>,
    },
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or [`Settings::parse`] rejects it.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: name.clone(),
            error,
        })?;
        Settings::parse(&name, &text)
    }

    /// Parses and validates settings. `name` is the name of the file in errors.
    ///
    /// # Errors
    /// Fails if the text is not valid TOML, lacks a field, or has fields of the wrong type or out of range.
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

    /// Returns the bound on the time from the acknowledgment of a cancellation to the end of the job's last task.
    pub fn cancellation_bound(&self) -> CancellationBound {
        CancellationBound {
            watch_timeout: JOB_WATCH_TIMEOUT,
            leader_lease: self.leader_lease_ttl(),
            agent_lease: Micros::from_secs_f64(self.platform.agents.lease_s).with_drift(),
            margin: Micros::from_millis(500),
        }
    }

    /// Returns the time to live of the leader's lease in the key-value store. A leader that no longer receives
    /// cancellations renews agents' leases until its own lease expires, so that its latest expiry plus an agent's lease
    /// must fit in `cancel_s`.
    pub fn leader_lease_ttl(&self) -> Micros {
        let agents = &self.platform.agents;
        let slack_s = agents.cancellation_bound_s
            - agents.lease_s * LEASE_DRIFT
            - JOB_WATCH_TIMEOUT.as_secs_f64();
        Micros::from_secs_f64((slack_s / 3.0).clamp(1.0, 6.0))
    }
}
