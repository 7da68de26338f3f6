//! Accuracy of predicted completion times in a replay, per class and over all jobs.

use crate::replay::{JobOutcome, ReplayResult};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Prediction accuracy of one class, or of all jobs.
#[derive(Debug, Clone, Default)]
pub struct Accuracy {
    pub name: String,
    pub jobs: usize,
    /// Percentage of jobs that finished within the predicted band from p10 to p90; `early` and `late`
    /// count those that finished before and after it.
    pub in_band: f64,
    pub early: f64,
    pub late: f64,
    /// Median of |predicted p50 - completion time| / run time, in percent; `estimate_error` is the median
    /// error of the submitted run time estimates.
    pub median_error: f64,
    pub estimate_error: f64,
    /// Median width of the band relative to the run time, in percent.
    pub band_width: f64,
}

/// How fast predictions of a class adapted to a change of its run times.
#[derive(Debug, Clone)]
pub struct Recovery {
    pub class: String,
    pub changed_at_s: f64,
    /// Completions until the error was back at the baseline; `None` if it was not within 40.
    pub completions: Option<usize>,
    /// Median error before the change, in percent.
    pub baseline_error: f64,
}

/// Accuracy of a replay.
#[derive(Debug, Clone, Default)]
pub struct AccuracyReport {
    pub rows: Vec<Accuracy>,
    pub recoveries: Vec<Recovery>,
}

pub(crate) fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v.get(v.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the distance of the predicted p50 from the completion time, relative to the run time.
pub(crate) fn relative_error(o: &JobOutcome) -> f64 {
    (o.p50_s - o.finished_s).abs() / o.run_time_s
}

fn accuracy(name: &str, all: &[&JobOutcome]) -> Accuracy {
    let share = |f: &dyn Fn(&JobOutcome) -> bool| {
        100.0 * all.iter().filter(|o| f(o)).count() as f64 / all.len().max(1) as f64
    };
    let estimated = all.iter().filter(|o| o.estimate_s > 0.0);
    Accuracy {
        name: name.to_owned(),
        jobs: all.len(),
        in_band: share(&|o| o.p10_s <= o.finished_s && o.finished_s <= o.p90_s),
        early: share(&|o| o.finished_s < o.p10_s),
        late: share(&|o| o.finished_s > o.p90_s),
        median_error: 100.0 * median(all.iter().map(|o| relative_error(o)).collect()),
        estimate_error: 100.0
            * median(
                estimated
                    .map(|o| (o.estimate_s - o.run_time_s).abs() / o.run_time_s)
                    .collect(),
            ),
        band_width: 100.0
            * median(
                all.iter()
                    .map(|o| (o.p90_s - o.p10_s) / o.run_time_s)
                    .collect(),
            ),
    }
}

/// Computes the accuracy over all jobs and per class, and the recovery of each changed class. Times in
/// `changes` are in seconds since the first submission.
pub fn measure_accuracy(result: &ReplayResult, changes: &[(String, f64)]) -> AccuracyReport {
    let all: Vec<&JobOutcome> = result.outcomes.iter().collect();
    let mut classes: BTreeMap<&str, Vec<&JobOutcome>> = BTreeMap::new();
    for o in &all {
        classes.entry(&o.class).or_default().push(o);
    }
    let mut rows = vec![accuracy("all", &all)];
    rows.extend(
        classes
            .iter()
            .map(|(name, outcomes)| accuracy(name, outcomes)),
    );
    let first = all
        .iter()
        .map(|o| o.submitted_s)
        .fold(f64::INFINITY, f64::min);
    let recover = |(class, at): &(String, f64)| {
        measure_recovery(class, first + at, classes.get(class.as_str())?)
    };
    AccuracyReport {
        rows,
        recoveries: changes.iter().filter_map(recover).collect(),
    }
}

/// Counts completions of changed runs until predictions are as accurate as before the change.
fn measure_recovery(class: &str, changed_at_s: f64, outcomes: &[&JobOutcome]) -> Option<Recovery> {
    let errors_before: Vec<f64> = outcomes
        .iter()
        .filter(|o| o.finished_s < changed_at_s)
        .map(|o| relative_error(o))
        .collect();
    let baseline_error = median(errors_before[errors_before.len().saturating_sub(300)..].to_vec());
    let mut ends: Vec<f64> = outcomes
        .iter()
        .filter(|o| o.submitted_s >= changed_at_s)
        .map(|o| o.finished_s)
        .collect();
    ends.sort_by(f64::total_cmp);
    // Median over the 15 predictions that follow the k-th completion. The sample is small, so an error
    // of up to 1.5 times the baseline counts as recovered.
    let error_after = |k: usize| {
        let from = if k == 0 {
            changed_at_s
        } else {
            *ends.get(k - 1)?
        };
        let later = outcomes
            .iter()
            .filter(|o| o.submitted_s >= changed_at_s && o.predicted_at_s >= from);
        Some(median(later.take(15).map(|o| relative_error(o)).collect()))
    };
    let completions = (0..40).find(|k| error_after(*k).is_some_and(|e| e <= baseline_error * 1.5));
    Some(Recovery {
        class: class.to_owned(),
        changed_at_s,
        completions,
        baseline_error: 100.0 * baseline_error,
    })
}

impl AccuracyReport {
    /// Returns the accuracy over all jobs.
    pub fn all(&self) -> &Accuracy {
        &self.rows[0]
    }

    /// Formats the report as a plain-text table.
    pub fn table(&self) -> String {
        let mut out = format!(
            "{:<10} {:>6} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8}\n",
            "class", "jobs", "in band %", "before", "after", "error %", "est. %", "width %"
        );
        for r in &self.rows {
            let _ = writeln!(
                out,
                "{:<10} {:>6} {:>9.1} {:>8.1} {:>8.1} {:>9.1} {:>9.1} {:>8.0}",
                r.name,
                r.jobs,
                r.in_band,
                r.early,
                r.late,
                r.median_error,
                r.estimate_error,
                r.band_width
            );
        }
        for r in &self.recoveries {
            let when = r
                .completions
                .map_or("not within 40".to_owned(), |k| format!("after {k}"));
            let _ = writeln!(
                out,
                "{} changed at {:.0} s: error back at baseline {when} completions",
                r.class, r.changed_at_s
            );
        }
        out
    }
}
