//! A check of the engine's counters.

use super::Engine;
use crate::run::{Phase, Run};

impl Engine {
    /// Compares the incrementally kept counters with the runs they count, and says which differ; for tests.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let owned = || self.runs.values().filter(|r| r.is_owned());
        let runs = owned().count();
        if runs != self.owned_runs {
            faults.push(format!("{runs} runs are owned, not {}", self.owned_runs));
        }
        let steps: usize = owned().map(|r| r.head.steps as usize).sum();
        if steps != self.owned_steps {
            faults.push(format!("{steps} steps are owned, not {}", self.owned_steps));
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
                faults.push(format!(
                    "team {name} has {in_flight} steps in flight, not {counted}"
                ));
            }
        }
        faults
    }
}
