//! The order of a tenant's jobs by the ratio of remaining work to waiting time.
//!
//! When a tenant submits more than its limit allows, ordering by age serves few jobs: large early
//! jobs occupy the whole limit while small ones wait longer than they would run. Ordering by size
//! starves the large jobs. The ratio serves most jobs and bounds the time for which newer jobs can
//! overtake an older one.

use hopyoke_types::Micros;
use std::collections::BTreeMap;

/// A job with unplaced tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingJob<T> {
    /// Key of the tenant. Only jobs of the same tenant are reordered.
    pub tenant: T,
    /// Estimated run time of the unplaced tasks in seconds, summed over tasks. Not negative; 0 if
    /// unknown.
    pub work_s: f64,
    /// Time since the job was accepted.
    pub waited: Micros,
}

/// Offset added to every waiting time, so that the ratio of a new job is finite.
const WAIT_OFFSET: Micros = Micros::from_secs(10);
/// Ratio of the largest to the smallest job size that the order distinguishes; smaller jobs count
/// as of the smallest size.
const SIZE_RANGE: f64 = 64.0;

/// Waiting time after which newer jobs of the same tenant no longer overtake a job, regardless of
/// their sizes.
pub const MAX_OVERTAKING_WAIT: Micros = Micros(WAIT_OFFSET.0 * (SIZE_RANGE as u64 - 1));

/// Returns the order of the jobs: `order[i]` is the index of the job at position `i`.
///
/// `jobs` must be sorted by age, or by the order between tenants. Each tenant keeps the set
/// of positions that its jobs hold. Within that set the job with the lowest ratio of work to
/// waiting time comes first; ties keep their order. A value of `work_s` that is not finite counts
/// as 0.
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
