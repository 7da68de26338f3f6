//! Who is let in, and when those refused are to come back.

use crate::bucket::Bucket;
use hopyoke_types::Micros;

/// When one that was refused is to come back, in whole seconds (1 to 30).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(pub u32);

/// Users wait no longer than this, whatever they are told.
const MOST: f64 = 30.0;
/// The line is no longer than this: who is told to come back later than `MOST` comes then.
const LINE: Micros = Micros::from_secs(40);

/// Lets in what a rate allows. Each one refused is given the next place in a line that moves at that
/// rate, so that those told to come back do so spread out, at about the time when there is room for
/// them. Nothing is kept of them but the line's length: one who ignores what it was told only makes
/// the line longer, up to a bound.
#[derive(Debug, Clone)]
pub struct Gate {
    bucket: Bucket,
    /// Places up to this time are given away.
    line_until: Micros,
    let_in: u64,
    refused: u64,
    /// Let in since `counted`, and a second before that.
    lately: f64,
    counted: Micros,
    used: f64,
}

impl Gate {
    /// Lets in `rate` a second.
    pub fn new(rate: f64, now: Micros) -> Gate {
        Gate {
            bucket: Bucket::full(rate, now),
            line_until: now,
            let_in: 0,
            refused: 0,
            lately: 0.0,
            counted: now,
            used: 0.0,
        }
    }

    /// Another rate from now on.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        if (rate - self.bucket.rate()).abs() > 0.01 {
            self.bucket.set_rate(rate, now);
        }
    }

    /// One asks to be let in.
    ///
    /// # Errors
    /// There is no room now: when to come back.
    pub fn enter(&mut self, now: Micros) -> Result<(), RetryAfter> {
        if self.bucket.take(1.0, 0.0, now).is_ok() {
            self.let_in += 1;
            self.used_at(now);
            self.lately += 1.0;
            return Ok(());
        }
        Err(self.refuse(now))
    }

    /// One has to be refused for another reason: it takes a place in the line as well.
    pub fn refuse(&mut self, now: Micros) -> RetryAfter {
        self.refused += 1;
        let step = Micros::from_secs_f64(1.0 / self.bucket.rate().max(0.1));
        self.line_until = (self.line_until.max(now) + step).min(now + LINE);
        let wait = (self.line_until - now).as_secs_f64();
        RetryAfter(wait.ceil().clamp(1.0, MOST) as u32)
    }

    /// How many were let in a second of late.
    pub fn used(&mut self, now: Micros) -> f64 {
        self.used_at(now)
    }

    fn used_at(&mut self, now: Micros) -> f64 {
        let span = now - self.counted;
        if span >= Micros::from_secs(1) {
            self.used = self.lately / span.as_secs_f64();
            (self.lately, self.counted) = (0.0, now);
        }
        // Of a second that has only begun, what has come counts.
        self.used.max(self.lately)
    }

    /// How long the line is.
    pub fn line(&self, now: Micros) -> Micros {
        self.line_until - now
    }

    /// How many were let in and refused, for operators.
    pub fn counts(&self) -> (u64, u64) {
        (self.let_in, self.refused)
    }
}
