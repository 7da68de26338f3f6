//! Predicts when running tasks will have released enough resources.

use crate::distribution::Distribution;

/// A running task and the resources that it releases when it ends.
#[derive(Debug, Clone, Copy)]
pub struct ReleasingTask {
    /// Distribution of its total run time.
    pub run_time: Distribution,
    /// Elapsed run time, in seconds.
    pub elapsed_s: f64,
    /// Amount released when the task ends, in the unit of `free` and `need`.
    pub amount: f64,
}

/// Number of quasi-Monte Carlo samples; each draws a remaining time for every task.
const SAMPLES: usize = 101;
/// Maximum number of tasks considered, in order of expected end.
const MAX_TASKS: usize = 512;

/// Returns the time in seconds until `need` is available, given that `free` is available now: the
/// median and the 90th percentile over samples of the tasks' remaining times. Returns `None` if the
/// considered tasks together do not release enough.
///
/// Samples come from a fixed low-discrepancy sequence, so the result is deterministic.
pub fn time_until_free(tasks: &[ReleasingTask], free: f64, need: f64) -> Option<(f64, f64)> {
    if free >= need - 1e-9 {
        return Some((0.0, 0.0));
    }
    let mut by_expected_end: Vec<(f64, &ReleasingTask)> = tasks
        .iter()
        .map(|t| (t.run_time.remaining_quantile(t.elapsed_s, 0.5), t))
        .collect();
    by_expected_end.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut released = 0.0;
    let soonest = by_expected_end.iter().take_while(|(_, t)| {
        let below_target = released < 3.0 * (need - free);
        released += t.amount;
        below_target
    });
    let considered: Vec<&ReleasingTask> = soonest.map(|(_, t)| *t).take(MAX_TASKS.max(1)).collect();
    let total: f64 = considered.iter().map(|t| t.amount).sum();
    if total + free < need - 1e-9 {
        return None;
    }
    let mut times = Vec::with_capacity(SAMPLES);
    let mut sample = 0.5f64;
    for _ in 0..SAMPLES {
        let mut ends: Vec<(f64, f64)> = considered
            .iter()
            .map(|t| {
                sample = (sample + 0.618_033_988_75).fract();
                (t.run_time.remaining_quantile(t.elapsed_s, sample), t.amount)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut available = free;
        let reached = ends.iter().find(|(_, amount)| {
            available += amount;
            available >= need - 1e-9
        });
        times.push(reached.map_or(f64::INFINITY, |(t, _)| *t));
    }
    times.sort_by(f64::total_cmp);
    Some((times[SAMPLES / 2], times[SAMPLES * 9 / 10]))
}
