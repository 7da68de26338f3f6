//! Runs the scenario files in `tests/scenarios`: simulated runs with known distributions, and bounds on
//! what the learner predicts. `SCENARIO=steady cargo test -p hopyoke-run-times` runs a single file.

use hopyoke_run_times::{
    Distribution, Learner, Limits, Page, PageKey, RunKey, RunOutcome, Workload,
};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// True distribution of a class's run times and of its owners' estimates.
#[derive(Clone)]
struct Class {
    team: String,
    /// Median run time, in seconds.
    median_s: f64,
    /// Standard deviation of the log run time.
    sigma: f64,
    /// Share of runs with three times the standard deviation.
    tail_share: f64,
    /// Median ratio of the owner's estimate to the run time.
    estimate_factor: f64,
    /// Standard deviation of the log of that ratio.
    estimate_sigma: f64,
    /// Mean number of stops per median run time.
    stop_rate: f64,
}

/// A completed run with its prediction and its actual run time in seconds.
struct CompletedRun {
    class: String,
    predicted: Band,
    estimate_s: f64,
    run_time_s: f64,
}

/// Predicted p10, p50 and p90, in seconds.
type Band = (f64, f64, f64);

/// Active runs ordered by end. The index refers to the run's prediction; `None` if the run is stopped.
type PendingEnds = BinaryHeap<Reverse<(Micros, RunKey, Option<usize>)>>;

struct Harness {
    learner: Learner,
    rng: StdRng,
    classes: BTreeMap<String, Class>,
    machines: BTreeMap<MachineId, f64>,
    now: Micros,
    next: u32,
    completed: Vec<CompletedRun>,
    pages: BTreeMap<PageKey, Page>,
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-12..1.0), rng.random_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

impl Harness {
    /// Simulates `n` runs of a class, one started every `interval_s` seconds.
    fn run_class(&mut self, name: &str, n: usize, interval_s: f64) {
        let class = self.classes[name].clone();
        let mut ends: PendingEnds = BinaryHeap::new();
        let mut predicted = Vec::new();
        for i in 0..=n {
            let start = self.now + Micros::from_secs_f64(interval_s);
            let last = i == n;
            self.end_runs(name, &mut ends, &predicted, (!last).then_some(start));
            if last {
                break;
            }
            self.now = start;
            self.learner.tick(start);
            let sigma_factor = if self.rng.random_range(0.0..1.0) < class.tail_share {
                3.0
            } else {
                1.0
            };
            let z = normal(&mut self.rng);
            let machine = self.random_machine();
            let base_s = class.median_s * (class.sigma * sigma_factor * z).exp();
            let run_time_s = base_s * machine.as_ref().map_or(1.0, |m| m.1);
            let z = normal(&mut self.rng);
            let estimate_s = base_s * class.estimate_factor * (class.estimate_sigma * z).exp();
            self.next += 1;
            let key = (
                TaskId {
                    job: JobId::new("req-1"),
                    index: self.next,
                },
                Attempt(1),
            );
            let workload = Workload {
                class: name,
                team: &class.team,
                estimate_s,
            };
            let machine_id = machine.as_ref().map(|m| &m.0);
            let d = self.learner.estimate(workload, machine_id).distribution;
            predicted.push((
                (d.quantile(0.1), d.quantile(0.5), d.quantile(0.9)),
                estimate_s,
                run_time_s,
            ));
            self.learner.record_start(
                key.clone(),
                workload,
                machine_id.cloned().into_iter().collect(),
                start,
                Some(Micros::ZERO),
            );
            // Stops are exponentially distributed in time, so that they hit long runs most often.
            let stop_after_s = -class.median_s / class.stop_rate.max(1e-9)
                * f64::ln(self.rng.random_range(1e-9..1.0));
            let (stopped, duration_s) = (stop_after_s < run_time_s, run_time_s.min(stop_after_s));
            let index = (!stopped).then_some(i);
            ends.push(Reverse((
                start + Micros::from_secs_f64(duration_s),
                key,
                index,
            )));
        }
    }

    /// Returns a random machine and its factor, or `None` if the scenario has no machines.
    fn random_machine(&mut self) -> Option<(MachineId, f64)> {
        (!self.machines.is_empty()).then(|| {
            let i = self.rng.random_range(0..self.machines.len());
            self.machines
                .iter()
                .nth(i)
                .map(|(m, f)| (m.clone(), *f))
                .expect("machine index in range")
        })
    }

    /// Simulates one run of each of `count` classes.
    fn run_many_classes(&mut self, count: usize) {
        for i in 0..count {
            let class = Class {
                team: "crew".into(),
                median_s: 20.0 + (i % 100) as f64,
                sigma: 0.3,
                tail_share: 0.0,
                estimate_factor: 1.0,
                estimate_sigma: 0.5,
                stop_rate: 0.0,
            };
            self.classes.insert(format!("many-{i}"), class);
            self.run_class(&format!("many-{i}"), 1, 1.0);
        }
    }

    /// Returns the current prediction for a run of a class.
    fn predicted(&self, name: &str) -> Distribution {
        let class = &self.classes[name];
        let workload = Workload {
            class: name,
            team: &class.team,
            estimate_s: class.median_s * class.estimate_factor,
        };
        self.learner.estimate(workload, None).distribution
    }

    /// Ends the runs that are due by `until`, or all runs without a limit.
    fn end_runs(
        &mut self,
        name: &str,
        ends: &mut PendingEnds,
        predicted: &[(Band, f64, f64)],
        until: Option<Micros>,
    ) {
        while let Some(Reverse((at, key, index))) = ends.peek().cloned() {
            if until.is_some_and(|t| at > t) {
                break;
            }
            ends.pop();
            self.learner.tick(at);
            self.now = self.now.max(at);
            let end = if index.is_some() {
                RunOutcome::Completed
            } else {
                RunOutcome::Censored
            };
            self.learner.record_end(&key, end, at);
            if let Some(i) = index {
                let (predicted, estimate_s, run_time_s) = &predicted[i];
                self.completed.push(CompletedRun {
                    class: name.into(),
                    predicted: *predicted,
                    estimate_s: *estimate_s,
                    run_time_s: *run_time_s,
                });
            }
        }
    }

    /// Replaces the learner by one that has only the pages written by its predecessor.
    fn fail_over(&mut self) {
        while let Some((key, page)) = self.learner.next_page_to_write(self.now, Micros::ZERO) {
            let text = serde_json::to_string(&page).expect("valid page");
            assert!(text.len() <= 8192, "page has {} bytes", text.len());
            self.learner.page_write_finished(key, true);
            self.pages
                .insert(key, serde_json::from_str(&text).expect("valid page"));
        }
        let mut next = Learner::default();
        for (key, page) in &self.pages {
            next.load(*key, page).expect("valid page");
        }
        self.learner = next;
    }
}

fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v.get(v.len() / 2).copied().unwrap_or(f64::NAN)
}

fn run(text: &str) -> Result<(), String> {
    let mut harness = Harness {
        learner: Learner::default(),
        rng: StdRng::seed_from_u64(1),
        classes: BTreeMap::new(),
        machines: BTreeMap::new(),
        now: Micros::from_secs(1),
        next: 0,
        completed: Vec::new(),
        pages: BTreeMap::new(),
    };
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = |e: String| format!("line {}: `{line}`: {e}", n + 1);
        execute(&mut harness, &words).map_err(at)?;
    }
    Ok(())
}

fn execute(harness: &mut Harness, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("expected a number as word {i}"))
    };
    let pair = |key: &str, default: f64| {
        let i = words.iter().position(|w| *w == key);
        i.map_or(Ok(default), |i| num(i + 1))
    };
    match words[0] {
        "seed" => harness.rng = StdRng::seed_from_u64(num(1)? as u64),
        "limits" => harness.learner.set_limits(Limits {
            classes: num(1)? as usize,
            decay_runs: num(2)? as f32,
        }),
        "class" => {
            let team = words
                .iter()
                .position(|w| *w == "team")
                .map_or("crew", |i| words[i + 1])
                .to_owned();
            let class = Class {
                team,
                median_s: pair("median", 100.0)?,
                sigma: pair("sigma", 0.3)?,
                tail_share: pair("tail_share", 0.0)?,
                estimate_factor: pair("estimate_factor", 1.0)?,
                estimate_sigma: pair("estimate_sigma", 0.5)?,
                stop_rate: pair("stop_rate", 0.0)?,
            };
            harness.classes.insert(words[1].to_owned(), class);
        }
        "machine" => {
            harness.machines.insert(MachineId::new(words[1]), num(2)?);
        }
        "runs" => harness.run_class(words[1], num(2)? as usize, pair("interval", 30.0)?),
        "one_run_classes" => {
            harness.run_many_classes(num(1)? as usize);
        }
        // Run times change; with `estimates_unchanged`, owners' estimates do not follow.
        "scale_run_time" => {
            let factor = num(2)?;
            let class = harness.classes.get_mut(words[1]).ok_or("unknown class")?;
            class.median_s *= factor;
            if words.get(3) == Some(&"estimates_unchanged") {
                class.estimate_factor /= factor;
            }
            harness.completed.clear();
        }
        "clear_history" => harness.completed.clear(),
        "failover" => harness.fail_over(),
        "expect" => return expect(harness, words),
        other => return Err(format!("unknown statement {other}")),
    }
    Ok(())
}

fn expect(harness: &mut Harness, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("expected a number as word {i}"))
    };
    let check = |ok: bool, got: String| if ok { Ok(()) } else { Err(got) };
    match words[2] {
        // |log| of the ratio of the predicted p50 to the true median: maximum.
        "p50_error" => {
            let class = &harness.classes[words[1]];
            let p50 = harness.predicted(words[1]).quantile(0.5);
            check(
                (p50 / class.median_s).ln().abs() <= num(3)?,
                format!("p50 is {p50:.1}, true median is {}", class.median_s),
            )
        }
        // Ratio of the predicted p90 to p10: minimum, maximum.
        "band_width" => {
            let d = harness.predicted(words[1]);
            let width = d.quantile(0.9) / d.quantile(0.1);
            check(
                (num(3)?..=num(4)?).contains(&width),
                format!("p90 / p10 is {width:.2}"),
            )
        }
        "is_slow" => {
            let slow = harness.learner.slow_machine(&MachineId::new(words[1]), 1.5);
            check(
                slow.is_some() == (words.get(3) != Some(&"no")),
                format!("{slow:?}"),
            )
        }
        "max_classes" => {
            let (classes, evicted) = (
                harness.learner.counts().classes,
                harness.learner.counts().evicted,
            );
            check(
                classes <= num(3)? as usize && evicted > 0,
                format!("{classes} classes, {evicted} evicted"),
            )
        }
        // Median remaining time at an elapsed time, in seconds: elapsed, minimum, maximum.
        "remaining" => {
            let d = harness.predicted(words[1]);
            let remaining_s = d.remaining_quantile(num(3)?, 0.5);
            check(
                (num(4)?..=num(5)?).contains(&remaining_s),
                format!("{remaining_s:.1} s remaining"),
            )
        }
        _ => expect_completed(harness, words),
    }
}

/// Checks an expectation about completed runs.
fn expect_completed(harness: &Harness, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("expected a number as word {i}"))
    };
    let completed: Vec<&CompletedRun> = harness
        .completed
        .iter()
        .filter(|p| p.class == words[1])
        .collect();
    let error = |p: &&CompletedRun| (p.predicted.1 / p.run_time_s).ln().abs();
    let check = |ok: bool, got: String| if ok { Ok(()) } else { Err(got) };
    match words[2] {
        // Percentage of runs within their predicted p10 to p90: minimum, maximum.
        "band_coverage" => {
            let inside = completed
                .iter()
                .filter(|p| p.predicted.0 <= p.run_time_s && p.run_time_s <= p.predicted.2)
                .count();
            let share = 100.0 * inside as f64 / completed.len() as f64;
            check(
                (num(3)?..=num(4)?).contains(&share),
                format!("{share:.1}% of {} runs within the band", completed.len()),
            )
        }
        // Ratio of the median prediction error to that of the owners' estimates: maximum.
        "error_vs_estimate" => {
            let predicted_error = median(completed.iter().map(error).collect());
            let owner_error = median(
                completed
                    .iter()
                    .map(|p| (p.estimate_s / p.run_time_s).ln().abs())
                    .collect(),
            );
            check(
                predicted_error / owner_error <= num(3)?,
                format!("median error {predicted_error:.3}, owners' estimates {owner_error:.3}"),
            )
        }
        // Median prediction error after a number of completions since the change: completions, maximum.
        "error_after" => {
            let (skipped, max_error) = (num(3)? as usize, num(4)?);
            let late_errors: Vec<f64> =
                completed.iter().skip(skipped).take(15).map(error).collect();
            let got = median(late_errors);
            check(
                got <= max_error,
                format!("median error {got:.3} after {skipped} completions"),
            )
        }
        other => Err(format!("unknown expectation {other}")),
    }
}

#[test]
fn scenarios() {
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let selected = std::env::var("SCENARIO").ok();
    let mut files: Vec<_> = std::fs::read_dir(dir)
        .expect("tests/scenarios")
        .filter_map(|e| Some(e.ok()?.path()))
        .collect();
    files.sort();
    let (mut passed, mut failed) = (0, 0);
    for file in files {
        let name = file
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        if selected.as_ref().is_some_and(|o| *o != name) {
            continue;
        }
        match run(&std::fs::read_to_string(&file).expect("readable scenario file")) {
            Ok(()) => passed += 1,
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    assert!(failed == 0 && passed > 0);
}
