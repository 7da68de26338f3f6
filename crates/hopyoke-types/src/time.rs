//! Times and durations in whole microseconds.

use std::ops::{Add, AddAssign, Sub};

/// An instant of a clock or a duration, in whole microseconds. The arithmetic operators saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

/// Divisor of a duration that bounds its drift between two monotonic clocks, each of which is off by up to 0.05%.
const DRIFT_DIVISOR: u64 = 1000;

impl Micros {
    /// The clock's epoch, or an empty duration.
    pub const ZERO: Micros = Micros(0);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(seconds: u64) -> Micros {
        Micros(seconds * 1_000_000)
    }

    /// Creates a duration from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// Creates a duration from seconds, rounded up to whole microseconds. Negative values and NaN give zero; values
    /// above 1e9 are clamped to 1e9.
    pub fn from_secs_f64(seconds: f64) -> Micros {
        if seconds > 0.0 {
            Micros((seconds.min(1e9) * 1e6).ceil() as u64)
        } else {
            Micros(0)
        }
    }

    /// Returns the time in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time in whole milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns `self - other`, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// Returns the longest time that this duration can take by another machine's clock. Does not saturate.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_DIVISOR + 1)
    }

    /// Returns the shortest time that this duration can take by another machine's clock.
    pub fn less_drift(self) -> Micros {
        Micros(self.0 - self.0 / DRIFT_DIVISOR)
    }

    /// Returns the duration multiplied by `factor`, saturating.
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
