//! The platform's settings file: read, checked, and every fault reported with field and reason.

use hopyoke_types::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: SocketAddr,
    #[serde(rename = "others", default)]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub facts: Facts,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub node: String,
    pub zone: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    pub nodes: u32,
    pub zones: Vec<String>,
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "machine_limits")]
    pub limits: Limits,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Limits {
    #[serde(rename = "cores")]
    pub cpu_share: f64,
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    pub max_connections: usize,
}

/// Longest wait of the leader's watch of jobs' records: its answer covers what was confirmed before it was sent.
pub const NEWS_WAIT: Micros = Micros::from_secs(2);

/// How long a task of a cancelled job can live, as a sum of terms; docs/DESIGN.md has the argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationBound {
    /// The leader's latest news is no older than this when it asks anew.
    pub news: Micros,
    /// Without news a leader acts for this long, and a promise (2 s) lasts no longer than both terms.
    pub leader: Micros,
    /// What was answered last lives on its worker's lease.
    pub worker: Micros,
    /// An answer under way.
    pub margin: Micros,
}

impl CancellationBound {
    pub fn total(&self) -> Micros {
        self.news + self.leader + self.worker + self.margin
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: cannot be read: {error}")]
    Read { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Form {
        path: String,
        error: Box<toml::de::Error>,
    },
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Read {
            path: name.clone(),
            error,
        })?;
        Settings::parse(&name, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Form {
            path: name.to_owned(),
            error: Box::new(error),
        })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Faults(
                faults.into_iter().map(|f| format!("{name}: {f}")).collect(),
            ))
        }
    }

    /// From a cancellation's confirmation until the job's last task is gone: the terms of the bound.
    pub fn cancellation_bound(&self) -> CancellationBound {
        CancellationBound {
            news: NEWS_WAIT,
            leader: self.leader_ttl(),
            worker: Micros::from_secs_f64(self.facts.workers.lease_s).with_drift(),
            margin: Micros::from_millis(500),
        }
    }

    /// How long a leader's lease in the state service lasts. Worst case of its end plus a
    /// worker's lease must fit in `cancel_s`: a leader that stops hearing of cancellations keeps
    /// workers alive for at most that long.
    pub fn leader_ttl(&self) -> Micros {
        let w = &self.facts.workers;
        let room = w.cancel_s - w.lease_s * 1.002 - NEWS_WAIT.as_secs_f64();
        Micros::from_secs_f64((room / 3.0).clamp(1.0, 6.0))
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut need = |ok: bool, field: &str, reason: &str| {
            if !ok {
                faults.push(format!("{field}: {reason}"));
            }
        };
        let f = &self.facts;
        need(!self.node.is_empty(), "node", "must not be empty");
        need(!self.zone.is_empty(), "zone", "must not be empty");
        need(
            self.peers.iter().all(|p| p.node != self.node),
            "others",
            "must not name this node",
        );
        need(f.nodes >= 1, "facts.nodes", "must be at least 1");
        need(
            !f.zones.is_empty(),
            "facts.zones",
            "must name at least one zone",
        );
        for (field, value) in [
            ("facts.workers.report_s", f.workers.report_s),
            ("facts.workers.lease_s", f.workers.lease_s),
            ("facts.workers.gang_wait_s", f.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", f.workers.gang_peer_s),
            ("facts.workers.cancel_s", f.workers.cancel_s),
            ("facts.state.rps", f.state.rps),
            ("facts.state.write_rps", f.state.write_rps),
            ("facts.cloud.rps", f.cloud.rps),
            ("facts.machine_limits.cores", f.limits.cpu_share),
            ("facts.machine_limits.mem_mb", f.limits.memory_mb),
        ] {
            need(
                value.is_finite() && value > 0.0 && value < 1e9,
                field,
                "must be above 0",
            );
        }
        need(
            f.cloud.list_lag_s >= 0.0,
            "facts.cloud.list_lag_s",
            "must be at least 0",
        );
        need(
            f.clock_skew_ms >= 0.0,
            "facts.skew_ms",
            "must be at least 0",
        );
        need(
            f.state.value_kb >= 4.0,
            "facts.state.value_kb",
            "must be at least 4: a job's record needs it",
        );
        need(
            f.state.txn_ops >= 4,
            "facts.state.txn_ops",
            "must be at least 4",
        );
        need(
            f.limits.max_connections >= 32,
            "facts.machine_limits.max_connections",
            "must be at least 32",
        );
        // With this `cancellation_bound` holds: the leader's lease takes a third of what is left.
        need(
            f.workers.cancel_s > f.workers.lease_s * 1.002 + 5.0,
            "facts.workers.cancel_s",
            "must exceed lease_s by over 5 s: a cancelled task may live until its worker's lease lapses",
        );
        for (i, t) in f.teams.iter().enumerate() {
            need(
                !t.name.is_empty(),
                &format!("facts.teams[{i}].name"),
                "must not be empty",
            );
            for (field, v) in [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ] {
                need(
                    v.is_finite() && v >= 0.0,
                    &format!("facts.teams[{i}].{field}"),
                    "must be at least 0",
                );
            }
        }
        faults
    }
}
