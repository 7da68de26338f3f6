//! Staffed hours: a weekly calendar, a selector of the jobs that are held outside of it, and an operator's temporary
//! override. Performs no I/O.
//!
//! Wall clock times are microseconds since the Unix epoch. Clocks may be off by a known bound (`skew_ms` in the
//! settings): staffed hours begin that much later and end that much earlier, so that no held job is placed outside of
//! true staffed hours, whichever node's clock decides.

mod calendar;
mod hold;

pub use calendar::{Calendar, StaffingWindow};
pub use hold::HoldSelector;

use hopyoke_protocol::user::JobSpec;
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};

/// An invalid calendar setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{setting}: '{part}': {reason}")]
pub struct CalendarError {
    /// Name of the setting.
    pub setting: &'static str,
    /// Part of the value that is invalid.
    pub part: String,
    /// Reason why it is invalid.
    pub reason: &'static str,
}

/// An operator's temporary override of the calendar. Stored in the key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaffingOverride {
    /// Whether staff is on duty.
    pub staffed: bool,
    /// Wall clock time at which the override expires, in microseconds since the Unix epoch.
    #[serde(rename = "until_us")]
    pub expires_at_us: u64,
    /// Name of the operator who set it.
    #[serde(rename = "by")]
    pub operator: String,
}

/// Calendar, selector and override that together decide whether a job is held.
#[derive(Debug, Clone, PartialEq)]
pub struct StaffedHours {
    /// Regular staffed hours.
    pub calendar: Calendar,
    /// Selects the jobs that are held outside staffed hours.
    pub hold_selector: HoldSelector,
    /// Whether running tasks of held jobs are stopped when staffed hours end, with time to save a checkpoint.
    pub drain: bool,
    /// Upper bound on the error of any node's wall clock.
    pub max_clock_skew: Micros,
    /// Held jobs are no longer placed when staffed hours end within this time, as a start command may still be in
    /// flight.
    pub placement_margin: Micros,
    /// Operator's override, if one is set.
    pub staffing_override: Option<StaffingOverride>,
}

impl StaffedHours {
    /// Returns whether staff is on duty at a time of this node's wall clock, and until when that holds.
    pub fn window_at(&self, wall_time: Micros) -> StaffingWindow {
        if let Some(s) = &self.staffing_override {
            // A staffed override ends early and an unstaffed one late, so that clock errors never place a held job.
            let until = if s.staffed {
                Micros(s.expires_at_us) - self.max_clock_skew - self.placement_margin
            } else {
                Micros(s.expires_at_us) + self.max_clock_skew
            };
            if wall_time < until {
                return StaffingWindow {
                    staffed: s.staffed,
                    until: Some(until),
                };
            }
        }
        self.calendar.window_at(
            wall_time,
            self.max_clock_skew,
            self.max_clock_skew + self.placement_margin,
        )
    }

    /// Returns whether the job is held outside staffed hours.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        self.hold_selector.matches(spec)
    }

    /// Formats a wall clock time in the calendar's time zone, such as `Mon 2026-03-30 08:00`. Returns an empty string
    /// if it is out of range.
    pub fn format_local(&self, wall_time: Micros) -> String {
        self.calendar.format_local(wall_time)
    }
}
