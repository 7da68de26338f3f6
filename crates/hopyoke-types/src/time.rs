//! Times and durations in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

/// A point on the steady clock, or a span of it, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

/// One part in a thousand covers two steady clocks that each drift by up to 0.05%.
const DRIFT_DIVISOR: u64 = 1000;

impl Micros {
    pub const ZERO: Micros = Micros(0);

    pub const fn from_secs(s: u64) -> Micros {
        Micros(s * 1_000_000)
    }

    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Rounds up; negative, NaN and absurdly large amounts are clamped.
    pub fn from_secs_f64(s: f64) -> Micros {
        if s > 0.0 {
            Micros((s.min(1e9) * 1e6).ceil() as u64)
        } else {
            Micros(0)
        }
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// The longest this span can look on another machine's clock.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_DIVISOR + 1)
    }

    /// The shortest this span can look on another machine's clock.
    pub fn less_drift(self) -> Micros {
        Micros(self.0 - self.0 / DRIFT_DIVISOR)
    }

    pub fn times(self, n: u64) -> Micros {
        Micros(self.0.saturating_mul(n))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, o: Micros) {
        *self = *self + o;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        self.saturating_sub(o)
    }
}
