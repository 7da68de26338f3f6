//! Measures the leader's write demand: the part of the key-value store's write limit that its job records need.

use crate::rate_limiter::SharedLimit;
use crate::rate_share::VALIDITY;
use hopyoke_types::Micros;

/// Maximum share of all changes for the leader's records.
pub(crate) const MAX_RECORDS_SHARE: f64 = 0.5;
/// Window over which changes are counted.
const WINDOW: Micros = Micros::from_secs(1);

/// Measures the changes per second that the leader's records need, which the leader announces to its peers.
#[derive(Debug, Clone)]
pub struct WriteDemand {
    /// Maximum demand, in changes per second.
    max_rate: f64,
    window_start: Micros,
    /// Changes in the current window.
    count: f64,
    /// Changes per second in the previous window.
    last_rate: f64,
    deferred_until: Micros,
}

impl WriteDemand {
    /// Creates the measurement. `changes` is the rate of changes per second that the key-value store accepts from all
    /// nodes together.
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

    /// Records that `changes` changes were written.
    pub fn changes_written(&mut self, changes: usize, now: Micros) {
        self.roll_window(now);
        self.count += changes as f64;
    }

    /// Records that there is more to write than the rate limit allows, which raises the demand to its maximum for
    /// `VALIDITY`.
    pub fn writes_deferred(&mut self, now: Micros) {
        self.deferred_until = now + VALIDITY;
    }

    fn roll_window(&mut self, now: Micros) {
        let elapsed = now - self.window_start;
        if elapsed >= WINDOW {
            self.last_rate = self.count / elapsed.as_secs_f64();
            self.count = 0.0;
            self.window_start = now;
        }
    }

    /// Returns the demand in changes per second: the recent rate plus a quarter plus one, up to the maximum.
    pub fn rate(&mut self, now: Micros) -> f64 {
        self.roll_window(now);
        if now < self.deferred_until {
            self.max_rate
        } else {
            (self.last_rate * 1.25 + 1.0).min(self.max_rate)
        }
    }
}
