//! The one runner of the engine's scenarios: every file under `tests/scenarios` is a test.
//!
//! ```text
//! seed N                                start; three nodes
//! limit NAME VALUE                      one of the engine's limits
//! run N TEAM [keep-on] STEP...          submit; STEP is NAME[<DEP,DEP...][=FATE][*COUNT|~COUNT]
//! cancel N at T | crash NODE at T | outage FROM SPAN | foreign N STEP [over]
//! fetch SPAN                            reading a run's records takes so long
//! each FAULT|all                        the file again for each action under the fault
//! pairs N                               the file again under N pairs of faults, drawn with the seed
//! until T                               run on
//! expect run N done|failed|cancelled [by T]
//! expect steps N done K | most TEAM K | writes K | looks K   (at most, but for `steps`)
//! ```
//!
//! FATE is seconds that the job takes, `gives-up`, or `never` (it runs until it is cancelled).
//! `*COUNT` makes so many steps that differ by number, `~COUNT` a chain of so many.

mod model;

use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros};
use hopyoke_workflow::{Plan, PlanStep, RunId, RunState, StepNo, job_id};
use model::{FAULTS, Fault, JobBehavior, Model};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::path::PathBuf;

fn num(s: &str) -> f64 {
    s.parse().unwrap_or_else(|_| panic!("not a number: {s}"))
}

fn secs(s: &str) -> Micros {
    Micros::from_secs_f64(num(s))
}

fn run_id(s: &str) -> RunId {
    RunId::new(s.parse().unwrap_or_else(|_| panic!("not a run: {s}"))).expect("a run in range")
}

fn shape(team: &str) -> JobSpec {
    JobSpec::with_defaults(JobId::new("req-0"), "convert", team, "img")
}

/// `NAME[<DEP,DEP...][=FATE][*COUNT]`
fn step(
    text: &str,
    plan: &mut Plan,
    behaviors: &mut BTreeMap<StepNo, JobBehavior>,
    known: &mut BTreeMap<String, Vec<StepNo>>,
) {
    let chain = text.contains('~');
    let (text, count) = text
        .split_once(['*', '~'])
        .map_or((text, 1), |(t, n)| (t, num(n) as usize));
    let (text, fate) = text.split_once('=').map_or((text, "2"), |(t, f)| (t, f));
    let (name, after) = text.split_once('<').unwrap_or((text, ""));
    let mut after: Vec<StepNo> = after
        .split(',')
        .filter(|d| !d.is_empty())
        .flat_map(|d| known[d].clone())
        .collect();
    for k in 0..count {
        let no = StepNo(plan.steps.len() as u32);
        let shape = if fate == "join" { None } else { Some(0) };
        plan.steps.push(PlanStep {
            path: format!("{name}{k}"),
            dependencies: after.clone(),
            job_template: shape,
            tasks: 1,
        });
        match fate {
            "join" => None,
            "never" => behaviors.insert(no, JobBehavior::Endless),
            "gives-up" => behaviors.insert(no, JobBehavior::GivenUp(Micros::from_secs(3))),
            t => behaviors.insert(no, JobBehavior::Done(secs(t))),
        };
        let of_name = known.entry(name.to_owned()).or_default();
        if chain {
            (after, *of_name) = (vec![no], vec![no]);
        } else {
            of_name.push(no);
        }
    }
}

/// Runs a scenario's lines; with `faults` at the given actions.
fn play(lines: &[(usize, Vec<&str>)], faults: &[(u64, Fault)]) -> Result<Model, String> {
    let mut model: Option<Model> = None;
    for (n, words) in lines {
        let fail = |e: String| format!("line {n}: `{}`: {e}", words.join(" "));
        if words[0] == "seed" {
            let mut m = Model::new(num(words[1]) as u64, 3);
            m.faults = faults.to_vec();
            model = Some(m);
            continue;
        }
        let m = model
            .as_mut()
            .ok_or_else(|| fail("a scenario starts with `seed N`".into()))?;
        match words.as_slice() {
            ["expect", expectation @ ..] => check(m, expectation).map_err(fail)?,
            statement => execute(m, statement).map_err(fail)?,
        }
        if let Some(violation) = m.violations.first() {
            return Err(fail(violation.clone()));
        }
    }
    model.ok_or_else(|| "an empty scenario".into())
}

fn execute(m: &mut Model, statement: &[&str]) -> Result<(), String> {
    match statement {
        ["limit", "steps_in_flight", v] => m.limits.max_run_steps_in_flight = num(v) as usize,
        ["limit", "team_steps_in_flight", v] => {
            m.limits.max_team_steps_in_flight = num(v) as usize;
        }
        ["limit", "runs_carried", v] => m.limits.max_owned_runs = num(v) as usize,
        ["limit", "writes_per_s", v] => m.limits.max_writes_per_s = num(v),
        ["run", id, team, rest @ ..] => {
            let continue_on_error = rest.first() == Some(&"keep-on");
            let mut plan = Plan {
                job_templates: vec![shape(team)],
                ..Plan::default()
            };
            let (mut behaviors, mut known) = (BTreeMap::new(), BTreeMap::new());
            for text in &rest[usize::from(continue_on_error)..] {
                step(text, &mut plan, &mut behaviors, &mut known);
            }
            m.submit(run_id(id), team, plan, behaviors, continue_on_error);
        }
        ["cancel", id, "at", t] => m.cancel_at(run_id(id), secs(t)),
        ["crash", node, "at", t] => m.crash_at(num(node) as usize, secs(t)),
        ["fetch", span] => m.read_latency = secs(span),
        ["outage", from, span] => m.outage = (secs(from), secs(from) + secs(span)),
        ["foreign", id, step, rest @ ..] => {
            let job = job_id(run_id(id), StepNo(num(step) as u32), 0);
            m.add_foreign_job(&job, rest == ["over"]);
        }
        ["until", t] => m.run_until(secs(t)),
        _ => return Err("unknown statement".into()),
    }
    Ok(())
}

fn check(m: &Model, expectation: &[&str]) -> Result<(), String> {
    match expectation {
        ["run", id, state, rest @ ..] => {
            let expected = match *state {
                "done" => RunState::Done,
                "failed" => RunState::Failed,
                "cancelled" => RunState::Cancelled,
                other => return Err(format!("unknown state {other}")),
            };
            match m.runs[&run_id(id)].ended {
                Some((state, at)) if state == expected => {
                    if let ["by", t] = rest
                        && at > secs(t)
                    {
                        return Err(format!("only at {:.2} s", at.as_secs_f64()));
                    }
                }
                other => return Err(format!("it is {other:?}")),
            }
        }
        ["steps", id, "done", k] => {
            let done = m.runs[&run_id(id)].done.len();
            if done != num(k) as usize {
                return Err(format!("{done} are done"));
            }
        }
        ["most", team, k] => {
            let max = m.max_in_flight.get(*team).copied().unwrap_or(0);
            if max > num(k) as usize {
                return Err(format!("{max} were in flight"));
            }
        }
        ["writes", k] if m.writes > num(k) as u64 => {
            return Err(format!("{} writes", m.writes));
        }
        ["looks", k] if m.entities_visited() > num(k) as u64 => {
            return Err(format!("{} entities visited", m.entities_visited()));
        }
        ["writes" | "looks", _] => {}
        _ => return Err("unknown statement".into()),
    }
    Ok(())
}

/// One file; returns how often it was played.
fn scenario(text: &str) -> Result<u64, String> {
    let mut lines: Vec<(usize, Vec<&str>)> = Vec::new();
    let mut each: Vec<Fault> = Vec::new();
    let mut pairs = 0;
    for (n, line) in (1..).zip(text.lines()) {
        let words: Vec<&str> = line
            .split('#')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        match words.as_slice() {
            [] => {}
            ["each", which] => {
                each.extend(
                    FAULTS
                        .iter()
                        .filter(|f| *which == "all" || format!("{f:?}") == *which),
                );
                if each.is_empty() {
                    return Err(format!("line {n}: unknown fault {which}"));
                }
            }
            ["pairs", n] => pairs = num(n) as u64,
            _ => lines.push((n, words)),
        }
    }
    let actions = play(&lines, &[])?.actions;
    let mut played = 1;
    for fault in each {
        for n in 0..actions {
            play(&lines, &[(n, fault)]).map_err(|e| format!("action {n} meets {fault:?}: {e}"))?;
            played += 1;
        }
    }
    let mut rng = StdRng::seed_from_u64(pairs);
    for _ in 0..pairs {
        let mut draw = || {
            (
                rng.random_range(0..actions + 4),
                FAULTS[rng.random_range(0..FAULTS.len())],
            )
        };
        let two = [draw(), draw()];
        play(&lines, &two).map_err(|e| format!("{two:?}: {e}"))?;
        played += 1;
    }
    Ok(played)
}

#[test]
fn scenarios() {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = std::fs::read_dir(&dir)
        .expect("tests/scenarios")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "scn"))
        .filter(|p| {
            only.as_ref()
                .is_none_or(|o| p.file_stem().is_some_and(|s| s == o.as_str()))
        })
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios found");
    let mut failed = 0;
    for file in &files {
        let name = file
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        let text = std::fs::read_to_string(file).expect("a readable scenario");
        let began = std::time::Instant::now();
        match scenario(&text) {
            Ok(n) => println!("ok   {name}: {n} days ({} ms)", began.elapsed().as_millis()),
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    assert_eq!(failed, 0, "scenarios failed");
}
