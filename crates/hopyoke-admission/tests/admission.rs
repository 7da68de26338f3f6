//! Rate limits, loans and admission fairness hold for any order of events.

use hopyoke_admission::{
    AdmissionGate, RateLimiter, RateShare, RequestPriority, SharedLimit, WriteDemand,
};
use hopyoke_types::{JobId, Micros};
use proptest::prelude::*;

const REQUESTS: SharedLimit = SharedLimit {
    per_second: 180.0,
    nodes: 3,
};
const CHANGES: SharedLimit = SharedLimit {
    per_second: 50.0,
    nodes: 3,
};

fn job(n: usize) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// Models the key-value store's own rate limiter.
struct StoreLimiter {
    rate: f64,
    level: f64,
    refilled_at: Micros,
}

impl StoreLimiter {
    fn new(rate: f64) -> StoreLimiter {
        StoreLimiter {
            rate,
            level: rate,
            refilled_at: Micros::ZERO,
        }
    }

    fn accepts(&mut self, count: f64, now: Micros) -> bool {
        self.level =
            (self.level + self.rate * (now - self.refilled_at).as_secs_f64()).min(self.rate);
        self.refilled_at = now;
        let accepted = self.level >= count;
        if accepted {
            self.level -= count;
        }
        accepted
    }
}

fn priority(n: u8) -> RequestPriority {
    RequestPriority::ALL[n as usize % 6]
}

proptest! {
    /// The store refuses no request that the nodes' limiters allow, for any load.
    #[test]
    fn shares_never_exceed_the_limit(events in prop::collection::vec((0u64..40_000, 0usize..3, 0u8..6, 1u32..5), 1..2000)) {
        let mut nodes: Vec<RateLimiter> = (0..3).map(|_| RateLimiter::new(REQUESTS, Micros::ZERO)).collect();
        let mut store = StoreLimiter::new(REQUESTS.per_second);
        let mut now = Micros::ZERO;
        for (pause, node, class, n) in events {
            now += Micros(pause);
            if nodes[node].take(priority(class), n, now).is_ok() {
                prop_assert!(store.accepts(f64::from(n), now), "refused at {now:?}");
            }
        }
    }

    /// Overload with requests of any lower priority never delays a lease renewal.
    #[test]
    fn critical_requests_always_have_capacity(class in 1u8..6, offered in 1u32..200) {
        let mut limiter = RateLimiter::new(REQUESTS, Micros::ZERO);
        for ms in 0..5_000u64 {
            let now = Micros::from_millis(ms);
            for _ in 0..offered {
                let _ = limiter.take(priority(class), 1, now);
            }
            if ms % 500 == 0 {
                for _ in 0..4 {
                    prop_assert!(limiter.take(RequestPriority::Critical, 1, now).is_ok(), "at {ms} ms");
                }
            }
        }
    }

    /// The write demand and all nodes' shares together stay within the limit, whether no node or all nodes have received
    /// the leader's announcement.
    #[test]
    fn shares_and_write_demand_stay_within_the_limit(write_demand in 0.0f64..200.0, announced in any::<bool>()) {
        let mut share = RateShare::new(CHANGES);
        if announced {
            share.write_demand_received(write_demand, Micros::ZERO);
        }
        let write_demand = if announced { write_demand.min(CHANGES.per_second * 0.5) } else { CHANGES.per_second * 0.5 };
        let total = share.rate(Micros::from_secs(1)) * 3.0 + write_demand;
        prop_assert!(total <= CHANGES.per_second, "{total}");
    }

    /// All nodes together never spend more than is allocated, and each retains a minimum of its own share, for any order,
    /// loss, delay and repetition of messages.
    #[test]
    fn lent_rate_is_never_spent_twice(events in prop::collection::vec((0u64..400_000, 0usize..3, 0usize..2, 0u8..6, 0.0f64..60.0), 1..1500)) {
        // Returns the node that is peer `p` of node `n`, and the peer index of `n` at that node.
        let other = |n: usize, p: usize| { let o = [[1, 2], [0, 2], [0, 1]][n][p]; (o, usize::from(n > [[2, 1], [2, 0], [1, 0]][n][p])) };
        let mut nodes: Vec<RateShare> = (0..3).map(|_| RateShare::new(CHANGES)).collect();
        let own_share = nodes[0].own_share(Micros::ZERO);
        let mut requests: Vec<(usize, usize, Micros, f64)> = Vec::new();
        let mut answers: Vec<(usize, usize, Micros, f64)> = Vec::new();
        let mut now = Micros::from_secs(10);
        for (pause, n, p, what, amount) in events {
            now += Micros(pause);
            match what {
                0 | 1 => requests.push((n, p, now, amount)),
                // Delivered in any order, perhaps more than once.
                2 | 3 if !requests.is_empty() => {
                    let (n, p, sent_at, requested) = requests[(amount * 1e6) as usize % requests.len()];
                    let (o, back) = other(n, p);
                    let granted = nodes[o].grant_loan(back, requested, amount / 20.0, amount > 55.0, now);
                    answers.push((n, p, sent_at, granted));
                }
                4 | 5 if !answers.is_empty() => {
                    let (n, p, sent_at, granted) = answers[(amount * 1e6) as usize % answers.len()];
                    nodes[n].loan_received(p, granted, sent_at);
                }
                _ => {}
            }
            let rates: Vec<f64> = nodes.iter().map(|s| s.rate(now)).collect();
            prop_assert!(rates.iter().sum::<f64>() <= own_share * 3.0 + 1e-6, "{rates:?}");
            prop_assert!(rates.iter().all(|r| *r >= own_share * 0.29), "{rates:?}");
        }
    }

    /// Retries are spread at no more than the admission rate, and within the maximum retry delay.
    #[test]
    fn retries_are_spread_at_the_admission_rate(rate in 1.0f64..50.0, jobs in 1usize..1500) {
        let mut gate = AdmissionGate::new(rate, &[true], 0, Micros::ZERO);
        let mut retries_by_second = [0usize; 31];
        for n in 0..jobs {
            if let Err(after) = gate.admit(&job(n), 0, Micros::ZERO) {
                prop_assert!((1..=30).contains(&after.0));
                retries_by_second[after.0 as usize] += 1;
            }
        }
        // The last second holds all jobs beyond the capacity of the queue.
        for (s, n) in retries_by_second.iter().enumerate().take(30) {
            prop_assert!(*n as f64 <= rate.ceil() + 1.0, "{n} retries after {s} s at {rate} a second");
        }
    }
}

#[test]
fn an_announcement_is_valid_from_when_it_was_requested() {
    let mut share = RateShare::new(CHANGES);
    let safe_rate = share.rate(Micros::ZERO);
    share.write_demand_received(1.0, Micros::from_secs(1));
    assert!(share.rate(Micros::from_millis(3_400)) > safe_rate);
    // Validity counts from the request, even if the answer was delayed.
    assert!((share.rate(Micros::from_millis(3_500)) - safe_rate).abs() < 1e-9);
    // An older announcement that arrives later is ignored.
    share.write_demand_received(0.0, Micros::ZERO);
    assert!((share.rate(Micros::from_millis(3_600)) - safe_rate).abs() < 1e-9);
}

#[test]
fn queue_positions_without_a_retry_expire() {
    let mut gate = AdmissionGate::new(10.0, &[true], 0, Micros::ZERO);
    for n in 0..60 {
        let _ = gate.admit(&job(n), 0, Micros::ZERO);
    }
    assert_eq!(gate.estimated_wait(Micros::ZERO), Micros::from_secs(5));
    // No job is retried, so all positions expire.
    assert_eq!(gate.estimated_wait(Micros::from_secs(12)), Micros::ZERO);
    assert!(gate.admit(&job(60), 0, Micros::from_secs(12)).is_ok());
}

#[test]
fn write_demand_follows_the_writes_and_rises_at_once() {
    let mut write_demand = WriteDemand::new(CHANGES, Micros::ZERO);
    for ms in 0..30u64 {
        write_demand.changes_written(1, Micros::from_millis(ms * 100));
    }
    let rate = write_demand.rate(Micros::from_secs(3));
    assert!((8.0..=16.0).contains(&rate), "{rate}");
    write_demand.writes_deferred(Micros::from_secs(3));
    assert_eq!(write_demand.rate(Micros::from_secs(3)), 25.0);
    assert!(write_demand.rate(Micros::from_secs(30)) < 2.0);
}

/// Outcome of one team's submissions.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    admitted: usize,
    given_up: usize,
    /// Longest wait of an admitted submission.
    longest_wait_s: f64,
}

/// Submits `load[t]` jobs per second of team `t` to one gate, each retried when told to for up to a minute. Returns the
/// outcome by team.
fn submit_load(gate: &mut AdmissionGate, load: [usize; 2], seconds: u64) -> [Outcome; 2] {
    let mut attempts: std::collections::BTreeMap<(Micros, usize), (usize, Micros)> =
        Default::default();
    let mut n = 0;
    for ms in 0..seconds * 1000 {
        for (team, per_second) in load.iter().enumerate() {
            if ms * *per_second as u64 % 1000 < *per_second as u64 {
                n += 1;
                attempts.insert(
                    (Micros::from_millis(ms), n),
                    (team, Micros::from_millis(ms)),
                );
            }
        }
    }
    let mut outcomes = [Outcome::default(); 2];
    while let Some(((now, n), (team, first_attempt_at))) = attempts.pop_first() {
        match gate.admit(&job(n), team, now) {
            Ok(()) => {
                outcomes[team].admitted += 1;
                let waited_s = (now - first_attempt_at).as_secs_f64();
                outcomes[team].longest_wait_s = outcomes[team].longest_wait_s.max(waited_s);
            }
            Err(after) => {
                // Adds a network latency to the delay.
                let retry_at =
                    now + Micros::from_secs(u64::from(after.0)) + Micros::from_millis(20);
                if retry_at < first_attempt_at + Micros::from_secs(60) {
                    attempts.insert((retry_at, n), (team, first_attempt_at));
                } else {
                    outcomes[team].given_up += 1;
                }
            }
        }
    }
    outcomes
}

#[test]
fn a_team_with_ten_times_the_load_does_not_delay_others() {
    let mut gate = AdmissionGate::new(10.0, &[true, true], 0, Micros::ZERO);
    let [overloading, other] = submit_load(&mut gate, [40, 4], 60);
    assert_eq!((other.admitted, other.given_up), (240, 0));
    assert!(other.longest_wait_s < 3.0, "{other:?}");
    // Capacity that the other team doesn't use is available to the overloading one.
    assert!(overloading.admitted >= 340, "{overloading:?}");
}

#[test]
fn a_timely_retry_is_not_overtaken() {
    // A third above the rate for 40 s: all jobs are admitted, in the order of their first attempts.
    let mut gate = AdmissionGate::new(9.0, &[true, true], 0, Micros::ZERO);
    let outcomes = submit_load(&mut gate, [6, 6], 40);
    assert_eq!((outcomes[0].given_up, outcomes[1].given_up), (0, 0));
    assert!(
        outcomes.iter().all(|o| o.longest_wait_s < 25.0),
        "{outcomes:?}"
    );
}

#[test]
fn a_team_without_a_guarantee_gets_a_share_under_overload() {
    let mut gate = AdmissionGate::new(10.0, &[true, false], 0, Micros::ZERO);
    let [_, unguaranteed] = submit_load(&mut gate, [60, 2], 60);
    assert!(unguaranteed.admitted >= 110, "{unguaranteed:?}");
}
