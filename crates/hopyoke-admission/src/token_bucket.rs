//! A token bucket with the capacity of one second at its rate.

use hopyoke_types::Micros;

#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    level: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that is full at `now`. `rate` is in tokens per second; the capacity is at least one token.
    pub(crate) fn full(rate: f64, now: Micros) -> TokenBucket {
        let mut bucket = TokenBucket {
            rate: rate.max(0.01),
            level: 0.0,
            refilled_at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Returns the maximum number of tokens.
    pub(crate) fn capacity(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// Sets the rate from now on. Keeps the level, up to the new capacity.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Micros) {
        self.refill(now);
        self.rate = rate.max(0.01);
        self.level = self.level.min(self.capacity());
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Refills the bucket and returns its level. A clock that runs backwards adds nothing.
    fn refill(&mut self, now: Micros) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + self.rate * elapsed_s).min(self.capacity());
        self.level
    }

    /// Takes `count` tokens if at least `floor` tokens are left afterwards. Otherwise returns the time until that is
    /// possible.
    pub(crate) fn take(&mut self, count: f64, floor: f64, now: Micros) -> Result<(), Micros> {
        let deficit = self.deficit(count, floor, now);
        if deficit <= 0.0 {
            self.level -= count;
            return Ok(());
        }
        Err(Micros::from_secs_f64(deficit / self.rate))
    }

    /// Returns whether `count` tokens could be taken now.
    pub(crate) fn has_room(&mut self, count: f64, floor: f64, now: Micros) -> bool {
        self.deficit(count, floor, now) <= 0.0
    }

    /// Returns how many tokens are missing to take `count`, or zero.
    fn deficit(&mut self, count: f64, floor: f64, now: Micros) -> f64 {
        let level = self.refill(now);
        // A demand above the capacity would never be met, so a full bucket suffices.
        let required = (count + floor).min(self.capacity());
        // Ignores rounding errors that accumulate in the level.
        if level + 1e-9 >= required {
            return 0.0;
        }
        required - level
    }
}
