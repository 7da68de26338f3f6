//! Validation of settings. Finds all invalid fields, not only the first.

use crate::{LEASE_DRIFT, PlatformSettings, Settings, Team};
use std::fmt;

/// Field that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// Path of the field in the file.
    pub field: String,
    /// Requirement that the field does not meet.
    pub reason: &'static str,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Returns all fields that are out of range.
pub(crate) fn invalid_fields(settings: &Settings) -> Vec<InvalidField> {
    let mut validator = Validator::default();
    let platform = &settings.platform;
    validator.node_settings(settings);
    validator.positive_values(platform);
    validator.limits(platform);
    for (i, team) in platform.teams.iter().enumerate() {
        validator.team(i, team);
    }
    validator.invalid_fields
}

#[derive(Default)]
struct Validator {
    invalid_fields: Vec<InvalidField>,
}

impl Validator {
    fn require(&mut self, valid: bool, field: &str, reason: &'static str) {
        if !valid {
            self.invalid_fields.push(InvalidField {
                field: field.to_owned(),
                reason,
            });
        }
    }

    fn node_settings(&mut self, settings: &Settings) {
        let platform = &settings.platform;
        self.require(!settings.node.is_empty(), "node", "must not be empty");
        self.require(!settings.zone.is_empty(), "zone", "must not be empty");
        self.require(
            settings.peers.iter().all(|p| p.node != settings.node),
            "others",
            "must not name this node",
        );
        self.require(platform.nodes >= 1, "facts.nodes", "must be at least 1");
        self.require(
            !platform.zones.is_empty(),
            "facts.zones",
            "must name at least one zone",
        );
    }

    fn positive_values(&mut self, platform: &PlatformSettings) {
        for (field, value) in [
            (
                "facts.workers.report_s",
                platform.agents.heartbeat_interval_s,
            ),
            ("facts.workers.lease_s", platform.agents.lease_s),
            ("facts.workers.gang_wait_s", platform.agents.gang_wait_s),
            (
                "facts.workers.gang_peer_s",
                platform.agents.gang_loss_detection_s,
            ),
            (
                "facts.workers.cancel_s",
                platform.agents.cancellation_bound_s,
            ),
            ("facts.state.rps", platform.store.max_requests_per_s),
            ("facts.state.write_rps", platform.store.max_writes_per_s),
            ("facts.cloud.rps", platform.cloud.max_requests_per_s),
            ("facts.machine_limits.cores", platform.limits.cpu_cores),
            ("facts.machine_limits.mem_mb", platform.limits.memory_mib),
        ] {
            self.require(
                value.is_finite() && value > 0.0 && value < 1e9,
                field,
                "must be above 0 and below 1e9",
            );
        }
    }

    fn limits(&mut self, platform: &PlatformSettings) {
        self.require(
            platform.cloud.list_lag_s >= 0.0,
            "facts.cloud.list_lag_s",
            "must be at least 0",
        );
        self.require(
            platform.clock_skew_ms >= 0.0,
            "facts.skew_ms",
            "must be at least 0",
        );
        self.require(
            platform.store.max_value_kib >= 4.0,
            "facts.state.value_kb",
            "must be at least 4, to hold a job record",
        );
        self.require(
            platform.store.max_txn_mutations >= 4,
            "facts.state.txn_ops",
            "must be at least 4",
        );
        self.require(
            platform.limits.max_connections >= 32,
            "facts.machine_limits.max_connections",
            "must be at least 32",
        );
        // Ensures that the terms of `cancellation_bound` fit in `cancel_s`: the leader's lease is a third of what the
        // agent's lease and the watch leave of it.
        self.require(
            platform.agents.cancellation_bound_s > platform.agents.lease_s * LEASE_DRIFT + 5.0,
            "facts.workers.cancel_s",
            "must exceed lease_s by over 5 s: cancelled tasks may run until their agent's lease expires",
        );
    }

    fn team(&mut self, index: usize, team: &Team) {
        self.require(
            !team.name.is_empty(),
            &format!("facts.teams[{index}].name"),
            "must not be empty",
        );
        for (field, amount) in [
            ("cpus", team.guaranteed_cpus),
            ("cpus_max", team.max_cpus),
            ("gpus", team.guaranteed_gpus),
            ("gpus_max", team.max_gpus),
        ] {
            self.require(
                amount.is_finite() && amount >= 0.0,
                &format!("facts.teams[{index}].{field}"),
                "must be at least 0",
            );
        }
    }
}
