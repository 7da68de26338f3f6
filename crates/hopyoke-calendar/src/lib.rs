//! Staffed hours, without any I/O: a calendar, the jobs that are held outside of it, and the override
//! that an operator may set for a while.
//!
//! Wall clock times are microseconds since 1970 and may be off by a known bound (the settings'
//! `skew_ms`): staffed hours begin that much later and end that much earlier, so that held jobs are
//! never placed outside of true staffed hours, whichever node's clock decides.

mod calendar;
mod hold;

pub use calendar::{Calendar, StaffingWindow};
pub use hold::HoldSelector;

use hopyoke_protocol::user::JobSpec;
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};

/// A setting of the calendar that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{setting}: '{part}': {reason}")]
pub struct CalendarError {
    /// The setting, by its name.
    pub setting: &'static str,
    /// The part of its text at fault.
    pub part: String,
    /// What it must be.
    pub reason: &'static str,
}

/// An operator's override of the calendar, until it expires. Stored in the key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaffingOverride {
    /// Staff is on duty.
    pub staffed: bool,
    /// Wall clock time of its expiry, in microseconds since 1970.
    #[serde(rename = "until_us")]
    pub expires_at_us: u64,
    /// The operator who set it.
    #[serde(rename = "by")]
    pub operator: String,
}

/// All that decides whether a job is held.
#[derive(Debug, Clone, PartialEq)]
pub struct StaffedHours {
    /// The regular staffed hours.
    pub calendar: Calendar,
    /// Jobs that are held outside of them.
    pub hold_selector: HoldSelector,
    /// Held jobs that run are stopped when staffed hours end, with time to save.
    pub drain: bool,
    /// Bound on the error of nodes' wall clocks.
    pub max_clock_skew: Micros,
    /// No held job is placed this long before staffed hours end: its start command may still be in flight.
    pub placement_margin: Micros,
    /// The operators' override, if there is one.
    pub staffing_override: Option<StaffingOverride>,
}

impl StaffedHours {
    /// Whether staff is on duty at a time of this node's wall clock, and until when that holds.
    pub fn window_at(&self, time_of_day: Micros) -> StaffingWindow {
        if let Some(s) = &self.staffing_override {
            // Staffed ends early, unstaffed ends late: holding a job is the safe side.
            let until = if s.staffed {
                Micros(s.expires_at_us) - self.max_clock_skew - self.placement_margin
            } else {
                Micros(s.expires_at_us) + self.max_clock_skew
            };
            if time_of_day < until {
                return StaffingWindow {
                    staffed: s.staffed,
                    until: Some(until),
                };
            }
        }
        self.calendar.window_at(
            time_of_day,
            self.max_clock_skew,
            self.max_clock_skew + self.placement_margin,
        )
    }

    /// Whether this job is held outside staffed hours.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        self.hold_selector.matches(spec)
    }

    /// A wall clock time as local time of the calendar's zone, such as `Mon 2026-03-30 08:00`.
    pub fn format_local(&self, time_of_day: Micros) -> String {
        self.calendar.format_local(time_of_day)
    }
}
