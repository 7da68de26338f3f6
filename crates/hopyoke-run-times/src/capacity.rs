//! When running tasks will have released enough resources.

use crate::distribution::Distribution;

/// A running task, and what its end releases.
#[derive(Debug, Clone, Copy)]
pub struct ReleasingTask {
    /// Its run time.
    pub run_time: Distribution,
    /// Seconds that it has run so far.
    pub elapsed_s: f64,
    /// Amount that its end releases, in the unit of the question.
    pub amount: f64,
}

/// Number of samples; each draws the remaining time of every task.
const SAMPLES: usize = 101;
/// Of more tasks, those that are expected to end first are considered.
const MAX_TASKS: usize = 512;

/// Seconds until `need` is free, given what is free already: the median and the 90th percentile over
/// samples of the tasks' remaining times. `None`: the tasks will never release that much.
///
/// Samples are a fixed sequence, so that the same question has the same answer.
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
        let is_short = released < 3.0 * (need - free);
        released += t.amount;
        is_short
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
