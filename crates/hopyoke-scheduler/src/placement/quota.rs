//! Team quotas: limit checks and usage.

use super::snapshot::ClusterSnapshot;
use crate::Scheduler;
use crate::resources::{Resources, Team};

impl Scheduler {
    /// Returns whether the team has a limit. An unknown team counts as limited.
    pub(super) fn has_limit(&self, team: &str) -> bool {
        self.team(team)
            .is_none_or(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    /// Returns the configured team of this name, or `None` if there is none.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.cfg.teams.iter().find(|t| t.name == name)
    }

    /// Returns the team's index in the settings, or `None` if it is not configured.
    pub(super) fn team_index(&self, name: &str) -> Option<usize> {
        self.cfg.teams.iter().position(|t| t.name == name)
    }

    /// Charges the capacity of unreconciled machines to every team during reconciliation.
    ///
    /// Machines that have not reported yet may run tasks of any team. These may belong to
    /// unfinished jobs, or to jobs that were cancelled under a previous leader and are no longer in
    /// any record. Agents reject tasks that don't fit, so the machines' capacity is an upper bound.
    /// Returns false if even this bound is unknown. Guards the invariant `quota`. (Scenario
    /// `cancelled_before_failover_uses_quota`.)
    pub(super) fn charge_unreconciled(&self, snapshot: &mut ClusterSnapshot) -> bool {
        if !self.is_reconciling() {
            return true;
        }
        let mut capacity = Resources::default();
        for m in self.machines.values().filter(|m| self.is_unreconciled(m)) {
            let Some(t) = self.machine_type(&m.machine_type) else {
                return false;
            };
            capacity = capacity + Resources::of_machine_type(t);
        }
        for used in &mut snapshot.team_usage {
            *used = *used + capacity;
        }
        !self.registry.has_unreadable_pages()
    }
}
