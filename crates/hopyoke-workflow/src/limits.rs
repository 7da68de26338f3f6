//! What the engine may take of the state service and of the queue of jobs.

use hopyoke_types::Micros;

/// An operator's limits; see `docs/POLICY.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Steps of one run that are submitted and not over.
    pub steps_in_flight: usize,
    /// The same of all runs of one team that this node carries.
    pub team_steps_in_flight: usize,
    /// Runs that this node carries at once.
    pub runs_carried: usize,
    /// Steps of all runs that this node carries; one run may have more. Bounds memory.
    pub steps_carried: usize,
    /// Writes a second that runs may take: submissions, progress and ends.
    pub writes_per_s: f64,
    /// Requests a second that reading may take when runs are taken over.
    pub reads_per_s: f64,
    /// Progress waits this long for more to be written with it.
    pub gather: Micros,
    /// First pause before something that failed is tried again; doubled up to `retry_most`.
    pub retry_least: Micros,
    pub retry_most: Micros,
    /// A run without a carrier is left to nodes that come before this one for so long, each.
    pub claim_gap: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            steps_in_flight: 64,
            team_steps_in_flight: 256,
            runs_carried: 500,
            steps_carried: 50_000,
            writes_per_s: 5.0,
            reads_per_s: 10.0,
            gather: Micros::from_secs(2),
            retry_least: Micros::from_millis(500),
            retry_most: Micros::from_secs(20),
            claim_gap: Micros::from_secs(2),
        }
    }
}

/// Earns so many a second, and keeps at most one second's worth (but at least one).
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    left: f64,
    at: Micros,
}

impl Budget {
    pub(crate) fn new(now: Micros) -> Budget {
        Budget { left: 1.0, at: now }
    }

    /// Takes `n` if there is so much; an amount above the most that is kept may be owed.
    pub(crate) fn take(&mut self, n: f64, per_s: f64, now: Micros) -> bool {
        self.earn(per_s, now);
        let enough = self.left >= n.min(per_s.max(1.0));
        if enough {
            self.left -= n;
        }
        enough
    }

    fn earn(&mut self, per_s: f64, now: Micros) {
        self.left = (self.left + (now - self.at).as_secs_f64() * per_s).min(per_s.max(1.0));
        self.at = now.max(self.at);
    }

    /// When `n` will be there.
    pub(crate) fn when(&self, n: f64, per_s: f64, now: Micros) -> Micros {
        let short = n.min(per_s.max(1.0)) - self.left;
        if short <= 0.0 {
            now
        } else {
            now.max(self.at + Micros::from_secs_f64(short / per_s.max(0.01)))
        }
    }
}
