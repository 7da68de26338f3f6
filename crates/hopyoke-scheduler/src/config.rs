//! What the scheduler takes from the platform's settings.

use crate::resources::Team;
use crate::task_ranges::RANGE_CHARS;
use hopyoke_settings::Settings;
use hopyoke_types::Micros;

/// The settings that the scheduler uses.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Zone names; machines and tables refer to zones by their index here.
    pub zones: Vec<String>,
    /// Teams with their shares and limits.
    pub teams: Vec<Team>,
    /// The time between two heartbeats of an agent.
    pub heartbeat_interval: Micros,
    /// An agent's lease, counted from the heartbeat that was answered.
    pub lease: Micros,
    /// How long a task of a gang waits for the others to start.
    pub gang_start_timeout: Micros,
    /// How long a task of a gang runs on without its peers.
    pub gang_peer_timeout: Micros,
    /// How far the cloud's list may lag behind.
    pub max_list_lag: Micros,
    /// The largest value that the state service takes.
    pub max_value_bytes: usize,
    /// Operations in one transaction at the most.
    pub max_txn_ops: usize,
    /// Changes per second that the state service takes of all nodes.
    pub max_writes_per_s: f64,
    /// Upper bound of the time in which a stale leaseholder's response can still reach an agent.
    pub response_margin: Micros,
}

impl SchedulerConfig {
    /// The part of the settings that the scheduler uses.
    pub fn from_settings(s: &Settings) -> SchedulerConfig {
        let f = &s.facts;
        SchedulerConfig {
            zones: f.zones.clone(),
            teams: f
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: t.cpus,
                    cpus_max: t.cpus_max,
                    gpus: t.gpus,
                    gpus_max: t.gpus_max,
                })
                .collect(),
            heartbeat_interval: Micros::from_secs_f64(f.workers.report_s),
            lease: Micros::from_secs_f64(f.workers.lease_s),
            gang_start_timeout: Micros::from_secs_f64(f.workers.gang_wait_s),
            gang_peer_timeout: Micros::from_secs_f64(f.workers.gang_peer_s),
            max_list_lag: Micros::from_secs_f64(f.cloud.list_lag_s),
            max_value_bytes: (f.state.value_kb * 1024.0) as usize,
            max_txn_ops: f.state.txn_ops as usize,
            max_writes_per_s: f.state.write_rps,
            response_margin: Micros::from_millis(500),
        }
    }

    /// A zone's index; unknown zones share the one after the last.
    pub(crate) fn zone_index(&self, name: &str) -> usize {
        self.zones
            .iter()
            .position(|z| z == name)
            .unwrap_or(self.zones.len())
    }

    /// An agent's lease is over this long after we last answered it, drift of clocks included.
    pub fn lease_bound(&self) -> Micros {
        self.lease.with_drift() + self.response_margin
    }

    /// What a record's done tasks may take, in characters.
    fn done_chars(&self) -> usize {
        self.max_value_bytes.saturating_sub(3584)
    }

    /// This many of a job's unfinished tasks, lowest numbers first, are always considered: what is done among
    /// them never falls into more ranges than fit.
    pub fn window(&self) -> u32 {
        (self.done_chars() / RANGE_CHARS).max(16) as u32
    }

    /// Others are considered up to this far behind the first unfinished one: within this span a bit for
    /// each task fits. Whatever is done beyond it was in the window, and then ranges are few. So a record
    /// always fits its value. (Scenarios fragmented_record, huge_array.)
    pub fn span(&self) -> u32 {
        (self.done_chars().saturating_sub(64) * 6) as u32
    }
}
