//! Staffed hours, without any I/O: a calendar, the work that is held outside of it, and the switch
//! by which an operator says otherwise for a while.
//!
//! Times of day are microseconds since 1970 and may be off by a known bound (the settings'
//! `skew_ms`): staffed hours begin that much later and end that much earlier, so that held work is
//! never placed outside of true staffed hours, whichever node's clock decides.

mod calendar;
mod hold;

pub use calendar::{Calendar, Window};
pub use hold::Held;

use hopyoke_protocol::user::JobSpec;
use hopyoke_types::Micros;
use serde::{Deserialize, Serialize};

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{setting}: '{part}': {what}")]
pub struct CalendarFault {
    /// The setting, by its name.
    pub setting: &'static str,
    /// The part of its text at fault.
    pub part: String,
    pub what: String,
}

/// An operator's word, until it lapses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    pub staffed: bool,
    /// Time of day in microseconds.
    pub until_us: u64,
    /// Who said so.
    pub by: String,
}

/// All that decides whether work is held.
#[derive(Debug, Clone, PartialEq)]
pub struct Hours {
    pub calendar: Calendar,
    pub held: Held,
    /// Held work that runs is stopped when staffed hours end, with time to save.
    pub drain: bool,
    /// How far a clock may be off.
    pub skew: Micros,
    /// Nothing held is placed this long before staffed hours end: what is commanded then may still
    /// be on its way.
    pub margin: Micros,
    pub switch: Option<Switch>,
}

impl Hours {
    /// Whether somebody is there at a time of day by this node's clock, and until when that holds.
    pub fn at(&self, time_of_day: Micros) -> Window {
        if let Some(s) = &self.switch {
            // On ends early, off ends late: held work is the safe side.
            let until = if s.staffed {
                Micros(s.until_us) - self.skew - self.margin
            } else {
                Micros(s.until_us) + self.skew
            };
            if time_of_day < until {
                return Window {
                    staffed: s.staffed,
                    until: Some(until),
                };
            }
        }
        self.calendar
            .at(time_of_day, self.skew, self.skew + self.margin)
    }

    /// This job is held while nobody is there.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        self.held.matches(spec)
    }

    /// A time of day as people of the calendar's zone write it.
    pub fn local(&self, time_of_day: Micros) -> String {
        self.calendar.local(time_of_day)
    }
}
