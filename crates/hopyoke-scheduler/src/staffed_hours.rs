//! Staffed hours: work that is held is not placed outside them.
//!
//! What was commanded shortly before and has not begun when they end is stopped; what runs goes on,
//! unless the operators' settings say drain.

use crate::Scheduler;
use crate::ledger::{AllocationState, Job};
use hopyoke_calendar::{StaffedHours, StaffingOverride, Window};
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use tracing::info;

/// What the scheduler knows of staffed hours.
#[derive(Default)]
pub(crate) struct Staffing {
    hours: Option<StaffedHours>,
    /// A moment of the steady clock and the time of day then; noted often, for clocks drift apart.
    clock: (Micros, Micros),
    /// When the window was looked up, by time of day, and the window.
    window: Option<(Micros, Window)>,
}

/// An attempt that is to be stopped.
struct PendingStop {
    machine: MachineId,
    task: TaskId,
    attempt: Attempt,
    /// Seconds in which it may save its progress.
    grace_s: f64,
}

impl Scheduler {
    /// The operators' hours; `None`: nothing is ever held.
    pub fn set_staffed_hours(&mut self, hours: Option<StaffedHours>) {
        self.staffing.hours = hours;
        self.staffing.window = None;
        self.placement_schedule.request();
    }

    /// An operator's override of the hours; `None`: it was withdrawn.
    pub fn set_staffing_override(&mut self, switch: Option<StaffingOverride>) {
        if let Some(h) = &mut self.staffing.hours
            && h.staffing_override != switch
        {
            h.staffing_override = switch;
            self.staffing.window = None;
            self.placement_schedule.request();
        }
    }

    /// The time of day, which may be off by the settings' `skew_ms`.
    pub fn set_wall_clock(&mut self, now: Micros, time_of_day: Micros) {
        self.staffing.clock = (now, time_of_day);
    }

    /// How long ago a time of day was, in microseconds; as exact as the nodes' clocks.
    pub(crate) fn elapsed_since(&self, time_us: u64, now: Micros) -> Micros {
        let (at, time_of_day) = self.staffing.clock;
        time_of_day + (now - at) - Micros(time_us)
    }

    /// Looks whether staffed hours have begun or ended; the calendar itself only when a window is over.
    pub(crate) fn apply_staffed_hours(&mut self, now: Micros) {
        let s = &mut self.staffing;
        let Some(hours) = &s.hours else { return };
        let time_of_day = s.clock.1 + (now - s.clock.0);
        let valid = s.window.as_ref().is_some_and(|(since, w)| {
            time_of_day >= *since && w.until.is_none_or(|until| time_of_day < until)
        });
        if valid {
            return;
        }
        let window = hours.at(time_of_day);
        let was = s.window.replace((time_of_day, window));
        if was.is_none_or(|(_, w)| w.staffed != window.staffed) {
            let until = window
                .until
                .map_or_else(|| "further notice".to_owned(), |u| hours.local(u));
            info!(staffed = window.staffed, until, "hours");
            self.placement_schedule.request();
            if !window.staffed {
                self.stop_held();
            }
        }
    }

    /// It is outside staffed hours.
    pub fn is_unstaffed(&self) -> bool {
        self.staffing.hours.is_some() && self.staffing.window.is_some_and(|(_, w)| !w.staffed)
    }

    /// This job is not to be placed now.
    pub fn is_held(&self, spec: &JobSpec) -> bool {
        self.is_unstaffed() && self.staffing.hours.as_ref().is_some_and(|h| h.holds(spec))
    }

    /// Until when held work waits, as the calendar's zone writes it.
    pub fn held_until(&self) -> Option<String> {
        let (_, window) = self.staffing.window.filter(|_| self.is_unstaffed())?;
        let hours = self.staffing.hours.as_ref()?;
        Some(
            window
                .until
                .map_or_else(|| "further notice".to_owned(), |u| hours.local(u)),
        )
    }

    /// Staffed hours have ended. (Guards against held work that begins after them.)
    fn stop_held(&mut self) {
        let drain = self.staffing.hours.as_ref().is_some_and(|h| h.drain);
        let stops: Vec<PendingStop> = self
            .jobs
            .iter()
            .filter(|(_, j)| self.is_held(&j.spec))
            .flat_map(|(id, job)| self.stops_of_held(id, job, drain))
            .collect();
        if !stops.is_empty() {
            info!(
                tasks = stops.len(),
                drain, "staffed hours end: held tasks are stopped"
            );
        }
        for s in stops {
            let TaskId { job, index } = s.task;
            self.stop_allocation(&s.machine, &job, index, s.attempt, s.grace_s);
        }
    }

    /// The attempts of a held job that are to be stopped.
    fn stops_of_held(&self, id: &JobId, job: &Job, drain: bool) -> Vec<PendingStop> {
        let mut stops = Vec::new();
        for (&index, attempts) in &job.attempts {
            for (machine, attempt) in attempts {
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let key = (task, *attempt);
                let state = self
                    .machines
                    .get(machine)
                    .and_then(|m| m.allocations().get(&key))
                    .map(|s| s.state);
                // A gang that has begun goes on as a whole.
                let begun = job.gang_started || state.is_some_and(has_begun);
                // All tasks of a gang are stopped at once and may save.
                let grace_s = match (begun, drain) {
                    (false, _) => 0.0,
                    (true, true) => job.spec.save_s + 1.0,
                    (true, false) => continue,
                };
                stops.push(PendingStop {
                    machine: machine.clone(),
                    task: key.0,
                    attempt: *attempt,
                    grace_s,
                });
            }
        }
        stops
    }

    /// An attempt was reported that has not begun, outside staffed hours: it is stopped as well, as
    /// after a failover at the boundary.
    pub(crate) fn stop_if_held(
        &mut self,
        id: &MachineId,
        job: &JobId,
        index: u32,
        attempt: Attempt,
        state: AllocationState,
    ) {
        if let Some(j) = self.jobs.get(job)
            && matches!(state, AllocationState::Live(_))
            && !has_begun(state)
            && !j.gang_started
            && self.is_held(&j.spec)
        {
            self.stop_allocation(id, job, index, attempt, 0.0);
        }
    }
}

fn has_begun(state: AllocationState) -> bool {
    matches!(
        state,
        AllocationState::Live(TaskState::Running | TaskState::Saving) | AllocationState::Ended(_)
    )
}
