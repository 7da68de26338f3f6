//! Verification of the engine's incremental counters.

use super::Engine;
use crate::run::{Phase, Run};

impl Engine {
    /// Recomputes the engine's counters from its runs and returns a description of each mismatch. Intended for tests.
    pub fn audit(&self) -> Vec<String> {
        let mut mismatches = Vec::new();
        let owned = || self.runs.values().filter(|r| r.is_owned());
        let runs = owned().count();
        if runs != self.owned_runs {
            mismatches.push(format!(
                "{runs} owned runs, but the counter is {}",
                self.owned_runs
            ));
        }
        let steps: usize = owned().map(|r| r.head.steps as usize).sum();
        if steps != self.owned_steps {
            mismatches.push(format!(
                "{steps} owned steps, but the counter is {}",
                self.owned_steps
            ));
        }
        for (name, team) in &self.teams {
            let is_executing = |r: &&Run| r.phase == Phase::Executing && r.head.team == *name;
            let in_flight: usize = self
                .runs
                .values()
                .filter(is_executing)
                .filter_map(|r| r.table.as_ref())
                .map(|t| t.in_flight.len())
                .sum();
            if in_flight != team.in_flight {
                let counted = team.in_flight;
                mismatches.push(format!(
                    "team {name} has {in_flight} steps in flight, but its counter is {counted}"
                ));
            }
        }
        mismatches
    }
}
