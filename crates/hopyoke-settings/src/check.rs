//! Ranges of the settings. All faults are found, not only the first.

use crate::{Facts, LEASE_DRIFT, Settings, Team};
use std::fmt;

/// A field that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// The field, by its path in the file.
    pub field: String,
    /// What it must be.
    pub reason: &'static str,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// Every field that is out of range.
pub(crate) fn faults(settings: &Settings) -> Vec<SettingFault> {
    let mut check = Check::default();
    let facts = &settings.facts;
    check.node(settings);
    check.positive_amounts(facts);
    check.bounds(facts);
    for (i, team) in facts.teams.iter().enumerate() {
        check.team(i, team);
    }
    check.faults
}

#[derive(Default)]
struct Check {
    faults: Vec<SettingFault>,
}

impl Check {
    fn require(&mut self, holds: bool, field: &str, reason: &'static str) {
        if !holds {
            self.faults.push(SettingFault {
                field: field.to_owned(),
                reason,
            });
        }
    }

    fn node(&mut self, s: &Settings) {
        let f = &s.facts;
        self.require(!s.node.is_empty(), "node", "must not be empty");
        self.require(!s.zone.is_empty(), "zone", "must not be empty");
        self.require(
            s.peers.iter().all(|p| p.node != s.node),
            "others",
            "must not name this node",
        );
        self.require(f.nodes >= 1, "facts.nodes", "must be at least 1");
        self.require(
            !f.zones.is_empty(),
            "facts.zones",
            "must name at least one zone",
        );
    }

    fn positive_amounts(&mut self, f: &Facts) {
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
            self.require(
                value.is_finite() && value > 0.0 && value < 1e9,
                field,
                "must be above 0",
            );
        }
    }

    fn bounds(&mut self, f: &Facts) {
        self.require(
            f.cloud.list_lag_s >= 0.0,
            "facts.cloud.list_lag_s",
            "must be at least 0",
        );
        self.require(
            f.clock_skew_ms >= 0.0,
            "facts.skew_ms",
            "must be at least 0",
        );
        self.require(
            f.state.value_kb >= 4.0,
            "facts.state.value_kb",
            "must be at least 4: a job's record needs it",
        );
        self.require(
            f.state.txn_ops >= 4,
            "facts.state.txn_ops",
            "must be at least 4",
        );
        self.require(
            f.limits.max_connections >= 32,
            "facts.machine_limits.max_connections",
            "must be at least 32",
        );
        // With this `cancellation_bound` holds: the leader's lease takes a third of what is left.
        self.require(
            f.workers.cancel_s > f.workers.lease_s * LEASE_DRIFT + 5.0,
            "facts.workers.cancel_s",
            "must exceed lease_s by over 5 s: a cancelled task may live until its worker's lease lapses",
        );
    }

    fn team(&mut self, i: usize, t: &Team) {
        self.require(
            !t.name.is_empty(),
            &format!("facts.teams[{i}].name"),
            "must not be empty",
        );
        for (field, amount) in [
            ("cpus", t.cpus),
            ("cpus_max", t.cpus_max),
            ("gpus", t.gpus),
            ("gpus_max", t.gpus_max),
        ] {
            self.require(
                amount.is_finite() && amount >= 0.0,
                &format!("facts.teams[{i}].{field}"),
                "must be at least 0",
            );
        }
    }
}
