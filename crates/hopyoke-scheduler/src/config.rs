//! Configuration of the scheduler, from the platform's settings.

use crate::resources::Team;
use crate::task_ranges::RANGE_CHARS;
use hopyoke_settings::Settings;
use hopyoke_types::Micros;

/// Largest size of a batch of several writes, in bytes of JSON, well below the store's limit of 64 KiB on transactions.
pub(crate) const MAX_BATCH_BYTES: usize = 40 * 1024;
/// Least number of a job's unfinished tasks that are considered for placement.
pub(crate) const MIN_WINDOW: u32 = 16;
/// Size up to which a job's record without its completed tasks counts as ordinary, in bytes.
const ORDINARY_RECORD_BYTES: usize = 3584;

/// Configuration of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    /// Zone names. Zones are identified by their index in this list.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Time between two heartbeats of an agent.
    pub heartbeat_interval: Micros,
    /// Duration of an agent's lease, counted from when it sent the heartbeat that was answered.
    pub lease: Micros,
    /// Time for which a gang's task waits for the others to start.
    pub gang_start_timeout: Micros,
    /// Time for which a gang's task keeps running without its peers.
    pub gang_peer_timeout: Micros,
    /// Maximum staleness of the cloud's instance list.
    pub max_list_lag: Micros,
    /// Maximum size of a value in the key-value store, in bytes of JSON. At most that of a batch, so that a transaction
    /// has room for any value.
    pub max_value_bytes: usize,
    /// Maximum number of operations in a transaction of the key-value store.
    pub max_txn_ops: usize,
    /// Maximum write rate of the key-value store, in changes per second over all nodes.
    pub max_writes_per_s: f64,
    /// Maximum delay after which a stale leaseholder's response can still reach an agent.
    pub response_margin: Micros,
}

impl SchedulerConfig {
    /// Extracts the scheduler's configuration from the settings.
    pub fn from_settings(settings: &Settings) -> SchedulerConfig {
        let platform = &settings.platform;
        SchedulerConfig {
            zones: platform.zones.clone(),
            teams: platform
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
            heartbeat_interval: Micros::from_secs_f64(platform.agents.heartbeat_interval_s),
            lease: Micros::from_secs_f64(platform.agents.lease_s),
            gang_start_timeout: Micros::from_secs_f64(platform.agents.gang_wait_s),
            gang_peer_timeout: Micros::from_secs_f64(platform.agents.gang_loss_detection_s),
            max_list_lag: Micros::from_secs_f64(platform.cloud.list_lag_s),
            max_value_bytes: ((platform.store.max_value_kib * 1024.0) as usize)
                .min(MAX_BATCH_BYTES),
            max_txn_ops: platform.store.max_txn_mutations as usize,
            max_writes_per_s: platform.store.max_writes_per_s,
            response_margin: Micros::from_millis(500),
        }
    }

    /// Returns the index of a zone. All unknown zones share the index after the last.
    pub(crate) fn zone_index(&self, name: &str) -> usize {
        self.zones
            .iter()
            .position(|z| z == name)
            .unwrap_or(self.zones.len())
    }

    /// Returns the time after the last response to an agent by which its lease has expired, clock drift
    /// included.
    pub fn lease_bound(&self) -> Micros {
        self.lease.with_drift() + self.response_margin
    }

    /// Returns the maximum length of a record's set of completed tasks that placement aims at, in characters. `available`
    /// is what the job's record leaves for it.
    fn max_done_chars(&self, available: usize) -> usize {
        self.max_value_bytes
            .saturating_sub(ORDINARY_RECORD_BYTES)
            .min(available)
    }

    /// Returns how many of a job's unfinished tasks, lowest numbers first, are always considered for placement.
    /// As a list of ranges, the completed tasks among them fit the record.
    pub fn placement_window(&self, available: usize) -> u32 {
        (self.max_done_chars(available) / RANGE_CHARS).max(MIN_WINDOW as usize) as u32
    }

    /// Returns how far beyond the first unfinished task other tasks are considered for placement. Within this
    /// span, the completed tasks fit the record as a bitmap. Tasks that complete beyond the span were in the
    /// window, so their ranges are few (scenarios fragmented_record and huge_array).
    pub fn placement_span(&self, available: usize) -> u32 {
        (self.max_done_chars(available).saturating_sub(64) * 6) as u32
    }
}
