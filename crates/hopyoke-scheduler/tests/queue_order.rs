//! The order inside a tenant: most jobs are served, none starves, and other tenants are not affected.

use hopyoke_scheduler::placement::queue_order::{
    MAX_OVERTAKING_WAIT, WaitingJob, order_within_tenants,
};
use hopyoke_types::Micros;
use proptest::prelude::*;

fn job(tenant: u8, work_s: f64, waited_s: u64) -> WaitingJob<u8> {
    WaitingJob {
        tenant,
        work_s,
        waited: Micros::from_secs(waited_s),
    }
}

#[test]
fn the_smaller_of_the_same_age_comes_first() {
    assert_eq!(
        order_within_tenants(&[job(0, 900.0, 5), job(0, 30.0, 5)]),
        [1, 0]
    );
}

#[test]
fn equals_keep_their_order() {
    assert_eq!(
        order_within_tenants(&[job(0, 30.0, 5), job(0, 30.0, 5), job(0, 30.0, 5)]),
        [0, 1, 2]
    );
    assert_eq!(
        order_within_tenants(&[job(0, 0.0, 0), job(0, 0.0, 0)]),
        [0, 1]
    );
}

/// A burst of ten times what can be served, as large jobs as small: by age a half is served at most.
#[test]
fn most_of_a_burst_are_served() {
    let works = |i: u64| [300.0, 900.0, 2_000.0, 6_000.0][(i % 4) as usize];
    let served = |in_turn: bool| {
        let mut left: Vec<(u64, f64)> = Vec::new();
        let (mut done, mut came) = (0, 0);
        for now in 0..600 {
            left.push((now, works(now)));
            came += 1;
            let mut room = 500.0;
            while room > 0.0 && !left.is_empty() {
                let waiting: Vec<WaitingJob<u8>> =
                    left.iter().map(|(at, w)| job(0, *w, now - at)).collect();
                let first = if in_turn {
                    order_within_tenants(&waiting)[0]
                } else {
                    0
                };
                let took = left[first].1.min(room);
                room -= took;
                left[first].1 -= took;
                if left[first].1 <= 0.0 {
                    left.remove(first);
                    done += 1;
                }
            }
        }
        f64::from(done) / f64::from(came)
    };
    assert!(served(false) < 0.3, "by age {}", served(false));
    assert!(served(true) > 0.5, "in turn {}", served(true));
}

proptest! {
    /// Each job gets one position, and one that its own tenant held.
    #[test]
    fn tenants_keep_their_positions(jobs in prop::collection::vec((0u8..4, any::<f64>(), 0u64..100_000), 0..40)) {
        let jobs: Vec<_> = jobs.into_iter().map(|(t, w, s)| job(t, w, s)).collect();
        let order = order_within_tenants(&jobs);
        let mut seen = order.clone();
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..jobs.len()).collect::<Vec<_>>());
        for (position, job) in order.iter().enumerate() {
            prop_assert_eq!(jobs[position].tenant, jobs[*job].tenant);
        }
    }

    /// No new job overtakes one that has waited for the stated bound.
    #[test]
    fn no_job_starves(works in prop::collection::vec(0.0f64..1e9, 1..30), old in 0.0f64..1e9, over in 0u64..1000) {
        let mut jobs = vec![WaitingJob { tenant: 0u8, work_s: old, waited: MAX_OVERTAKING_WAIT + Micros::from_secs(over) }];
        jobs.extend(works.iter().map(|w| job(0, *w, 0)));
        prop_assert_eq!(order_within_tenants(&jobs)[0], 0);
    }
}
