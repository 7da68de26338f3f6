//! What came out of a replay, in numbers.

use crate::replay::{Outcome, Replayed};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Figures of one class, or of all.
#[derive(Debug, Clone, Default)]
pub struct Row {
    pub name: String,
    pub jobs: usize,
    /// Shares of ends inside the band from p10 to p90, before it, and after it; in hundredths.
    pub inside: f64,
    pub before: f64,
    pub after: f64,
    /// The median of |predicted p50 - end| / run time, in hundredths, and the owner's.
    pub error: f64,
    pub owner_error: f64,
    /// The median width of the band over the run time, in hundredths.
    pub width: f64,
}

/// How a class came through a change of its runs.
#[derive(Debug, Clone)]
pub struct Recovery {
    pub class: String,
    pub at_s: f64,
    /// After this many completions the error is ordinary again; `None`: not in 40.
    pub completions: Option<usize>,
    /// The median error before the change, in hundredths.
    pub ordinary: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub rows: Vec<Row>,
    pub recoveries: Vec<Recovery>,
}

pub(crate) fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v.get(v.len() / 2).copied().unwrap_or(f64::NAN)
}

pub(crate) fn error(o: &Outcome) -> f64 {
    (o.p50_s - o.finished_s).abs() / o.ran_s
}

fn row(name: &str, all: &[&Outcome]) -> Row {
    let share = |f: &dyn Fn(&Outcome) -> bool| {
        100.0 * all.iter().filter(|o| f(o)).count() as f64 / all.len().max(1) as f64
    };
    let guessed = all.iter().filter(|o| o.guess_s > 0.0);
    Row {
        name: name.to_owned(),
        jobs: all.len(),
        inside: share(&|o| o.p10_s <= o.finished_s && o.finished_s <= o.p90_s),
        before: share(&|o| o.finished_s < o.p10_s),
        after: share(&|o| o.finished_s > o.p90_s),
        error: 100.0 * median(all.iter().map(|o| error(o)).collect()),
        owner_error: 100.0
            * median(
                guessed
                    .map(|o| (o.guess_s - o.ran_s).abs() / o.ran_s)
                    .collect(),
            ),
        width: 100.0 * median(all.iter().map(|o| (o.p90_s - o.p10_s) / o.ran_s).collect()),
    }
}

/// Figures of all and of each class; `changes` are classes with the time of a change, counted
/// from the first submission.
pub fn figures(replayed: &Replayed, changes: &[(String, f64)]) -> Figures {
    let all: Vec<&Outcome> = replayed.outcomes.iter().collect();
    let mut classes: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for o in &all {
        classes.entry(&o.class).or_default().push(o);
    }
    let mut rows = vec![row("all", &all)];
    rows.extend(classes.iter().map(|(name, of)| row(name, of)));
    let first = all
        .iter()
        .map(|o| o.submitted_s)
        .fold(f64::INFINITY, f64::min);
    let recover =
        |(class, at): &(String, f64)| recovery(class, first + at, classes.get(class.as_str())?);
    Figures {
        rows,
        recoveries: changes.iter().filter_map(recover).collect(),
    }
}

/// After how many completions of changed runs predictions are as good as before.
fn recovery(class: &str, at_s: f64, of: &[&Outcome]) -> Option<Recovery> {
    let before: Vec<f64> = of
        .iter()
        .filter(|o| o.finished_s < at_s)
        .map(|o| error(o))
        .collect();
    let ordinary = median(before[before.len().saturating_sub(300)..].to_vec());
    let mut ends: Vec<f64> = of
        .iter()
        .filter(|o| o.submitted_s >= at_s)
        .map(|o| o.finished_s)
        .collect();
    ends.sort_by(f64::total_cmp);
    // Fifteen predictions made next after so many completions; ordinary is up to half more than
    // the median before, for fifteen are few.
    let next = |k: usize| {
        let from = if k == 0 { at_s } else { *ends.get(k - 1)? };
        let later = of
            .iter()
            .filter(|o| o.submitted_s >= at_s && o.predicted_at_s >= from);
        Some(median(later.take(15).map(|o| error(o)).collect()))
    };
    let completions = (0..40).find(|k| next(*k).is_some_and(|e| e <= ordinary * 1.5));
    Some(Recovery {
        class: class.to_owned(),
        at_s,
        completions,
        ordinary: 100.0 * ordinary,
    })
}

impl Figures {
    /// All jobs together.
    pub fn all(&self) -> &Row {
        &self.rows[0]
    }

    /// As a table for a terminal.
    pub fn table(&self) -> String {
        let mut out = format!(
            "{:<10} {:>6} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8}\n",
            "class", "jobs", "inside %", "before", "after", "error %", "owner's", "width %"
        );
        for r in &self.rows {
            let _ = writeln!(
                out,
                "{:<10} {:>6} {:>9.1} {:>8.1} {:>8.1} {:>9.1} {:>9.1} {:>8.0}",
                r.name, r.jobs, r.inside, r.before, r.after, r.error, r.owner_error, r.width
            );
        }
        for r in &self.recoveries {
            let when = r
                .completions
                .map_or("not within 40".to_owned(), |k| format!("after {k}"));
            let _ = writeln!(
                out,
                "{} changed at {:.0} s: predictions as before {when} completions",
                r.class, r.at_s
            );
        }
        out
    }
}
