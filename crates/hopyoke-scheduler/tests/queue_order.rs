//! Tests of the queue order within a tenant: most jobs complete, none starves, and other tenants are not
//! affected.

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
fn smaller_of_two_jobs_of_equal_age_comes_first() {
    assert_eq!(
        order_within_tenants(&[job(0, 900.0, 5), job(0, 30.0, 5)]),
        [1, 0]
    );
}

#[test]
fn equal_jobs_keep_their_order() {
    assert_eq!(
        order_within_tenants(&[job(0, 30.0, 5), job(0, 30.0, 5), job(0, 30.0, 5)]),
        [0, 1, 2]
    );
    assert_eq!(
        order_within_tenants(&[job(0, 0.0, 0), job(0, 0.0, 0)]),
        [0, 1]
    );
}

/// Tests that most jobs complete under an overload in which few would complete in the order of age.
#[test]
fn most_jobs_of_an_overload_complete() {
    let work_s = |i: u64| [300.0, 900.0, 2_000.0, 6_000.0][(i % 4) as usize];
    let completed_share = |by_ratio: bool| {
        let mut queue: Vec<(u64, f64)> = Vec::new();
        let (mut completed, mut submitted) = (0, 0);
        for now in 0..600 {
            queue.push((now, work_s(now)));
            submitted += 1;
            let mut capacity = 500.0;
            while capacity > 0.0 && !queue.is_empty() {
                let waiting: Vec<WaitingJob<u8>> =
                    queue.iter().map(|(at, w)| job(0, *w, now - at)).collect();
                let first = if by_ratio {
                    order_within_tenants(&waiting)[0]
                } else {
                    0
                };
                let used = queue[first].1.min(capacity);
                capacity -= used;
                queue[first].1 -= used;
                if queue[first].1 <= 0.0 {
                    queue.remove(first);
                    completed += 1;
                }
            }
        }
        f64::from(completed) / f64::from(submitted)
    };
    assert!(
        completed_share(false) < 0.3,
        "{} completed by age",
        completed_share(false)
    );
    assert!(
        completed_share(true) > 0.5,
        "{} completed by ratio",
        completed_share(true)
    );
}

proptest! {
    /// Tests that each job gets one position, among those of its own tenant.
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

    /// Tests that no new job overtakes one that has waited for [`MAX_OVERTAKING_WAIT`].
    #[test]
    fn no_job_starves(works in prop::collection::vec(0.0f64..1e9, 1..30), old in 0.0f64..1e9, over in 0u64..1000) {
        let mut jobs = vec![WaitingJob { tenant: 0u8, work_s: old, waited: MAX_OVERTAKING_WAIT + Micros::from_secs(over) }];
        jobs.extend(works.iter().map(|w| job(0, *w, 0)));
        prop_assert_eq!(order_within_tenants(&jobs)[0], 0);
    }
}
