//! Set-up that several tests share.

#![allow(dead_code, reason = "no test uses all helpers")]

use hopyoke_scheduler::{SchedulerConfig, TaskRanges, Team};
use hopyoke_types::Micros;

/// Returns the configuration of a cluster with one zone, `a`, and one team, `crew`.
pub(crate) fn config() -> SchedulerConfig {
    SchedulerConfig {
        zones: vec!["a".into()],
        teams: vec![Team {
            name: "crew".into(),
            ..Team::default()
        }],
        heartbeat_interval: Micros::from_secs(2),
        lease: Micros::from_secs(14),
        gang_start_timeout: Micros::from_secs(50),
        gang_peer_timeout: Micros::from_secs(6),
        max_list_lag: Micros::from_secs(4),
        max_value_bytes: 8192,
        max_txn_ops: 16,
        max_writes_per_s: 25.0,
        response_margin: Micros::from_millis(500),
    }
}

/// Returns a set of task numbers.
pub(crate) fn set_of(numbers: impl IntoIterator<Item = u32>) -> TaskRanges {
    let mut set = TaskRanges::default();
    for x in numbers {
        set.insert(x);
    }
    set
}
