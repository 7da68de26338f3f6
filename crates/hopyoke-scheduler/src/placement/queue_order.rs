//! The order of a tenant's own jobs: by what is left of them against how long they have waited.
//!
//! By age alone, a tenant that offers more than its limit lets run serves few jobs: the large ones
//! that came first hold all its room, and everybody behind them waits for longer than it would have
//! run. By size alone the large ones would never run. The ratio of both serves most jobs, and bounds
//! how long a newcomer can go ahead of one that waits.

use hopyoke_types::Micros;
use std::collections::BTreeMap;

/// One job that waits for room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting<T> {
    /// Only jobs of the same tenant change places.
    pub tenant: T,
    /// Seconds of task time that have no place yet; not negative, 0 for unknown.
    pub work_s: f64,
    /// How long it has waited.
    pub waited: Micros,
}

/// A job that came just now counts as having waited for this long.
const HEAD_START: Micros = Micros::from_secs(10);
/// Jobs smaller than this part of the tenant's largest count as this large.
const SPAN: f64 = 64.0;

/// After this no job that comes later goes ahead of one of the same tenant, whatever their sizes.
pub const MOST_WAIT: Micros = Micros(HEAD_START.0 * (SPAN as u64 - 1));

/// The order in which jobs take their turns: `order[i]` is the job that takes the place of the i-th.
///
/// `jobs` are in the order of their age, or of whatever decides between tenants. Each tenant's jobs share the
/// places that they hold together; within them the one with the least work for its wait comes first, and among
/// equals the earlier one. What is not a number counts as no work.
pub fn take_turns<T: Ord + Copy>(jobs: &[Waiting<T>]) -> Vec<usize> {
    let mut places: BTreeMap<T, Vec<usize>> = BTreeMap::new();
    for (i, job) in jobs.iter().enumerate() {
        places.entry(job.tenant).or_default().push(i);
    }
    let mut order = vec![0; jobs.len()];
    for own in places.into_values() {
        let work = |i: &usize| {
            if jobs[*i].work_s.is_finite() {
                jobs[*i].work_s.max(0.0)
            } else {
                0.0
            }
        };
        let largest = own.iter().map(work).fold(0.0, f64::max);
        let least = (largest / SPAN).max(f64::MIN_POSITIVE);
        let ratio = |i: &usize| {
            let waited = (jobs[*i].waited + HEAD_START).as_secs_f64();
            work(i).max(least) / waited
        };
        let mut queue: Vec<(f64, usize)> = own.iter().map(|i| (ratio(i), *i)).collect();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (place, (_, job)) in own.into_iter().zip(queue) {
            order[place] = job;
        }
    }
    order
}
