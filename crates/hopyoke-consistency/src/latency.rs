//! How long to wait for the answer of a service whose latency changes.
//!
//! The model is the retransmission timer of TCP (RFC 6298) with Karn's rule: latency and deviation are smoothed, a
//! timeout doubles the next ones, and a request that timed out gives no sample. Two things differ, for here a timeout is
//! cheap and a service that was slow must not be believed slow for long: a shorter latency is followed faster than a
//! longer one, and a measurement is forgotten after [`SAMPLE_VALIDITY`].
//!
//! What a request serves bounds its timeout ([`TimeoutBounds`]): a lease, a leader's term, or a client's deadline. A
//! service that is silent from the start is no slow one: its first timeout is the floor, as if nothing had been measured.

use crate::deadline::USER_WRITE_TIMEOUT;
use crate::leader_lease::{MIN_LEASE_TIMEOUT, lease_timeouts};
use hopyoke_types::Micros;

/// A measurement that is older than this says nothing about the latency now.
pub const SAMPLE_VALIDITY: Micros = Micros::from_secs(5);
/// Smoothed latency from which on a service counts as slow. (The protocol: answers take under 10 ms, and occasionally a
/// few hundred.)
const SLOW_LATENCY: Micros = Micros::from_millis(500);
/// Smoothed latency below which a slow service counts as fast again.
const FAST_LATENCY: Micros = Micros::from_millis(250);
/// Timeouts in a row after which a service counts as slow although no latency was measured.
const SLOW_TIMEOUTS: u32 = 2;
/// Weight of a sample that is longer than the smoothed latency, as a divisor (RFC 6298: alpha = 1/8).
const RISE_DIVISOR: u64 = 8;
/// Weight of a sample that is shorter, as a divisor.
const FALL_DIVISOR: u64 = 2;
/// Weight of a sample's deviation, as a divisor (RFC 6298: beta = 1/4).
const DEVIATION_DIVISOR: u64 = 4;
/// The timeout is the smoothed latency and so many deviations (RFC 6298: K = 4).
const TIMEOUT_DEVIATIONS: u64 = 4;
/// The timeout is longer than the smoothed latency by at least this part of it, as a divisor: latency that is constant
/// has no deviation.
const MIN_MARGIN_DIVISOR: u64 = 4;
/// The most that timeouts in a row lengthen the next one: by this power of two.
const MAX_BACKOFF: u32 = 3;

/// The shortest and the longest timeout of a request, by what it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The first timeout of a service about which nothing is known.
    pub floor: Micros,
    /// An answer that comes later is of no use.
    pub ceiling: Micros,
}

impl TimeoutBounds {
    /// Bounds whose ceiling is not below the floor.
    #[must_use]
    pub fn new(floor: Micros, ceiling: Micros) -> TimeoutBounds {
        TimeoutBounds {
            floor,
            ceiling: ceiling.max(floor),
        }
    }
}

/// What a request to the key-value store serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The leader lease: elections, renewals, failover.
    Lease,
    /// A leader's term, or upkeep.
    Term,
    /// A user's request.
    User,
}

/// Bounds for all requests of a node.
#[derive(Debug, Clone, Copy)]
pub struct TimeoutPolicy {
    lease: TimeoutBounds,
    term_ceiling: Micros,
}

impl TimeoutPolicy {
    /// `ttl`: the time to live of the leader lease; `watch_wait`: the longest wait of the leader's watch. A leader that has
    /// had no news for both together may not act, so nothing of its term is waited for longer.
    #[must_use]
    pub fn new(ttl: Micros, watch_wait: Micros) -> TimeoutPolicy {
        TimeoutPolicy {
            lease: lease_timeouts(ttl),
            term_ceiling: watch_wait + ttl,
        }
    }

    /// The bounds of one request. A write is given half of its user's time at first, so that a peer can still be asked
    /// after a store that is silent.
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

/// What was measured.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    smoothed: Micros,
    deviation: Micros,
    last_sample: Micros,
    sampled_at: Micros,
}

/// Estimates the latency of one kind of requests.
#[derive(Debug, Clone, Default)]
pub struct LatencyEstimator {
    estimate: Option<Estimate>,
    /// Timeouts in a row, up to [`MAX_BACKOFF`].
    backoff: u32,
    backed_off_at: Micros,
}

impl LatencyEstimator {
    /// A request was answered after `latency`.
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

    /// A request was answered after `latency`, of which a part may have been the service's own wait. It counts only if
    /// that is no longer than what is believed.
    pub fn record_upper_bound(&mut self, latency: Micros, now: Micros) {
        if self
            .valid_estimate(now)
            .is_none_or(|e| latency <= e.smoothed)
        {
            self.record_response(latency, now);
        }
    }

    /// A request that was sent at `sent_at` had no answer within its timeout. Requests that were under way together
    /// lengthen the next timeouts once.
    pub fn record_timeout(&mut self, sent_at: Micros, now: Micros) {
        if sent_at >= self.backed_off_at {
            self.backoff = (self.backoff + 1).min(MAX_BACKOFF);
            self.backed_off_at = now;
        }
    }

    /// How long to wait for the answer to a request that is sent now.
    #[must_use]
    pub fn timeout(&self, bounds: TimeoutBounds, now: Micros) -> Micros {
        self.timeout_from(self.measured_timeout(now), bounds)
    }

    /// As [`LatencyEstimator::timeout`], by a measurement of its own or of like requests.
    fn timeout_from(&self, measured: Option<Micros>, bounds: TimeoutBounds) -> Micros {
        measured
            .unwrap_or_default()
            .max(bounds.floor)
            .times(1 << self.backoff)
            .min(bounds.ceiling)
    }

    /// Smoothed latency with its deviations; `None` without a valid measurement.
    fn measured_timeout(&self, now: Micros) -> Option<Micros> {
        self.valid_estimate(now).map(|e| {
            let margin = e.deviation.times(TIMEOUT_DEVIATIONS);
            e.smoothed + margin.max(Micros(e.smoothed.0 / MIN_MARGIN_DIVISOR))
        })
    }

    /// The latency to expect of a request that is sent now: the shorter of the smoothed one and the last one, so that a
    /// service that has become fast is used at once. `None` without a valid measurement.
    #[must_use]
    pub fn expected(&self, now: Micros) -> Option<Micros> {
        self.valid_estimate(now)
            .map(|e| e.smoothed.min(e.last_sample))
    }

    /// The smoothed latency, whenever it was measured.
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

/// Kinds of requests to the key-value store whose latencies may differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Reads of keys and of pages.
    Read,
    /// Transactions.
    Write,
    /// Grants, renewals and releases of leases.
    Lease,
    /// Watches, less the time for which the store was asked to wait.
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

/// A change of the service's speed, to be logged once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpeedChange {
    /// It has become slow.
    Slow,
    /// It is fast again.
    Fast,
}

/// Latency of the key-value store, by kind of request.
#[derive(Debug, Clone, Default)]
pub struct StoreLatency {
    kinds: [LatencyEstimator; RequestKind::ALL.len()],
    is_slow: bool,
}

impl StoreLatency {
    /// The estimator of one kind.
    #[must_use]
    pub fn of(&self, kind: RequestKind) -> &LatencyEstimator {
        &self.kinds[kind as usize]
    }

    /// As [`LatencyEstimator::record_response`].
    pub fn record_response(&mut self, kind: RequestKind, latency: Micros, now: Micros) {
        self.kinds[kind as usize].record_response(latency, now);
    }

    /// As [`LatencyEstimator::record_upper_bound`].
    pub fn record_upper_bound(&mut self, kind: RequestKind, latency: Micros, now: Micros) {
        self.kinds[kind as usize].record_upper_bound(latency, now);
    }

    /// As [`LatencyEstimator::record_timeout`].
    pub fn record_timeout(&mut self, kind: RequestKind, sent_at: Micros, now: Micros) {
        self.kinds[kind as usize].record_timeout(sent_at, now);
    }

    /// How long to wait for the answer to a request. What was measured of any kind counts: mostly the whole service is
    /// slow, and each kind would have to learn it by timeouts of its own.
    #[must_use]
    pub fn timeout(&self, kind: RequestKind, bounds: TimeoutBounds, now: Micros) -> Micros {
        let measured = self
            .kinds
            .iter()
            .filter_map(|k| k.measured_timeout(now))
            .max();
        self.of(kind).timeout_from(measured, bounds)
    }

    /// As [`LatencyEstimator::expected`], of one kind; of the slowest one if none of this kind was measured lately: a leader
    /// seldom reads, and must know before it does whether there is time for two reads in turn.
    #[must_use]
    pub fn expected(&self, kind: RequestKind, now: Micros) -> Option<Micros> {
        self.of(kind)
            .expected(now)
            .or_else(|| self.expected_of_slowest(now))
    }

    /// The latency to expect of the slowest kind of requests that was measured lately.
    #[must_use]
    pub fn expected_of_slowest(&self, now: Micros) -> Option<Micros> {
        self.kinds.iter().filter_map(|k| k.expected(now)).max()
    }

    /// Whether the service has become slow or fast since this was last called.
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

    /// The service counts as slow.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }
}
