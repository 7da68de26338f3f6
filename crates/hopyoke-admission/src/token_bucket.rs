//! A token bucket whose capacity is worth one second of its rate.

use hopyoke_types::Micros;

#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Full at `now`. `rate` is in tokens a second; the capacity is at least one token.
    pub(crate) fn full(rate: f64, now: Micros) -> TokenBucket {
        let mut bucket = TokenBucket {
            rate: rate.max(0.01),
            level: 0.0,
            refilled_at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// The tokens that a full bucket holds.
    pub(crate) fn capacity(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Sets the rate from now on: the level is kept, up to the new capacity.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Micros) {
        self.refill(now);
        self.rate = rate.max(0.01);
        self.level = self.level.min(self.capacity());
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Refills the bucket and returns its level. Time that runs backwards adds nothing.
    fn refill(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + self.rate * span).min(self.capacity());
        self.level
    }

    /// Takes `count` tokens if more than `floor` is left afterwards; else returns the time until that is so.
    pub(crate) fn take(&mut self, count: f64, floor: f64, now: Micros) -> Result<(), Micros> {
        let deficit = self.deficit(count, floor, now);
        if deficit <= 0.0 {
            self.level -= count;
            return Ok(());
        }
        Err(Micros::from_secs_f64(deficit / self.rate))
    }

    /// Whether `count` tokens could be taken now.
    pub(crate) fn has_room(&mut self, count: f64, floor: f64, now: Micros) -> bool {
        self.deficit(count, floor, now) <= 0.0
    }

    /// How many tokens are missing for `count` to be taken; zero if none is.
    fn deficit(&mut self, count: f64, floor: f64, now: Micros) -> f64 {
        let level = self.refill(now);
        // More than the capacity can only ever be taken from a full bucket.
        let required = (count + floor).min(self.capacity());
        // The level is a sum of small parts: a deficit of a rounding error is none.
        if level + 1e-9 >= required {
            return 0.0;
        }
        required - level
    }
}
