//! What the leader's own records need of the changes that the state service takes.

use crate::rate_limiter::Bounds;
use crate::rate_share::FRESH;
use hopyoke_types::Micros;

/// The leader's records may take this part of all changes.
pub const RECORDS: f64 = 0.5;
/// Changes are counted over this span.
const SPAN: Micros = Micros::from_secs(1);

/// What the leader's records need, a second: what it tells the others.
#[derive(Debug, Clone)]
pub struct WriteDemand {
    most: f64,
    began: Micros,
    count: f64,
    last: f64,
    short_until: Micros,
}

impl WriteDemand {
    pub fn new(bounds: Bounds, now: Micros) -> WriteDemand {
        WriteDemand {
            most: bounds.per_second * RECORDS,
            began: now,
            count: 0.0,
            last: 0.0,
            short_until: Micros::ZERO,
        }
    }

    /// So many changes were written.
    pub fn wrote(&mut self, n: usize, now: Micros) {
        self.turn(now);
        self.count += n as f64;
    }

    /// More waits than the rate allows.
    pub fn short(&mut self, now: Micros) {
        self.short_until = now + FRESH;
    }

    fn turn(&mut self, now: Micros) {
        let span = now - self.began;
        if span >= SPAN {
            self.last = self.count / span.as_secs_f64();
            self.count = 0.0;
            self.began = now;
        }
    }

    /// Changes a second.
    pub fn rate(&mut self, now: Micros) -> f64 {
        self.turn(now);
        if now < self.short_until {
            self.most
        } else {
            (self.last * 1.25 + 1.0).min(self.most)
        }
    }
}
