//! Cluster configuration, and the settings files of its controllers.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Zones of the cluster; controllers are assigned round robin.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Interval between heartbeats of an agent, in seconds.
pub(crate) const HEARTBEAT_S: f64 = 0.5;
/// Time in seconds for which an agent keeps its tasks without an acknowledged heartbeat.
pub(crate) const LEASE_S: f64 = 6.0;

/// Configuration of an emulated cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Controller executable.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
    /// Number of controllers.
    pub controllers: usize,
    /// Maximum number of machines in the cloud.
    pub max_machines: usize,
    /// Teams whose jobs are accepted.
    pub teams: Vec<TeamQuota>,
    /// Content of the operator settings file.
    pub policy: String,
    /// Boot time of a machine, in seconds.
    pub boot_s: f64,
    /// Factor between a job's estimate and the run time of its tasks.
    pub run_time_factor: f64,
    /// Write rate limit for the key-value store, per second.
    pub max_writes_per_s: f64,
    /// Request rate limit for the key-value store, per second.
    pub max_requests_per_s: f64,
    /// `LOG_LEVEL` of the controllers.
    pub log_level: String,
}

/// GPU quota of a team, whose CPUs are not limited.
#[derive(Debug, Clone)]
pub struct TeamQuota {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of GPUs.
    pub guaranteed_gpus: f64,
    /// Maximum number of GPUs in use at once.
    pub max_gpus: f64,
}

impl TeamQuota {
    fn new(name: &str, guaranteed_gpus: f64, max_gpus: f64) -> TeamQuota {
        TeamQuota {
            name: name.to_owned(),
            guaranteed_gpus,
            max_gpus,
        }
    }
}

impl ClusterConfig {
    /// Returns a configuration with three controllers, eight machines and two teams.
    pub fn new(program: &Path, dir: &Path) -> ClusterConfig {
        ClusterConfig {
            program: program.to_owned(),
            dir: dir.to_owned(),
            controllers: 3,
            max_machines: 8,
            teams: vec![
                TeamQuota::new("crew", 16.0, 64.0),
                TeamQuota::new("other", 8.0, 64.0),
            ],
            policy: String::new(),
            boot_s: 0.5,
            run_time_factor: 1.0,
            max_writes_per_s: 200.0,
            max_requests_per_s: 1000.0,
            log_level: "info".into(),
        }
    }
}

/// Listen addresses of the components of a cluster.
pub(crate) struct Endpoints {
    pub(crate) store: SocketAddr,
    pub(crate) cloud: SocketAddr,
    /// User and agent APIs, by controller.
    pub(crate) api: Vec<SocketAddr>,
    /// Addresses for peer controllers, by controller.
    pub(crate) mesh: Vec<SocketAddr>,
}

/// Returns a controller's node name.
pub(crate) fn node_name(controller: usize) -> String {
    format!("node-{controller}")
}

fn zone(controller: usize) -> &'static str {
    ZONES[controller % ZONES.len()]
}

/// Renders a controller's settings file.
pub(crate) fn render(
    config: &ClusterConfig,
    endpoints: &Endpoints,
    controller: usize,
) -> Result<String, fmt::Error> {
    let mut out = String::new();
    let (i, n) = (controller, config.controllers);
    writeln!(out, "node = \"{}\"\nzone = \"{}\"", node_name(i), zone(i))?;
    let (api, mesh) = (endpoints.api[i], endpoints.mesh[i]);
    writeln!(out, "serve_on = \"{api}\"\nmesh_addr = \"{mesh}\"")?;
    for j in (0..n).filter(|j| *j != i) {
        let (node, zone) = (node_name(j), zone(j));
        writeln!(out, "[[others]]\nnode = \"{node}\"\nzone = \"{zone}\"")?;
        writeln!(out, "endpoint = \"{}\"", endpoints.mesh[j])?;
    }
    let (cloud, store) = (endpoints.cloud, endpoints.store);
    writeln!(out, "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{store}\"")?;
    let zones = "[\"a\", \"b\", \"c\"]";
    writeln!(out, "[facts]\nnodes = {n}\nzones = {zones}\nskew_ms = 50.0")?;
    for team in &config.teams {
        writeln!(out, "[[facts.teams]]\nname = \"{}\"", team.name)?;
        writeln!(out, "gpus = {:?}", team.guaranteed_gpus)?;
        writeln!(out, "gpus_max = {:?}", team.max_gpus)?;
        writeln!(out, "cpus = 0.0\ncpus_max = 0.0")?;
    }
    writeln!(out, "[facts.workers]\nreport_s = {HEARTBEAT_S:?}")?;
    writeln!(out, "lease_s = {LEASE_S:?}\ngang_wait_s = 20.0")?;
    writeln!(out, "gang_peer_s = 3.0\ncancel_s = 20.0")?;
    writeln!(out, "[facts.state]\nrps = {:?}", config.max_requests_per_s)?;
    writeln!(out, "write_rps = {:?}", config.max_writes_per_s)?;
    writeln!(out, "value_kb = 8.0\ntxn_ops = 16")?;
    writeln!(out, "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0")?;
    writeln!(out, "[facts.machine_limits]\ncores = 1.0\nmem_mb = 500.0")?;
    writeln!(out, "max_connections = 1000")?;
    Ok(out)
}
