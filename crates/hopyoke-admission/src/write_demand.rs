//! The leader's write demand: the changes that its own records need of those that the key-value store accepts.

use crate::rate_limiter::SharedLimit;
use crate::rate_share::VALIDITY;
use hopyoke_types::Micros;

/// The leader's records may use up to this share of all changes.
pub(crate) const MAX_RECORDS_SHARE: f64 = 0.5;
/// Changes are counted over this window.
const WINDOW: Micros = Micros::from_secs(1);

/// The changes a second that the leader's records need, as it announces them to its peers.
#[derive(Debug, Clone)]
pub struct WriteDemand {
    /// Changes a second.
    max_rate: f64,
    window_start: Micros,
    /// Changes in the present window.
    count: f64,
    /// Changes a second in the window before.
    last_rate: f64,
    deferred_until: Micros,
}

impl WriteDemand {
    /// `changes`: the changes a second that the key-value store accepts from all nodes.
    #[must_use]
    pub fn new(changes: SharedLimit, now: Micros) -> WriteDemand {
        WriteDemand {
            max_rate: changes.per_second * MAX_RECORDS_SHARE,
            window_start: now,
            count: 0.0,
            last_rate: 0.0,
            deferred_until: Micros::ZERO,
        }
    }

    /// So many changes were written.
    pub fn changes_written(&mut self, changes: usize, now: Micros) {
        self.roll_window(now);
        self.count += changes as f64;
    }

    /// More is to be written than the rate allows: the demand is at its maximum for a while.
    pub fn writes_deferred(&mut self, now: Micros) {
        self.deferred_until = now + VALIDITY;
    }

    fn roll_window(&mut self, now: Micros) {
        let span = now - self.window_start;
        if span >= WINDOW {
            self.last_rate = self.count / span.as_secs_f64();
            self.count = 0.0;
            self.window_start = now;
        }
    }

    /// The demand in changes a second: a quarter and one more than what was written of late, up to the maximum.
    pub fn rate(&mut self, now: Micros) -> f64 {
        self.roll_window(now);
        if now < self.deferred_until {
            self.max_rate
        } else {
            (self.last_rate * 1.25 + 1.0).min(self.max_rate)
        }
    }
}
