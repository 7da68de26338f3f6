//! Adaptive timeouts: they grow until the service responds in time, recover soon after it was slow, and do not take a
//! missing response for a latency.

use hopyoke_consistency::latency::{
    LatencyEstimator, RequestKind, SAMPLE_VALIDITY, SpeedChange, StoreLatency, TimeoutBounds,
};
use hopyoke_consistency::leader_lease::{
    LeaderLease, lease_timeouts, max_election_latency, renewal_interval, renewal_repeat_interval,
};
use hopyoke_types::Micros;
use proptest::prelude::*;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

const TTL: Micros = Micros::from_secs(6);

/// Sends sequential requests, each answered after `latency` if that is within the timeout. Returns the number of
/// timeouts before the first response, and the time of that response.
fn first_response(
    estimator: &mut LatencyEstimator,
    latency: Micros,
    start: Micros,
) -> (u32, Micros) {
    let (mut now, mut timeouts) = (start, 0);
    loop {
        let timeout = estimator.timeout(lease_timeouts(TTL), now);
        if latency <= timeout {
            now += latency;
            estimator.record_response(latency, now);
            return (timeouts, now);
        }
        let sent_at = now;
        now += timeout;
        estimator.record_timeout(sent_at, now);
        timeouts += 1;
        assert!(timeouts < 20, "no response after {timeouts} timeouts");
    }
}

#[test]
fn the_first_timeout_is_the_floor() {
    let estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_500), ms(3_750));
    assert_eq!(estimator.timeout(bounds, Micros::ZERO), ms(1_500));
    assert_eq!(estimator.expected(Micros::ZERO), None);
}

#[test]
fn a_fast_service_gets_the_floor() {
    let mut estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_500), ms(3_750));
    for n in 0..100 {
        estimator.record_response(ms(8 + n % 5), ms(n * 100));
        assert_eq!(estimator.timeout(bounds, ms(n * 100)), ms(1_500));
    }
}

/// Below the maximum latency of an election, at most two timeouts precede the first response, and none follows it.
#[test]
fn latency_below_the_limit_is_learned() {
    for latency in [300, 1_000, 1_400, 1_600, 1_700, 2_000, 2_500, 2_990].map(ms) {
        assert!(latency < max_election_latency(TTL));
        let mut estimator = LatencyEstimator::default();
        let (timeouts, mut now) = first_response(&mut estimator, latency, Micros::ZERO);
        assert!(timeouts <= 2, "{latency:?}: {timeouts} timeouts");
        for _ in 0..20 {
            let (timeouts, end) = first_response(&mut estimator, latency, now);
            assert_eq!(timeouts, 0, "{latency:?} has been measured");
            now = end;
        }
    }
}

#[test]
fn missing_responses_back_off_to_the_ceiling() {
    let mut estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_500), ms(3_750));
    let mut now = Micros::ZERO;
    let mut timeouts = Vec::new();
    for _ in 0..5 {
        let timeout = estimator.timeout(bounds, now);
        timeouts.push(timeout);
        let sent_at = now;
        now += timeout;
        estimator.record_timeout(sent_at, now);
    }
    assert_eq!(timeouts, [1_500, 3_000, 3_750, 3_750, 3_750].map(ms));
    assert_eq!(estimator.expected(now), None);
    // The first response resets the backoff.
    estimator.record_response(ms(10), now);
    assert_eq!(estimator.timeout(bounds, now), ms(1_500));
}

#[test]
fn concurrent_timeouts_back_off_once() {
    let mut estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_000), ms(60_000));
    for _ in 0..50 {
        estimator.record_timeout(ms(10), ms(1_010));
    }
    assert_eq!(estimator.timeout(bounds, ms(1_010)), ms(2_000));
}

/// When a service that took 2.5 s becomes fast, its first response lowers the expected latency, and within ten
/// responses the timeout is the floor again.
#[test]
fn timeouts_recover_when_a_service_becomes_fast() {
    let mut estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_500), ms(3_750));
    let mut now = Micros::ZERO;
    for _ in 0..30 {
        now += ms(2_500);
        estimator.record_response(ms(2_500), now);
    }
    assert!(estimator.timeout(bounds, now) > ms(3_000));
    estimator.record_response(ms(10), now);
    assert_eq!(estimator.expected(now), Some(ms(10)));
    for _ in 0..9 {
        now += ms(100);
        estimator.record_response(ms(10), now);
    }
    assert_eq!(estimator.timeout(bounds, now), ms(1_500));
}

#[test]
fn old_samples_expire() {
    let mut estimator = LatencyEstimator::default();
    let bounds = TimeoutBounds::new(ms(1_500), ms(3_750));
    estimator.record_response(ms(2_500), ms(0));
    assert!(estimator.expected(SAMPLE_VALIDITY).is_some());
    let later = SAMPLE_VALIDITY + ms(1);
    assert_eq!(estimator.expected(later), None);
    assert_eq!(estimator.timeout(bounds, later), ms(1_500));
}

/// A latency measured for reads counts for writes too, but the backoff of one kind does not affect the others.
#[test]
fn kinds_share_samples_but_not_backoff() {
    let mut latency = StoreLatency::default();
    let bounds = TimeoutBounds::new(ms(1_000), ms(5_000));
    latency.record_response(RequestKind::Read, ms(2_000), ms(0));
    assert!(latency.timeout(RequestKind::Write, bounds, ms(0)) > ms(2_000));
    assert_eq!(latency.expected(RequestKind::Write, ms(0)), Some(ms(2_000)));
    latency.record_response(RequestKind::Write, ms(10), ms(0));
    assert_eq!(latency.expected(RequestKind::Write, ms(0)), Some(ms(10)));
    let mut latency = StoreLatency::default();
    latency.record_timeout(RequestKind::Read, ms(0), ms(1_000));
    assert_eq!(
        latency.timeout(RequestKind::Read, bounds, ms(1_000)),
        ms(2_000)
    );
    assert_eq!(
        latency.timeout(RequestKind::Write, bounds, ms(1_000)),
        ms(1_000)
    );
}

#[test]
fn speed_changes_are_reported_once() {
    let mut latency = StoreLatency::default();
    let mut changes = Vec::new();
    for n in 0..40 {
        let sample = if (10..20).contains(&n) { 1_700 } else { 10 };
        latency.record_response(RequestKind::Read, ms(sample), ms(n * 500));
        changes.extend(latency.speed_change(ms(n * 500)));
    }
    assert_eq!(changes, [SpeedChange::Slow, SpeedChange::Fast]);
}

#[test]
fn an_unresponsive_service_counts_as_slow() {
    let mut latency = StoreLatency::default();
    latency.record_timeout(RequestKind::Read, ms(0), ms(1_500));
    assert_eq!(latency.speed_change(ms(1_500)), None);
    latency.record_timeout(RequestKind::Read, ms(1_600), ms(4_600));
    assert_eq!(latency.speed_change(ms(4_600)), Some(SpeedChange::Slow));
    latency.record_response(RequestKind::Read, ms(10), ms(4_700));
    assert_eq!(latency.speed_change(ms(4_700)), Some(SpeedChange::Fast));
}

/// Renewals and watches sent at these intervals keep the leader lease valid without a gap, at any latency below the
/// limit.
#[test]
fn a_slow_store_leaves_no_gap_in_the_lease() {
    for ttl in [4_000, 5_000, 6_000].map(ms) {
        let max_latency = max_election_latency(ttl);
        for latency in (0..max_latency.as_millis()).step_by(50).map(ms) {
            let interval = renewal_interval(ttl).max(renewal_repeat_interval(ttl).min(latency));
            assert!(
                latency + interval <= ttl.less_drift(),
                "{ttl:?}: renewals at {latency:?}"
            );
            let wait = ms(2_000);
            let lease = LeaderLease::new(Micros::ZERO, ttl, wait, 2);
            let cycle = lease.watch_wait(latency, wait) + latency;
            assert!(
                cycle.times(2) <= wait + ttl,
                "{ttl:?}: watches at {latency:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Timeouts stay within their bounds after any sequence of responses and timeouts.
    #[test]
    fn timeouts_stay_within_their_bounds(
        events in prop::collection::vec((0u64..8_000_000, 0u64..3_000_000, any::<bool>()), 0..60),
        floor in 0u64..3_000_000, span in 0u64..5_000_000,
    ) {
        let bounds = TimeoutBounds::new(Micros(floor), Micros(floor + span));
        let mut estimator = LatencyEstimator::default();
        let mut now = Micros::ZERO;
        for (latency, pause, is_response) in events {
            let sent_at = now;
            now += Micros(pause);
            if is_response {
                estimator.record_response(Micros(latency), now);
            } else {
                estimator.record_timeout(sent_at, now);
            }
            let timeout = estimator.timeout(bounds, now);
            prop_assert!(bounds.floor <= timeout && timeout <= bounds.ceiling);
        }
    }
}
