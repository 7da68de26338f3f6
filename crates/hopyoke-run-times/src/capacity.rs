//! When running tasks will have made room.

use crate::distribution::Distribution;

/// One task that will free something.
#[derive(Debug, Clone, Copy)]
pub struct Freeing {
    pub run: Distribution,
    /// Seconds that it has run.
    pub ran_s: f64,
    /// What its end frees.
    pub amount: f64,
}

/// Draws made; each is one way in which all running tasks might go on.
const DRAWS: usize = 101;
/// Of very many tasks, those that are expected to end first are looked at.
const MOST_TASKS: usize = 512;

/// After how many seconds `need` is free, given what is free already: the median and the 90th
/// percentile over draws of how all tasks go on. `None`: the tasks will never free that much.
///
/// Draws are a fixed sequence, so that the same question has the same answer.
pub fn when_free(tasks: &[Freeing], free: f64, need: f64) -> Option<(f64, f64)> {
    if free >= need - 1e-9 {
        return Some((0.0, 0.0));
    }
    let mut order: Vec<(f64, &Freeing)> = tasks
        .iter()
        .map(|t| (t.run.remaining(t.ran_s, 0.5), t))
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut enough = 0.0;
    let within = order.iter().take_while(|(_, t)| {
        let more = enough < 3.0 * (need - free);
        enough += t.amount;
        more
    });
    let looked: Vec<&Freeing> = within.map(|(_, t)| *t).take(MOST_TASKS.max(1)).collect();
    let total: f64 = looked.iter().map(|t| t.amount).sum();
    if total + free < need - 1e-9 {
        return None;
    }
    let mut times = Vec::with_capacity(DRAWS);
    let mut turn = 0.5f64;
    for _ in 0..DRAWS {
        let mut ends: Vec<(f64, f64)> = looked
            .iter()
            .map(|t| {
                turn = (turn + 0.618_033_988_75).fract();
                (t.run.remaining(t.ran_s, turn), t.amount)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sum = free;
        let reached = ends.iter().find(|(_, amount)| {
            sum += amount;
            sum >= need - 1e-9
        });
        times.push(reached.map_or(f64::INFINITY, |(t, _)| *t));
    }
    times.sort_by(f64::total_cmp);
    Some((times[DRAWS / 2], times[DRAWS * 9 / 10]))
}
