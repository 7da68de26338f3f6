//! How much of the key-value store and of the job queue the engine may use.

use hopyoke_types::Micros;

/// The operators' limits; see `docs/POLICY.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Steps in flight of one run.
    pub max_run_steps_in_flight: usize,
    /// Steps in flight of all runs of one team that this node owns.
    pub max_team_steps_in_flight: usize,
    /// Runs that this node owns at once.
    pub max_owned_runs: usize,
    /// Steps of all runs that this node owns; a single run may have more. Bounds memory.
    pub max_owned_steps: usize,
    /// Writes per second of all runs: submissions, cancellations, progress.
    pub max_writes_per_s: f64,
    /// Requests per second that reading runs' records may take.
    pub max_reads_per_s: f64,
    /// Progress waits this long for more to be written in the same transaction.
    pub write_batch_delay: Micros,
    /// The delay of the first retry, at most; doubled by each further failure, up to `max_retry_delay`.
    pub min_retry_delay: Micros,
    /// The longest delay of a retry.
    pub max_retry_delay: Micros,
    /// Time that each node of lower rank has to claim a run before this one does.
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

/// A token bucket that holds one second's tokens, but at least one. The rate may change at any time.
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

    /// Takes `n` tokens if there are so many; of more than it can hold, it takes on debt once it is full.
    pub(crate) fn take(&mut self, n: f64, per_s: f64, now: Micros) -> bool {
        self.refill(per_s, now);
        let is_enough = self.tokens >= n.min(per_s.max(1.0));
        if is_enough {
            self.tokens -= n;
        }
        is_enough
    }

    fn refill(&mut self, per_s: f64, now: Micros) {
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64() * per_s).min(per_s.max(1.0));
        self.refilled_at = now.max(self.refilled_at);
    }

    /// When `n` tokens can be taken.
    pub(crate) fn available_at(&self, n: f64, per_s: f64, now: Micros) -> Micros {
        let missing = n.min(per_s.max(1.0)) - self.tokens;
        if missing <= 0.0 {
            now
        } else {
            now.max(self.refilled_at + Micros::from_secs_f64(missing / per_s.max(0.01)))
        }
    }
}
