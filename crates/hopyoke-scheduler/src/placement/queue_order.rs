//! The order of a tenant's own jobs: by their remaining work against their wait.
//!
//! By age alone, a tenant that offers more than its limit allows has few jobs served: the large ones that came first hold
//! all its room, and those behind them wait for longer than they would have run. By size alone the large ones would
//! never run. The ratio of both serves most jobs, and bounds how long newcomers can overtake one that waits.

use hopyoke_types::Micros;
use std::collections::BTreeMap;

/// A job with unplaced tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingJob<T> {
    /// Only jobs of the same tenant change positions.
    pub tenant: T,
    /// Estimated task time of its unplaced tasks, in seconds; not negative, 0 if unknown.
    pub work_s: f64,
    /// Time since its acceptance.
    pub waited: Micros,
}

/// Added to every wait, so that a new job has a finite ratio.
const WAIT_OFFSET: Micros = Micros::from_secs(10);
/// Jobs smaller than the tenant's largest job divided by this count as of that size.
const SIZE_RANGE: f64 = 64.0;

/// After this wait a job is no longer overtaken by newcomers of the same tenant, whatever their sizes.
pub const MAX_OVERTAKING_WAIT: Micros = Micros(WAIT_OFFSET.0 * (SIZE_RANGE as u64 - 1));

/// The order of the jobs: `order[i]` is the index of the job that gets the i-th position.
///
/// `jobs` are in order of age, or of what decides between tenants. The set of positions that a tenant's jobs hold stays
/// the same; within it the job with the least work for its wait comes first, and among equals the earlier one. Work that
/// is not a finite number counts as none.
#[must_use]
pub fn order_within_tenants<T: Ord + Copy>(jobs: &[WaitingJob<T>]) -> Vec<usize> {
    let mut positions: BTreeMap<T, Vec<usize>> = BTreeMap::new();
    for (i, job) in jobs.iter().enumerate() {
        positions.entry(job.tenant).or_default().push(i);
    }
    let mut order = vec![0; jobs.len()];
    for own_positions in positions.into_values() {
        let work = |i: &usize| {
            if jobs[*i].work_s.is_finite() {
                jobs[*i].work_s.max(0.0)
            } else {
                0.0
            }
        };
        let largest = own_positions.iter().map(work).fold(0.0, f64::max);
        let min_work = (largest / SIZE_RANGE).max(f64::MIN_POSITIVE);
        let ratio = |i: &usize| {
            let waited = (jobs[*i].waited + WAIT_OFFSET).as_secs_f64();
            work(i).max(min_work) / waited
        };
        let mut queue: Vec<(f64, usize)> = own_positions.iter().map(|i| (ratio(i), *i)).collect();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (position, (_, job)) in own_positions.into_iter().zip(queue) {
            order[position] = job;
        }
    }
    order
}
