//! Use of teams' limits.

use super::snapshot::ClusterSnapshot;
use crate::Scheduler;
use crate::resources::{Resources, Team};

impl Scheduler {
    /// Unknown teams count as limited.
    pub(super) fn has_limit(&self, team: &str) -> bool {
        self.team(team)
            .is_none_or(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0)
    }

    /// The team of this name, if the settings have it.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.cfg.teams.iter().find(|t| t.name == name)
    }

    /// The team's index in the settings.
    pub(super) fn team_index(&self, name: &str) -> Option<usize> {
        self.cfg.teams.iter().position(|t| t.name == name)
    }

    /// During reconciliation, machines that have not reported may hold tasks of any team: of its unfinished jobs,
    /// and of jobs that were cancelled under a previous leaseholder, which no record names any more. They hold no
    /// more than the machines' capacity, for agents refuse what has no room; so that is charged to every team.
    /// False if even that is not known. (Guards `quota`; scenario cancelled_before_failover_uses_quota.)
    pub(super) fn charge_unreconciled(&self, snapshot: &mut ClusterSnapshot) -> bool {
        if !self.is_reconciling() {
            return true;
        }
        let mut capacity = Resources::default();
        for m in self.machines.values().filter(|m| self.is_unreconciled(m)) {
            let Some(t) = self.machine_type(&m.machine_type) else {
                return false;
            };
            capacity = capacity + Resources::of_type(t);
        }
        for used in &mut snapshot.team_usage {
            *used = *used + capacity;
        }
        !self.registry.has_unreadable_pages()
    }
}
