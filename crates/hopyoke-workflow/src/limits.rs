//! Limits on the engine's concurrency, memory and use of the key-value store.

use hopyoke_types::Micros;

/// Limits that operators set; see `docs/POLICY.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The maximum number of steps in flight of one run.
    pub max_run_steps_in_flight: usize,
    /// The maximum number of steps in flight of all runs of one team that this node owns.
    pub max_team_steps_in_flight: usize,
    /// The maximum number of runs that this node owns at once.
    pub max_owned_runs: usize,
    /// The maximum number of steps of all runs that this node owns, which bounds memory. A single run may have more.
    pub max_owned_steps: usize,
    /// Writes per second of all runs: submissions, cancellations and progress.
    pub max_writes_per_s: f64,
    /// Requests per second for reading the records of runs.
    pub max_reads_per_s: f64,
    /// How long a change of progress is held back to batch it with later ones in a transaction.
    pub write_batch_delay: Micros,
    /// The base of the exponential backoff: doubled by each consecutive failure, up to `max_retry_delay`.
    pub min_retry_delay: Micros,
    /// The maximum delay of a retry.
    pub max_retry_delay: Micros,
    /// The interval between the claim attempts of nodes of successive rank.
    pub claim_stagger: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_run_steps_in_flight: 64,
            max_team_steps_in_flight: 256,
            max_owned_runs: 500,
            max_owned_steps: 50_000,
            max_writes_per_s: 5.0,
            max_reads_per_s: 10.0,
            write_batch_delay: Micros::from_secs(2),
            min_retry_delay: Micros::from_millis(500),
            max_retry_delay: Micros::from_secs(20),
            claim_stagger: Micros::from_secs(2),
        }
    }
}

/// A token bucket whose capacity is the tokens of one second, but at least one. The rate may change at any time.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    pub(crate) fn new(now: Micros) -> TokenBucket {
        TokenBucket {
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Takes `n` tokens if they are available and returns whether it did. If `n` exceeds the capacity, a full bucket
    /// grants it and its balance becomes negative.
    pub(crate) fn try_take(&mut self, n: f64, per_s: f64, now: Micros) -> bool {
        self.refill(per_s, now);
        let is_permitted = self.tokens >= n.min(per_s.max(1.0));
        if is_permitted {
            self.tokens -= n;
        }
        is_permitted
    }

    fn refill(&mut self, per_s: f64, now: Micros) {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64() * per_s).min(per_s.max(1.0));
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Returns the time at which `n` tokens become available.
    pub(crate) fn available_at(&self, n: f64, per_s: f64, now: Micros) -> Micros {
        let missing = n.min(per_s.max(1.0)) - self.tokens;
        if missing <= 0.0 {
            now
        } else {
            now.max(self.refilled_at + Micros::from_secs_f64(missing / per_s.max(0.01)))
        }
    }
}
