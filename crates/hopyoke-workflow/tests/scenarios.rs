//! Runs the scenario tests of the engine: all files in `tests/scenarios`, or only the one that the environment variable
//! `SCENARIO` names.
//!
//! ```text
//! seed N                                creates a model with three nodes and this seed
//! limit NAME VALUE                      sets one of the engine's limits
//! run N TEAM [continue-on-error] STEP... submits a run; STEP is NAME[<DEP,DEP...][=BEHAVIOR][*COUNT|~COUNT];
//!                                       with `continue-on-error`, independent steps continue after a failure
//! cancel N at T                         cancels a run
//! crash NODE at T                       crashes a node, which restarts later
//! outage FROM SPAN                      makes the key-value store unavailable
//! foreign N STEP [ended]                adds another submitter's job, or an ended one, under the step's first id
//! read-latency SPAN                     sets the latency of reading a run's records
//! each FAULT|all                        repeats the file once for each action, with the fault on that action
//! pairs N                               repeats the file with N random pairs of faults; N also seeds them
//! until T                               advances the time
//! expect run N done|failed|cancelled [by T]
//! expect steps N done K                 expects exactly K done steps
//! expect in-flight TEAM K               expects at most K jobs of the team in flight at once
//! expect writes K                       expects at most K written keys
//! expect visits K                       expects at most K entities visited by the engines
//! ```
//!
//! BEHAVIOR is the job's run time in seconds (default 2), `fails` (the job fails), `never` (it runs until it is
//! cancelled) or `join` (the step has no job). `*COUNT` creates that many parallel steps, `~COUNT` a chain of them.

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
    RunId::new(s.parse().unwrap_or_else(|_| panic!("not a run: {s}"))).expect("run id in range")
}

fn shape(team: &str) -> JobSpec {
    JobSpec::with_defaults(JobId::new("req-0"), "convert", team, "img")
}

/// Parses `NAME[<DEP,DEP...][=BEHAVIOR][*COUNT|~COUNT]` and adds its steps to the plan.
fn add_steps(
    text: &str,
    plan: &mut Plan,
    behaviors: &mut BTreeMap<StepNo, JobBehavior>,
    steps_by_name: &mut BTreeMap<String, Vec<StepNo>>,
) {
    let is_chain = text.contains('~');
    let (text, count) = text
        .split_once(['*', '~'])
        .map_or((text, 1), |(t, n)| (t, num(n) as usize));
    let (text, behavior) = text.split_once('=').map_or((text, "2"), |(t, f)| (t, f));
    let (name, after) = text.split_once('<').unwrap_or((text, ""));
    let mut after: Vec<StepNo> = after
        .split(',')
        .filter(|d| !d.is_empty())
        .flat_map(|d| steps_by_name[d].clone())
        .collect();
    for k in 0..count {
        let no = StepNo(plan.steps.len() as u32);
        let shape = if behavior == "join" { None } else { Some(0) };
        plan.steps.push(PlanStep {
            path: format!("{name}{k}"),
            dependencies: after.clone(),
            job_template: shape,
            tasks: 1,
        });
        match behavior {
            "join" => None,
            "never" => behaviors.insert(no, JobBehavior::Endless),
            "fails" => behaviors.insert(no, JobBehavior::Failed(Micros::from_secs(3))),
            t => behaviors.insert(no, JobBehavior::Done(secs(t))),
        };
        let named_steps = steps_by_name.entry(name.to_owned()).or_default();
        if is_chain {
            (after, *named_steps) = (vec![no], vec![no]);
        } else {
            named_steps.push(no);
        }
    }
}

/// Executes the lines of a scenario, with faults on the given actions.
fn execute_scenario(
    lines: &[(usize, Vec<&str>)],
    faults: &[(u64, Fault)],
) -> Result<Model, String> {
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
            .ok_or_else(|| fail("the scenario must start with `seed N`".into()))?;
        match words.as_slice() {
            ["expect", expectation @ ..] => check(m, expectation).map_err(fail)?,
            statement => execute(m, statement).map_err(fail)?,
        }
        if let Some(violation) = m.violations.first() {
            return Err(fail(violation.clone()));
        }
    }
    model.ok_or_else(|| "the scenario is empty".into())
}

fn execute(m: &mut Model, statement: &[&str]) -> Result<(), String> {
    match statement {
        ["limit", "steps_in_flight", v] => m.limits.max_run_steps_in_flight = num(v) as usize,
        ["limit", "team_steps_in_flight", v] => {
            m.limits.max_team_steps_in_flight = num(v) as usize;
        }
        ["limit", "owned_runs", v] => m.limits.max_owned_runs = num(v) as usize,
        ["limit", "writes_per_s", v] => m.limits.max_writes_per_s = num(v),
        ["run", id, team, rest @ ..] => {
            let continue_on_error = rest.first() == Some(&"continue-on-error");
            let mut plan = Plan {
                job_templates: vec![shape(team)],
                ..Plan::default()
            };
            let (mut behaviors, mut steps_by_name) = (BTreeMap::new(), BTreeMap::new());
            for text in &rest[usize::from(continue_on_error)..] {
                add_steps(text, &mut plan, &mut behaviors, &mut steps_by_name);
            }
            m.submit(run_id(id), team, plan, behaviors, continue_on_error);
        }
        ["cancel", id, "at", t] => m.cancel_at(run_id(id), secs(t)),
        ["crash", node, "at", t] => m.crash_at(num(node) as usize, secs(t)),
        ["read-latency", span] => m.read_latency = secs(span),
        ["outage", from, span] => m.outage = (secs(from), secs(from) + secs(span)),
        ["foreign", id, step, rest @ ..] => {
            let job = job_id(run_id(id), StepNo(num(step) as u32), 0);
            m.add_foreign_job(&job, rest == ["ended"]);
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
                        return Err(format!("it ended at {:.2} s", at.as_secs_f64()));
                    }
                }
                other => return Err(format!("its state is {other:?}")),
            }
        }
        ["steps", id, "done", k] => {
            let done = m.runs[&run_id(id)].done.len();
            if done != num(k) as usize {
                return Err(format!("{done} steps are done"));
            }
        }
        ["in-flight", team, k] => {
            let max = m.max_in_flight.get(*team).copied().unwrap_or(0);
            if max > num(k) as usize {
                return Err(format!("{max} jobs were in flight"));
            }
        }
        ["writes", k] if m.writes > num(k) as u64 => {
            return Err(format!("{} writes", m.writes));
        }
        ["visits", k] if m.entities_visited() > num(k) as u64 => {
            return Err(format!("{} entities visited", m.entities_visited()));
        }
        ["writes" | "visits", _] => {}
        _ => return Err("unknown statement".into()),
    }
    Ok(())
}

/// Executes a scenario file and returns the number of executions.
fn execute_file(text: &str) -> Result<u64, String> {
    let mut lines: Vec<(usize, Vec<&str>)> = Vec::new();
    let mut faults: Vec<Fault> = Vec::new();
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
            ["each", name] => {
                faults.extend(
                    FAULTS
                        .iter()
                        .filter(|f| *name == "all" || format!("{f:?}") == *name),
                );
                if faults.is_empty() {
                    return Err(format!("line {n}: unknown fault {name}"));
                }
            }
            ["pairs", n] => pairs = num(n) as u64,
            _ => lines.push((n, words)),
        }
    }
    let actions = execute_scenario(&lines, &[])?.actions;
    let mut executions = 1;
    for fault in faults {
        for n in 0..actions {
            execute_scenario(&lines, &[(n, fault)])
                .map_err(|e| format!("fault {fault:?} on action {n}: {e}"))?;
            executions += 1;
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
        let fault_pair = [draw(), draw()];
        execute_scenario(&lines, &fault_pair).map_err(|e| format!("faults {fault_pair:?}: {e}"))?;
        executions += 1;
    }
    Ok(executions)
}

#[test]
fn scenarios() {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let selected = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = std::fs::read_dir(&dir)
        .expect("readable directory tests/scenarios")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "scn"))
        .filter(|p| {
            selected
                .as_ref()
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
        let text = std::fs::read_to_string(file).expect("readable scenario file");
        let began = std::time::Instant::now();
        match execute_file(&text) {
            Ok(n) => println!(
                "ok   {name}: {n} executions ({} ms)",
                began.elapsed().as_millis()
            ),
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    assert_eq!(failed, 0, "scenarios failed");
}
