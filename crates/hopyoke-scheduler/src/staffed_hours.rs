//! Enforcement of staffed hours: held jobs are not placed outside them.
//!
//! When staffed hours end, tasks of held jobs that have not started yet are stopped. Running ones continue,
//! unless the policy demands that they be drained.

use crate::Scheduler;
use crate::ledger::{AllocationState, Job};
use hopyoke_calendar::{StaffedHours, StaffingOverride, StaffingWindow};
use hopyoke_protocol::user::JobSpec;
use hopyoke_protocol::worker::TaskState;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use tracing::info;

/// State of staffed hours.
#[derive(Default)]
pub(crate) struct Staffing {
    hours: Option<StaffedHours>,
    /// A reading of the monotonic clock, and the wall clock at the same time. Updated often, because the two
    /// drift apart.
    clock: (Micros, Micros),
    /// The current window, with the wall clock time of its lookup. `None` if it must be looked up.
    window: Option<(Micros, StaffingWindow)>,
}

/// An attempt to be stopped.
struct PendingStop {
    machine: MachineId,
    task: TaskId,
    attempt: Attempt,
    /// Grace period for writing a checkpoint, in seconds.
    grace_s: f64,
}

impl Scheduler {
    /// Sets the staffed hours. With `None`, no job is ever held.
    pub fn set_staffed_hours(&mut self, hours: Option<StaffedHours>) {
        self.staffing.hours = hours;
        self.staffing.window = None;
        self.placement_schedule.request();
    }

    /// Sets or, with `None`, removes an operator's override of the calendar.
    pub fn set_staffing_override(&mut self, staffing_override: Option<StaffingOverride>) {
        if let Some(h) = &mut self.staffing.hours
            && h.staffing_override != staffing_override
        {
            h.staffing_override = staffing_override;
            self.staffing.window = None;
            self.placement_schedule.request();
        }
    }

    /// Records the wall clock time at `now`. It may be off by the settings' `skew_ms`.
    pub fn set_wall_clock(&mut self, now: Micros, wall_clock: Micros) {
        self.staffing.clock = (now, wall_clock);
    }

    /// Returns the time since a wall clock time in microseconds, as accurate as the nodes' clocks.
    pub(crate) fn elapsed_since(&self, time_us: u64, now: Micros) -> Micros {
        let (at, wall_clock) = self.staffing.clock;
        wall_clock + (now - at) - Micros(time_us)
    }

    /// Detects the start and the end of staffed hours. The calendar is consulted only when the current window has
    /// ended.
    pub(crate) fn apply_staffed_hours(&mut self, now: Micros) {
        let staffing = &mut self.staffing;
        let Some(hours) = &staffing.hours else { return };
        let wall_clock = staffing.clock.1 + (now - staffing.clock.0);
        let is_current = staffing.window.as_ref().is_some_and(|(since, w)| {
            wall_clock >= *since && w.until.is_none_or(|until| wall_clock < until)
        });
        if is_current {
            return;
        }
        let window = hours.window_at(wall_clock);
        let previous = staffing.window.replace((wall_clock, window));
        if previous.is_none_or(|(_, w)| w.staffed != window.staffed) {
            let until = window
                .until
                .map_or_else(|| "further notice".to_owned(), |u| hours.format_local(u));
            info!(staffed = window.staffed, until, "staffed hours changed");
            self.placement_schedule.request();
            if !window.staffed {
                self.stop_held();
            }
        }
    }

    /// Returns true outside staffed hours.
    pub fn is_unstaffed(&self) -> bool {
        self.staffing.hours.is_some() && self.staffing.window.is_some_and(|(_, w)| !w.staffed)
    }

    /// Returns true if the job must not be placed now because of staffed hours.
    pub fn is_held(&self, spec: &JobSpec) -> bool {
        self.is_unstaffed() && self.staffing.hours.as_ref().is_some_and(|h| h.holds(spec))
    }

    /// Returns until when held jobs wait, as local time of the calendar's time zone. Returns `None` within
    /// staffed hours.
    pub fn held_until(&self) -> Option<String> {
        let (_, window) = self.staffing.window.filter(|_| self.is_unstaffed())?;
        let hours = self.staffing.hours.as_ref()?;
        Some(
            window
                .until
                .map_or_else(|| "further notice".to_owned(), |u| hours.format_local(u)),
        )
    }

    /// Stops attempts of held jobs at the end of staffed hours, so that none starts after it.
    fn stop_held(&mut self) {
        let drain = self.staffing.hours.as_ref().is_some_and(|h| h.drain);
        let stops: Vec<PendingStop> = self
            .jobs
            .iter()
            .filter(|(_, j)| self.is_held(&j.spec))
            .flat_map(|(id, job)| self.pending_stops(id, job, drain))
            .collect();
        if !stops.is_empty() {
            info!(
                tasks = stops.len(),
                drain, "stopping tasks of held jobs at the end of staffed hours"
            );
        }
        for s in stops {
            let TaskId { job, index } = s.task;
            self.stop_allocation(&s.machine, &job, index, s.attempt, s.grace_s);
        }
    }

    /// Returns the attempts of a held job that must be stopped.
    fn pending_stops(&self, id: &JobId, job: &Job, drain: bool) -> Vec<PendingStop> {
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
                // A gang that has started continues as a whole.
                let has_started = job.gang_started || state.is_some_and(has_started_running);
                // All tasks of a gang are stopped together, with a grace period to write a checkpoint.
                let grace_s = match (has_started, drain) {
                    (false, _) => 0.0,
                    (true, true) => job.spec.checkpoint_save_s + 1.0,
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

    /// Stops a reported attempt of a held job that has not started yet. Such attempts are first reported outside
    /// staffed hours when a failover coincides with their end.
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
            && !has_started_running(state)
            && !j.gang_started
            && self.is_held(&j.spec)
        {
            self.stop_allocation(id, job, index, attempt, 0.0);
        }
    }
}

fn has_started_running(state: AllocationState) -> bool {
    matches!(
        state,
        AllocationState::Live(TaskState::Running | TaskState::Saving) | AllocationState::Ended(_)
    )
}
