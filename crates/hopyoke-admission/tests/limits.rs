//! The bounds hold for any order of events, and each check is seen to fail where a bound is left out.

use hopyoke_admission::{
    AdmissionGate, Bounds, RateLimiter, RateShare, RequestPriority, WriteDemand,
};
use hopyoke_types::{JobId, Micros};
use proptest::prelude::*;

const REQUESTS: Bounds = Bounds {
    per_second: 180.0,
    nodes: 3,
};
const CHANGES: Bounds = Bounds {
    per_second: 50.0,
    nodes: 3,
};

fn job(n: usize) -> JobId {
    JobId::new(&format!("req-{n:06}"))
}

/// The state service's own count: what it refuses.
struct Service {
    rate: f64,
    level: f64,
    at: Micros,
}

impl Service {
    fn new(rate: f64) -> Service {
        Service {
            rate,
            level: rate,
            at: Micros::ZERO,
        }
    }

    fn takes(&mut self, n: f64, now: Micros) -> bool {
        self.level = (self.level + self.rate * (now - self.at).as_secs_f64()).min(self.rate);
        self.at = now;
        let ok = self.level >= n;
        if ok {
            self.level -= n;
        }
        ok
    }
}

fn importance(n: u8) -> RequestPriority {
    RequestPriority::ALL[n as usize % 6]
}

proptest! {
    /// Whatever the nodes are asked to send and when, the service refuses nothing that they let through.
    #[test]
    fn parts_never_exceed_the_limit(events in prop::collection::vec((0u64..40_000, 0usize..3, 0u8..6, 1u32..5), 1..2000)) {
        let mut nodes: Vec<RateLimiter> = (0..3).map(|_| RateLimiter::new(REQUESTS, Micros::ZERO)).collect();
        let mut service = Service::new(REQUESTS.per_second);
        let mut now = Micros::ZERO;
        for (pause, node, class, n) in events {
            now += Micros(pause);
            if nodes[node].take(importance(class), n, now).is_ok() {
                prop_assert!(service.takes(f64::from(n), now), "refused at {now:?}");
            }
        }
    }

    /// A flood of anything less important never keeps a lease's renewal waiting.
    #[test]
    fn vital_always_finds_room(class in 1u8..6, offered in 1u32..200) {
        let mut pace = RateLimiter::new(REQUESTS, Micros::ZERO);
        for ms in 0..5_000u64 {
            let now = Micros::from_millis(ms);
            for _ in 0..offered {
                let _ = pace.take(importance(class), 1, now);
            }
            if ms % 500 == 0 {
                for _ in 0..4 {
                    prop_assert!(pace.take(RequestPriority::Critical, 1, now).is_ok(), "at {ms} ms");
                }
            }
        }
    }

    /// The records' need and all nodes' shares together stay within the changes, when nobody has
    /// heard of the leader, and when all have heard the same.
    #[test]
    fn shares_and_need_fit(write_demand in 0.0f64..200.0, heard in any::<bool>()) {
        let mut share = RateShare::new(CHANGES);
        if heard {
            share.heard(write_demand, Micros::ZERO);
        }
        let write_demand = if heard { write_demand.min(CHANGES.per_second * 0.5) } else { CHANGES.per_second * 0.5 };
        let all = share.rate(Micros::from_secs(1)) * 3.0 + write_demand;
        prop_assert!(all <= CHANGES.per_second, "{all}");
    }

    /// For any order, loss, delay and repetition of messages the nodes together never spend more than
    /// what is given out, and each keeps a floor of its own.
    #[test]
    fn loans_never_count_twice(events in prop::collection::vec((0u64..400_000, 0usize..3, 0usize..2, 0u8..6, 0.0f64..60.0), 1..1500)) {
        // Whose peer number `p` of node `n` is, and which peer of that one `n` is.
        let other = |n: usize, p: usize| { let o = [[1, 2], [0, 2], [0, 1]][n][p]; (o, usize::from(n > [[2, 1], [2, 0], [1, 0]][n][p])) };
        let mut nodes: Vec<RateShare> = (0..3).map(|_| RateShare::new(CHANGES)).collect();
        let part = nodes[0].part(Micros::ZERO);
        let mut asked: Vec<(usize, usize, Micros, f64)> = Vec::new();
        let mut answers: Vec<(usize, usize, Micros, f64)> = Vec::new();
        let mut now = Micros::from_secs(10);
        for (pause, n, p, what, amount) in events {
            now += Micros(pause);
            match what {
                0 | 1 => asked.push((n, p, now, amount)),
                // Delivered in any order, perhaps more than once.
                2 | 3 if !asked.is_empty() => {
                    let (n, p, sent, wants) = asked[(amount * 1e6) as usize % asked.len()];
                    let (o, back) = other(n, p);
                    let lent = nodes[o].lend(back, wants, amount / 20.0, amount > 55.0, now);
                    answers.push((n, p, sent, lent));
                }
                4 | 5 if !answers.is_empty() => {
                    let (n, p, sent, lent) = answers[(amount * 1e6) as usize % answers.len()];
                    nodes[n].borrowed(p, lent, sent);
                }
                _ => {}
            }
            let rates: Vec<f64> = nodes.iter().map(|s| s.rate(now)).collect();
            prop_assert!(rates.iter().sum::<f64>() <= part * 3.0 + 1e-6, "{rates:?}");
            prop_assert!(rates.iter().all(|r| *r >= part * 0.29), "{rates:?}");
        }
    }

    /// Those refused are told to come back no faster than the gate lets in, and none beyond what users wait.
    #[test]
    fn the_line_moves_at_the_rate(rate in 1.0f64..50.0, many in 1usize..1500) {
        let mut gate = AdmissionGate::new(rate, &[true], 0, Micros::ZERO);
        let mut told = [0usize; 31];
        for n in 0..many {
            if let Err(after) = gate.enter(&job(n), 0, Micros::ZERO) {
                prop_assert!((1..=30).contains(&after.0));
                told[after.0 as usize] += 1;
            }
        }
        // The last place gathers all that the line has no place for.
        for (s, n) in told.iter().enumerate().take(30) {
            prop_assert!(*n as f64 <= rate.ceil() + 1.0, "{n} come back after {s} s at {rate} a second");
        }
    }
}

#[test]
fn a_word_counts_from_when_it_was_asked_for() {
    let mut share = RateShare::new(CHANGES);
    let safe = share.rate(Micros::ZERO);
    share.heard(1.0, Micros::from_secs(1));
    assert!(share.rate(Micros::from_millis(3_400)) > safe);
    // The answer may have taken two seconds: it holds no longer for that.
    assert!((share.rate(Micros::from_millis(3_500)) - safe).abs() < 1e-9);
    // An older word that comes later changes nothing.
    share.heard(0.0, Micros::ZERO);
    assert!((share.rate(Micros::from_millis(3_600)) - safe).abs() < 1e-9);
}

#[test]
fn a_line_that_nobody_joins_is_gone() {
    let mut gate = AdmissionGate::new(10.0, &[true], 0, Micros::ZERO);
    for n in 0..60 {
        let _ = gate.enter(&job(n), 0, Micros::ZERO);
    }
    assert_eq!(gate.line(Micros::ZERO), Micros::from_secs(5));
    // Nobody comes back: their places are given up.
    assert_eq!(gate.line(Micros::from_secs(12)), Micros::ZERO);
    assert!(gate.enter(&job(60), 0, Micros::from_secs(12)).is_ok());
}

#[test]
fn the_need_follows_what_is_written_and_rises_at_once() {
    let mut write_demand = WriteDemand::new(CHANGES, Micros::ZERO);
    for ms in 0..30u64 {
        write_demand.wrote(1, Micros::from_millis(ms * 100));
    }
    let rate = write_demand.rate(Micros::from_secs(3));
    assert!((8.0..=16.0).contains(&rate), "{rate}");
    write_demand.short(Micros::from_secs(3));
    assert_eq!(write_demand.rate(Micros::from_secs(3)), 25.0);
    assert!(write_demand.rate(Micros::from_secs(30)) < 2.0);
}

/// Users of two teams at one gate: `offers[t]` jobs a second of team `t`, each tried as told for a minute. Returns
/// by team: accepted, given up, and the longest wait of those accepted.
fn crowd(gate: &mut AdmissionGate, offers: [usize; 2], seconds: u64) -> [(usize, usize, f64); 2] {
    let mut tries: std::collections::BTreeMap<(Micros, usize), (usize, Micros)> =
        Default::default();
    let mut n = 0;
    for ms in 0..seconds * 1000 {
        for (team, per_second) in offers.iter().enumerate() {
            if ms * *per_second as u64 % 1000 < *per_second as u64 {
                n += 1;
                tries.insert(
                    (Micros::from_millis(ms), n),
                    (team, Micros::from_millis(ms)),
                );
            }
        }
    }
    let mut ends = [(0, 0, 0.0f64); 2];
    while let Some(((now, n), (team, first))) = tries.pop_first() {
        match gate.enter(&job(n), team, now) {
            Ok(()) => {
                ends[team].0 += 1;
                ends[team].2 = ends[team].2.max((now - first).as_secs_f64());
            }
            Err(after) => {
                // Told in whole seconds, on its way for some milliseconds.
                let again = now + Micros::from_secs(u64::from(after.0)) + Micros::from_millis(20);
                if again < first + Micros::from_secs(60) {
                    tries.insert((again, n), (team, first));
                } else {
                    ends[team].1 += 1;
                }
            }
        }
    }
    ends
}

#[test]
fn a_team_that_offers_ten_times_as_much_makes_no_line_for_others() {
    let mut gate = AdmissionGate::new(10.0, &[true, true], 0, Micros::ZERO);
    let [(hot, _, _), (other, gave_up, waited)] = crowd(&mut gate, [40, 4], 60);
    assert_eq!((other, gave_up), (240, 0));
    assert!(waited < 3.0, "{waited}");
    // What the other does not use the hot one gets.
    assert!(hot >= 340, "{hot}");
}

#[test]
fn who_comes_back_as_told_is_not_overtaken_until_it_gives_up() {
    // A third more than there is room for, for forty seconds: all are let in, in the order in which they came.
    let mut gate = AdmissionGate::new(9.0, &[true, true], 0, Micros::ZERO);
    let ends = crowd(&mut gate, [6, 6], 40);
    assert_eq!((ends[0].1, ends[1].1), (0, 0));
    assert!(ends.iter().all(|e| e.2 < 25.0), "{ends:?}");
}

#[test]
fn a_guest_gets_a_part_however_much_others_offer() {
    let mut gate = AdmissionGate::new(10.0, &[true, false], 0, Micros::ZERO);
    let [_, (guest, _, _)] = crowd(&mut gate, [60, 2], 60);
    assert!(guest >= 110, "{guest}");
}
