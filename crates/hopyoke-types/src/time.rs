//! Times and durations in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

/// A point on the monotonic clock, or a span of it, in whole microseconds. Its arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

/// One part in a thousand covers two monotonic clocks that each drift by up to 0.05%.
const DRIFT_DIVISOR: u64 = 1000;

impl Micros {
    /// The clock's start, or an empty span.
    pub const ZERO: Micros = Micros(0);

    /// A span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds * 1_000_000)
    }

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// A span of seconds, rounded up to whole microseconds. Negative amounts and NaN give zero, amounts above 1e9 are
    /// taken as 1e9.
    pub fn from_secs_f64(seconds: f64) -> Micros {
        if seconds > 0.0 {
            Micros((seconds.min(1e9) * 1e6).ceil() as u64)
        } else {
            Micros(0)
        }
    }

    /// In seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// In whole milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// The difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// The longest that this span can last on another machine's clock.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_DIVISOR + 1)
    }

    /// The shortest that this span can last on another machine's clock.
    pub fn less_drift(self) -> Micros {
        Micros(self.0 - self.0 / DRIFT_DIVISOR)
    }

    /// The `factor`-fold of this span.
    pub fn times(self, factor: u64) -> Micros {
        Micros(self.0.saturating_mul(factor))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.saturating_sub(other)
    }
}
