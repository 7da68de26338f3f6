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
    pub gang_wait: Micros,
    /// How long a task of a gang runs on without its peers.
    pub gang_peer: Micros,
    /// How far the cloud's list may lag behind.
    pub list_lag: Micros,
    /// The largest value that the state service takes.
    pub value_bytes: usize,
    /// Operations in one transaction at the most.
    pub txn_ops: usize,
    /// Changes per second that the state service takes of all nodes.
    pub write_rps: f64,
    /// Upper bound of the time in which a stale leaseholder's response can still reach an agent.
    pub margin: Micros,
}

impl SchedulerConfig {
    /// The part of the settings that the scheduler uses.
    pub fn of(s: &Settings) -> SchedulerConfig {
        let f = &s.platform;
        SchedulerConfig {
            zones: f.zones.clone(),
            teams: f
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: t.guaranteed_cpus,
                    cpus_max: t.max_cpus,
                    gpus: t.guaranteed_gpus,
                    gpus_max: t.max_gpus,
                })
                .collect(),
            heartbeat_interval: Micros::from_secs_f64(f.agents.heartbeat_interval_s),
            lease: Micros::from_secs_f64(f.agents.lease_s),
            gang_wait: Micros::from_secs_f64(f.agents.gang_wait_s),
            gang_peer: Micros::from_secs_f64(f.agents.gang_loss_detection_s),
            list_lag: Micros::from_secs_f64(f.cloud.list_lag_s),
            value_bytes: (f.store.max_value_kib * 1024.0) as usize,
            txn_ops: f.store.max_txn_mutations as usize,
            write_rps: f.store.max_writes_per_s,
            margin: Micros::from_millis(500),
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
        self.lease.with_drift() + self.margin
    }

    /// What a record's done tasks may take, in characters.
    fn done_chars(&self) -> usize {
        self.value_bytes.saturating_sub(3584)
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
