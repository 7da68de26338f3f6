//! A token bucket: what a rate allows, with bursts worth one second of it.

use hopyoke_types::Micros;

#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// A second.
    rate: f64,
    level: f64,
    filled: Micros,
}

impl TokenBucket {
    /// Full at `now`. `rate` is a second; at least one is always allowed at once.
    pub(crate) fn full(rate: f64, now: Micros) -> TokenBucket {
        let mut bucket = TokenBucket {
            rate: rate.max(0.01),
            level: 0.0,
            filled: now,
        };
        bucket.level = bucket.most();
        bucket
    }

    /// The most that it holds.
    pub(crate) fn most(&self) -> f64 {
        self.rate.max(1.0)
    }

    /// A rate that holds from now on: what has been gathered is kept up to the new bound.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Micros) {
        self.level_at(now);
        self.rate = rate.max(0.01);
        self.level = self.level.min(self.most());
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// What may be taken now. Time that seems to run backwards adds nothing.
    pub(crate) fn level_at(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.level = (self.level + self.rate * span).min(self.most());
        self.level
    }

    /// Takes `n` if more than `floor` is left afterwards; else says how long it takes until then.
    pub(crate) fn take(&mut self, n: f64, floor: f64, now: Micros) -> Result<(), Micros> {
        let level = self.level_at(now);
        // What is larger than the bucket can only ever be taken from a full one.
        let wanted = (n + floor).min(self.most());
        // The level is a sum of small parts: what is short by a rounding error is there.
        if level + 1e-9 >= wanted {
            self.level -= n;
            return Ok(());
        }
        Err(Micros::from_secs_f64((wanted - level) / self.rate))
    }
}
