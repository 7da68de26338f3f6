//! Adaptive timeouts for a service whose latency varies.
//!
//! The model is the retransmission timer of TCP (RFC 6298) with Karn's algorithm: latency and deviation are smoothed,
//! consecutive timeouts back off exponentially, and a request that timed out gives no sample. Two things differ,
//! because a timeout is cheap here and a service that was slow must not count as slow for long: the estimate follows
//! a decrease of the latency faster than an increase, and a sample expires after [`SAMPLE_VALIDITY`].
//!
//! The purpose of a request bounds its timeout ([`TimeoutBounds`]): the leader lease, a leader's term or a client's
//! deadline. A service that has not responded since the start is not assumed to be slow: the first timeout is the
//! floor.

use crate::deadline::USER_WRITE_TIMEOUT;
use crate::leader_lease::{MIN_LEASE_TIMEOUT, lease_timeouts};
use hopyoke_types::Micros;

/// Time after which a sample no longer describes the current latency.
pub const SAMPLE_VALIDITY: Micros = Micros::from_secs(5);
/// Smoothed latency at or above which a service counts as slow. By the protocol the store's responses take under 10
/// ms, and occasionally a few hundred.
const SLOW_LATENCY: Micros = Micros::from_millis(500);
/// Smoothed latency below which a slow service counts as fast again.
const FAST_LATENCY: Micros = Micros::from_millis(250);
/// Number of consecutive timeouts after which a service counts as slow although no latency was measured.
const SLOW_TIMEOUTS: u32 = 2;
/// Divisor for the weight of a sample above the smoothed latency (RFC 6298: alpha = 1/8).
const RISE_DIVISOR: u64 = 8;
/// Divisor for the weight of a sample below the smoothed latency.
const FALL_DIVISOR: u64 = 2;
/// Divisor for the weight of a sample's deviation (RFC 6298: beta = 1/4).
const DEVIATION_DIVISOR: u64 = 4;
/// Number of deviations added to the smoothed latency for the timeout (RFC 6298: K = 4).
const TIMEOUT_DEVIATIONS: u64 = 4;
/// Divisor of the smoothed latency for the minimum margin of the timeout, because a constant latency has no
/// deviation.
const MIN_MARGIN_DIVISOR: u64 = 4;
/// Maximum exponent of the backoff after consecutive timeouts: the timeout is multiplied by at most 2 to this power.
const MAX_BACKOFF: u32 = 3;

/// Minimum and maximum timeout of a request, by its purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// Minimum timeout, and the first one while the latency is unknown.
    pub floor: Micros,
    /// Maximum timeout. A later response is of no use.
    pub ceiling: Micros,
}

impl TimeoutBounds {
    /// Creates bounds. A ceiling below the floor is raised to the floor.
    #[must_use]
    pub fn new(floor: Micros, ceiling: Micros) -> TimeoutBounds {
        TimeoutBounds {
            floor,
            ceiling: ceiling.max(floor),
        }
    }
}

/// Purpose of a request to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Keeping or acquiring the leader lease: elections, renewals, failover.
    Lease,
    /// Work of a leader's term, or background maintenance.
    Term,
    /// Serving a user's request.
    User,
}

/// Timeout bounds for all requests of a node.
#[derive(Debug, Clone, Copy)]
pub struct TimeoutPolicy {
    lease: TimeoutBounds,
    term_ceiling: Micros,
}

impl TimeoutPolicy {
    /// Creates the policy from the time to live of the leader lease and the maximum wait of the leader's watch. A
    /// leader that has received no changes for the sum of both may not command agents, so no request of its term
    /// waits longer.
    #[must_use]
    pub fn new(ttl: Micros, watch_wait: Micros) -> TimeoutPolicy {
        TimeoutPolicy {
            lease: lease_timeouts(ttl),
            term_ceiling: watch_wait + ttl,
        }
    }

    /// Returns the bounds of one request. The floor of a write is half of its user's time limit, so that a peer can
    /// still be tried after a store that does not respond.
    #[must_use]
    pub fn bounds(&self, kind: RequestKind, purpose: Purpose) -> TimeoutBounds {
        let floor = match kind {
            RequestKind::Write => Micros(USER_WRITE_TIMEOUT.0 / 2),
            RequestKind::Lease => MIN_LEASE_TIMEOUT,
            RequestKind::Read | RequestKind::Watch => self.lease.floor,
        };
        let ceiling = match purpose {
            Purpose::Lease => self.lease.ceiling,
            Purpose::Term => self.term_ceiling,
            Purpose::User => USER_WRITE_TIMEOUT,
        };
        TimeoutBounds::new(floor, ceiling)
    }
}

/// Smoothed measurements.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    smoothed: Micros,
    deviation: Micros,
    last_sample: Micros,
    sampled_at: Micros,
}

/// Estimates the latency of one kind of request.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    estimate: Option<Estimate>,
    /// Number of consecutive timeouts, up to [`MAX_BACKOFF`].
    backoff: u32,
    backed_off_at: Micros,
}

impl LatencyEstimator {
    /// Records the latency of a request that received a response.
    pub fn record_response(&mut self, latency: Micros, now: Micros) {
        self.backoff = 0;
        self.estimate = Some(match self.valid_estimate(now) {
            None => Estimate {
                smoothed: latency,
                deviation: Micros(latency.0 / 2),
                last_sample: latency,
                sampled_at: now,
            },
            Some(e) => e.with_sample(latency, now),
        });
    }

    /// Records an upper bound of a request's latency: part of it may be time that the request allows the service to
    /// wait. It counts as a sample only if it does not exceed the current estimate, or if there is none.
    pub fn record_upper_bound(&mut self, latency: Micros, now: Micros) {
        if self
            .valid_estimate(now)
            .is_none_or(|e| latency <= e.smoothed)
        {
            self.record_response(latency, now);
        }
    }

    /// Records that a request sent at `sent_at` received no response within its timeout. Requests that were in flight
    /// together increase the backoff only once.
    pub fn record_timeout(&mut self, sent_at: Micros, now: Micros) {
        if sent_at >= self.backed_off_at {
            self.backoff = (self.backoff + 1).min(MAX_BACKOFF);
            self.backed_off_at = now;
        }
    }

    /// Returns the timeout of a request that is sent now.
    #[must_use]
    pub fn timeout(&self, bounds: TimeoutBounds, now: Micros) -> Micros {
        self.timeout_from(self.measured_timeout(now), bounds)
    }

    /// Returns the timeout for a measured one, which may come from other kinds of requests.
    fn timeout_from(&self, measured: Option<Micros>, bounds: TimeoutBounds) -> Micros {
        measured
            .unwrap_or_default()
            .max(bounds.floor)
            .times(1 << self.backoff)
            .min(bounds.ceiling)
    }

    /// Returns the smoothed latency plus its margin, or `None` without a valid sample.
    fn measured_timeout(&self, now: Micros) -> Option<Micros> {
        self.valid_estimate(now).map(|e| {
            let margin = e.deviation.times(TIMEOUT_DEVIATIONS);
            e.smoothed + margin.max(Micros(e.smoothed.0 / MIN_MARGIN_DIVISOR))
        })
    }

    /// Returns the expected latency of a request that is sent now: the lower of the smoothed latency and the last
    /// sample, so that a service that has become fast is used immediately. Returns `None` without a valid sample.
    #[must_use]
    pub fn expected(&self, now: Micros) -> Option<Micros> {
        self.valid_estimate(now)
            .map(|e| e.smoothed.min(e.last_sample))
    }

    /// Returns the smoothed latency, even if its samples have expired.
    #[must_use]
    pub fn smoothed(&self) -> Option<Micros> {
        self.estimate.map(|e| e.smoothed)
    }

    fn valid_estimate(&self, now: Micros) -> Option<Estimate> {
        self.estimate
            .filter(|e| now <= e.sampled_at + SAMPLE_VALIDITY)
    }
}

impl Estimate {
    fn with_sample(self, latency: Micros, now: Micros) -> Estimate {
        let smoothed = if latency < self.smoothed {
            self.smoothed - Micros((self.smoothed - latency).0 / FALL_DIVISOR)
        } else {
            self.smoothed + Micros((latency - self.smoothed).0 / RISE_DIVISOR)
        };
        let error = Micros(latency.0.abs_diff(self.smoothed.0));
        let kept = self.deviation - Micros(self.deviation.0 / DEVIATION_DIVISOR);
        Estimate {
            smoothed,
            deviation: kept + Micros(error.0 / DEVIATION_DIVISOR),
            last_sample: latency,
            sampled_at: now,
        }
    }
}

/// Kind of a request to the key-value store. Latencies are estimated by kind because they may differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Reads of keys and of pages.
    Read,
    /// Transactions.
    Write,
    /// Grants, renewals and revocations of leases.
    Lease,
    /// Watches, excluding the time that the request allows the store to wait.
    Watch,
}

impl RequestKind {
    /// All kinds.
    pub const ALL: [RequestKind; 4] = [
        RequestKind::Read,
        RequestKind::Write,
        RequestKind::Lease,
        RequestKind::Watch,
    ];
}

/// Change of the service's speed, reported once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedChange {
    /// The service has become slow.
    Slow,
    /// The service is fast again.
    Fast,
}

/// Tracks the latency of the key-value store by kind of request.
#[derive(Debug, Clone, Default)]
pub struct StoreLatency {
    kinds: [LatencyEstimator; RequestKind::ALL.len()],
    is_slow: bool,
}

impl StoreLatency {
    /// Returns the estimator of one kind.
    #[must_use]
    pub fn of(&self, kind: RequestKind) -> &LatencyEstimator {
        &self.kinds[kind as usize]
    }

    /// See [`LatencyEstimator::record_response`].
    pub fn record_response(&mut self, kind: RequestKind, latency: Micros, now: Micros) {
        self.kinds[kind as usize].record_response(latency, now);
    }

    /// See [`LatencyEstimator::record_upper_bound`].
    pub fn record_upper_bound(&mut self, kind: RequestKind, latency: Micros, now: Micros) {
        self.kinds[kind as usize].record_upper_bound(latency, now);
    }

    /// See [`LatencyEstimator::record_timeout`].
    pub fn record_timeout(&mut self, kind: RequestKind, sent_at: Micros, now: Micros) {
        self.kinds[kind as usize].record_timeout(sent_at, now);
    }

    /// Returns the timeout of a request that is sent now. Samples of every kind count, because usually the whole
    /// service is slow and each kind would otherwise have to learn it by its own timeouts.
    #[must_use]
    pub fn timeout(&self, kind: RequestKind, bounds: TimeoutBounds, now: Micros) -> Micros {
        let measured = self
            .kinds
            .iter()
            .filter_map(|k| k.measured_timeout(now))
            .max();
        self.of(kind).timeout_from(measured, bounds)
    }

    /// Returns the expected latency of one kind of request; see [`LatencyEstimator::expected`]. Without a valid
    /// sample of this kind it is that of the slowest kind: a leader seldom reads, and must decide beforehand whether
    /// there is time for two reads in sequence.
    #[must_use]
    pub fn expected(&self, kind: RequestKind, now: Micros) -> Option<Micros> {
        self.of(kind)
            .expected(now)
            .or_else(|| self.expected_of_slowest(now))
    }

    /// Returns the expected latency of the slowest kind of request, or `None` if no kind has a valid sample.
    #[must_use]
    pub fn expected_of_slowest(&self, now: Micros) -> Option<Micros> {
        self.kinds.iter().filter_map(|k| k.expected(now)).max()
    }

    /// Returns the change of the service's speed since the last call, if any.
    pub fn speed_change(&mut self, now: Micros) -> Option<SpeedChange> {
        let slowest = self
            .kinds
            .iter()
            .filter_map(|k| k.valid_estimate(now).map(|e| e.smoothed))
            .max();
        let times_out = self.kinds.iter().any(|k| k.backoff >= SLOW_TIMEOUTS);
        if !self.is_slow && (times_out || slowest.is_some_and(|l| l >= SLOW_LATENCY)) {
            self.is_slow = true;
            return Some(SpeedChange::Slow);
        }
        if self.is_slow && !times_out && slowest.is_some_and(|l| l < FAST_LATENCY) {
            self.is_slow = false;
            return Some(SpeedChange::Fast);
        }
        None
    }

    /// Returns whether the service counted as slow at the last call of [`StoreLatency::speed_change`].
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }
}
