//! Scenarios as small text files: work with known run times, and what must be learned of it.
//! `SCENARIO=doubling cargo test -p hopyoke-run-times` runs one of them.

use hopyoke_run_times::{
    Distribution, Learner, Limits, Page, PageKey, RunKey, RunOutcome, Workload,
};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

#[derive(Clone)]
struct Class {
    team: String,
    /// The median run time, and the spread of its logarithm.
    run: f64,
    spread: f64,
    /// A share of runs whose logarithm spreads three times as much.
    tail: f64,
    /// Owners estimate this many times the run time, give or take.
    owner: f64,
    owner_spread: f64,
    /// Stops in the time of a median run.
    cut: f64,
}

/// A run that ended: predicted p10, p50, p90, and what it took.
struct Past {
    class: String,
    predicted: Band,
    guess: f64,
    took: f64,
}

/// Predicted p10, p50 and p90.
type Band = (f64, f64, f64);

/// Runs under way by their ends; without an index, those that are stopped.
type Ends = BinaryHeap<Reverse<(Micros, RunKey, Option<usize>)>>;

struct Bench {
    learner: Learner,
    rng: StdRng,
    classes: BTreeMap<String, Class>,
    machines: BTreeMap<MachineId, f64>,
    now: Micros,
    next: u32,
    past: Vec<Past>,
    pages: BTreeMap<PageKey, Page>,
}

fn normal(rng: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-12..1.0), rng.random_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

impl Bench {
    /// `n` runs of a class, one started every `apart` seconds.
    fn runs(&mut self, name: &str, n: usize, apart: f64) {
        let class = self.classes[name].clone();
        let mut ends: Ends = BinaryHeap::new();
        let mut predicted = Vec::new();
        for i in 0..=n {
            let start = self.now + Micros::from_secs_f64(apart);
            let last = i == n;
            self.finish(name, &mut ends, &predicted, (!last).then_some(start));
            if last {
                break;
            }
            self.now = start;
            self.learner.tick(start);
            let wide = if self.rng.random_range(0.0..1.0) < class.tail {
                3.0
            } else {
                1.0
            };
            let z = normal(&mut self.rng);
            let machine = self.random_machine();
            let own = class.run * (class.spread * wide * z).exp();
            let took = own * machine.as_ref().map_or(1.0, |m| m.1);
            let z = normal(&mut self.rng);
            let guess = own * class.owner * (class.owner_spread * z).exp();
            self.next += 1;
            let key = (
                TaskId {
                    job: JobId::new("req-1"),
                    index: self.next,
                },
                Attempt(1),
            );
            let work = Workload {
                class: name,
                team: &class.team,
                estimate_s: guess,
            };
            let on = machine.as_ref().map(|m| &m.0);
            let d = self.learner.estimate(work, on).distribution;
            predicted.push((
                (d.quantile(0.1), d.quantile(0.5), d.quantile(0.9)),
                guess,
                took,
            ));
            self.learner.record_start(
                key.clone(),
                work,
                on.cloned().into_iter().collect(),
                start,
                Some(Micros::ZERO),
            );
            // Stops come at any time, whatever the run: long runs are hit the most.
            let stop = -class.run / class.cut.max(1e-9) * f64::ln(self.rng.random_range(1e-9..1.0));
            let (stopped, lasts) = (stop < took, took.min(stop));
            let past = (!stopped).then_some(i);
            ends.push(Reverse((start + Micros::from_secs_f64(lasts), key, past)));
        }
    }

    /// A machine and its factor; `None` if the scenario has no machines.
    fn random_machine(&mut self) -> Option<(MachineId, f64)> {
        (!self.machines.is_empty()).then(|| {
            let i = self.rng.random_range(0..self.machines.len());
            self.machines
                .iter()
                .nth(i)
                .map(|(m, f)| (m.clone(), *f))
                .expect("a machine")
        })
    }

    /// One run of each of many classes.
    fn many(&mut self, count: usize) {
        for i in 0..count {
            let class = Class {
                team: "crew".into(),
                run: 20.0 + (i % 100) as f64,
                spread: 0.3,
                tail: 0.0,
                owner: 1.0,
                owner_spread: 0.5,
                cut: 0.0,
            };
            self.classes.insert(format!("many-{i}"), class);
            self.runs(&format!("many-{i}"), 1, 1.0);
        }
    }

    /// The distribution that is predicted now for a run of a class.
    fn predicted(&self, name: &str) -> Distribution {
        let class = &self.classes[name];
        let work = Workload {
            class: name,
            team: &class.team,
            estimate_s: class.run * class.owner,
        };
        self.learner.estimate(work, None).distribution
    }

    /// Ends the runs that end up to a time; all without one.
    fn finish(
        &mut self,
        name: &str,
        ends: &mut Ends,
        predicted: &[(Band, f64, f64)],
        until: Option<Micros>,
    ) {
        while let Some(Reverse((at, key, past))) = ends.peek().cloned() {
            if until.is_some_and(|t| at > t) {
                break;
            }
            ends.pop();
            self.learner.tick(at);
            self.now = self.now.max(at);
            let end = if past.is_some() {
                RunOutcome::Completed
            } else {
                RunOutcome::Censored
            };
            self.learner.record_end(&key, end, at);
            if let Some(i) = past {
                let (predicted, guess, took) = &predicted[i];
                self.past.push(Past {
                    class: name.into(),
                    predicted: *predicted,
                    guess: *guess,
                    took: *took,
                });
            }
        }
    }

    /// A new leader: what was written is all that is left.
    fn takeover(&mut self) {
        while let Some((key, page)) = self.learner.next_page_to_write(self.now, Micros::ZERO) {
            let text = serde_json::to_string(&page).expect("a page");
            assert!(text.len() <= 8192, "a page of {} bytes", text.len());
            self.learner.page_write_finished(key, true);
            self.pages
                .insert(key, serde_json::from_str(&text).expect("a page"));
        }
        let mut next = Learner::default();
        for (key, page) in &self.pages {
            next.load(*key, page).expect("a good page");
        }
        self.learner = next;
    }
}

fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v.get(v.len() / 2).copied().unwrap_or(f64::NAN)
}

fn run(text: &str) -> Result<(), String> {
    let mut b = Bench {
        learner: Learner::default(),
        rng: StdRng::seed_from_u64(1),
        classes: BTreeMap::new(),
        machines: BTreeMap::new(),
        now: Micros::from_secs(1),
        next: 0,
        past: Vec::new(),
        pages: BTreeMap::new(),
    };
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = |e: String| format!("line {}: `{line}`: {e}", n + 1);
        statement(&mut b, &words).map_err(at)?;
    }
    Ok(())
}

fn statement(b: &mut Bench, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("a number as word {i}"))
    };
    let pair = |key: &str, default: f64| {
        let i = words.iter().position(|w| *w == key);
        i.map_or(Ok(default), |i| num(i + 1))
    };
    match words[0] {
        "seed" => b.rng = StdRng::seed_from_u64(num(1)? as u64),
        "limits" => b.learner.set_limits(Limits {
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
                run: pair("run", 100.0)?,
                spread: pair("spread", 0.3)?,
                tail: pair("tail", 0.0)?,
                owner: pair("owner", 1.0)?,
                owner_spread: pair("ospread", 0.5)?,
                cut: pair("cut", 0.0)?,
            };
            b.classes.insert(words[1].to_owned(), class);
        }
        "machine" => {
            b.machines.insert(MachineId::new(words[1]), num(2)?);
        }
        "runs" => b.runs(words[1], num(2)? as usize, pair("apart", 30.0)?),
        "many" => {
            b.many(num(1)? as usize);
        }
        // The input grows: owners may know, or not.
        "grows" => {
            let factor = num(2)?;
            let class = b.classes.get_mut(words[1]).ok_or("no such class")?;
            class.run *= factor;
            if words.get(3) == Some(&"unknown") {
                class.owner /= factor;
            }
            b.past.clear();
        }
        "forget_past" => b.past.clear(),
        "takeover" => b.takeover(),
        // A run under way for this long: what is left of it, at p50.
        "expect" => return expect(b, words),
        other => return Err(format!("unknown statement {other}")),
    }
    Ok(())
}

fn expect(b: &mut Bench, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("a number as word {i}"))
    };
    let check = |ok: bool, got: String| if ok { Ok(()) } else { Err(got) };
    match words[2] {
        // The p50 that is predicted now, without the owner's help, against the true median.
        "p50_off" => {
            let class = &b.classes[words[1]];
            let p50 = b.predicted(words[1]).quantile(0.5);
            check(
                (p50 / class.run).ln().abs() <= num(3)?,
                format!("p50 is {p50:.1}, the median {}", class.run),
            )
        }
        // How wide the band is: p90 / p10.
        "width" => {
            let d = b.predicted(words[1]);
            let width = d.quantile(0.9) / d.quantile(0.1);
            check(
                (num(3)?..=num(4)?).contains(&width),
                format!("p90 / p10 is {width:.2}"),
            )
        }
        "is_slow" => {
            let slow = b.learner.slow_machine(&MachineId::new(words[1]), 1.5);
            check(
                slow.is_some() == (words.get(3) != Some(&"no")),
                format!("{slow:?}"),
            )
        }
        "remembered" => {
            let (classes, forgotten) = (b.learner.counts().classes, b.learner.counts().evicted);
            check(
                classes <= num(3)? as usize && forgotten > 0,
                format!("{classes} classes, {forgotten} forgotten"),
            )
        }
        // What is left of a run that has run this long, at p50, against the rest of the median.
        "left_of" => {
            let d = b.predicted(words[1]);
            let left = d.remaining_quantile(num(3)?, 0.5);
            check(
                (num(4)?..=num(5)?).contains(&left),
                format!("{left:.1} s left"),
            )
        }
        _ => expect_of_past(b, words),
    }
}

/// Expectations on the runs that have ended.
fn expect_of_past(b: &Bench, words: &[&str]) -> Result<(), String> {
    let num = |i: usize| {
        words
            .get(i)
            .and_then(|w| w.parse::<f64>().ok())
            .ok_or(format!("a number as word {i}"))
    };
    let past: Vec<&Past> = b.past.iter().filter(|p| p.class == words[1]).collect();
    let error = |p: &&Past| (p.predicted.1 / p.took).ln().abs();
    let check = |ok: bool, got: String| if ok { Ok(()) } else { Err(got) };
    match words[2] {
        // Share of runs inside the band that was predicted, in hundredths.
        "inside" => {
            let inside = past
                .iter()
                .filter(|p| p.predicted.0 <= p.took && p.took <= p.predicted.2)
                .count();
            let share = 100.0 * inside as f64 / past.len() as f64;
            check(
                (num(3)?..=num(4)?).contains(&share),
                format!("{share:.1} of 100 inside of {} runs", past.len()),
            )
        }
        // The median error against that of the owner's guess.
        "error_over_owner" => {
            let ours = median(past.iter().map(error).collect());
            let theirs = median(past.iter().map(|p| (p.guess / p.took).ln().abs()).collect());
            check(
                ours / theirs <= num(3)?,
                format!("{ours:.3} against {theirs:.3}"),
            )
        }
        // After how many completions since the change the error of what was predicted is ordinary again.
        "recovered_within" => {
            let (most, ordinary) = (num(3)? as usize, num(4)?);
            let late: Vec<f64> = past.iter().skip(most).take(15).map(error).collect();
            let got = median(late);
            check(
                got <= ordinary,
                format!("median error {got:.3} after {most} completions"),
            )
        }
        other => Err(format!("unknown expectation {other}")),
    }
}

#[test]
fn scenarios() {
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
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
        if only.as_ref().is_some_and(|o| *o != name) {
            continue;
        }
        match run(&std::fs::read_to_string(&file).expect("a readable file")) {
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
