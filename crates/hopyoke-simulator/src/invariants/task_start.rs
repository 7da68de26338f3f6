//! Invariants that are checked when a task starts.

use crate::{START_TIME_OF_DAY, Simulation};
use hopyoke_calendar::StaffedHours;
use hopyoke_types::{Attempt, MachineId, Micros, TaskId};
use std::collections::BTreeMap;

/// Tolerance for rounding errors in sums of resources.
const TOLERANCE: f64 = 1e-6;

/// Tasks that are present on machines, with their attempts.
type PresentTasks = [(MachineId, TaskId, Attempt)];

impl Simulation {
    /// Checks the invariants that hold when a task starts on a machine.
    pub(crate) fn check_task_start(&mut self, id: &MachineId, task: &TaskId) {
        let present = self.present_tasks();
        if let Some((other, _, _)) = present.iter().find(|(o, t, _)| t == task && o != id) {
            self.record_violation(
                "ran_twice",
                format!("{task} starts on {id} while it is on {other}"),
            );
        }
        self.check_placement(id, task, &present);
        self.check_staffed_hours(id, task);
        if let Some(t) = self.jobs[&task.job].cancelled_at {
            self.starts_after_cancellation.push(self.now - t);
            if self.now > t + self.cancellation_bound {
                self.record_violation("ran_cancelled", format!("{task} starts on {id}"));
            }
        }
        self.check_quotas(task, &present);
    }

    /// Guards the invariant `wrong_place`: a task starts only on a machine that its job's constraints allow.
    fn check_placement(&mut self, id: &MachineId, task: &TaskId, present: &PresentTasks) {
        let m = &self.machines[id];
        let (zone, machine_type, spot) = (m.zone.clone(), m.machine_type.clone(), m.spot);
        let spec = self.jobs[&task.job].spec.clone();
        let siblings = || {
            present
                .iter()
                .filter(|(_, t, _)| t.job == task.job && t != task)
        };
        let in_zone = siblings()
            .filter(|(o, _, _)| self.machines[o].zone == zone)
            .count();
        let types_ok = spec
            .machine_types
            .as_ref()
            .is_none_or(|t| t.contains(&machine_type));
        let zone_ok = spec.zone.as_ref().is_none_or(|z| *z == zone);
        let is_in_one_zone = !spec.one_zone || in_zone == siblings().count();
        let is_spread = !spec.spread || in_zone < spec.tasks.div_ceil(2) as usize;
        if !types_ok || !zone_ok || !is_in_one_zone || !is_spread || (spot && !spec.spot) {
            self.record_violation(
                "wrong_place",
                format!("{task} starts on {id} ({machine_type}, {zone}, spot {spot})"),
            );
        }
    }

    /// Guards the invariant `unstaffed`: a task that is held outside staffed hours starts only within them, by true
    /// time and without any margin.
    fn check_staffed_hours(&mut self, id: &MachineId, task: &TaskId) {
        let Some(hours) = &self.hours else {
            return;
        };
        let truth = StaffedHours {
            max_clock_skew: Micros::ZERO,
            placement_margin: Micros::ZERO,
            ..hours.clone()
        };
        let spec = &self.jobs[&task.job].spec;
        if truth.holds(spec) && !truth.window_at(START_TIME_OF_DAY + self.now).staffed {
            self.record_violation(
                "unstaffed",
                format!("{task} starts on {id} outside staffed hours"),
            );
        }
    }

    /// Guards the invariant `quota`: the present tasks and the one that starts stay within the limits of all teams.
    fn check_quotas(&mut self, task: &TaskId, present: &PresentTasks) {
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for t in present.iter().map(|p| &p.1).chain(std::iter::once(task)) {
            let spec = &self.jobs[&t.job].spec;
            let u = used.entry(spec.team.clone()).or_default();
            *u = (u.0 + spec.cpus, u.1 + spec.gpus);
        }
        for (name, (cpus, gpus)) in used {
            let team = self.team(&name);
            if (team.cpus_max > 0.0 && cpus > team.cpus_max + TOLERANCE)
                || (team.gpus_max > 0.0 && gpus > team.gpus_max + TOLERANCE)
            {
                self.record_violation(
                    "quota",
                    format!("team {name} uses {cpus} cpus and {gpus} gpus"),
                );
            }
        }
    }
}
