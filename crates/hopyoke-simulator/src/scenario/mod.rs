//! The scenario language: one statement per line. `#` starts a comment.
//!
//! `crates/hopyoke/tests/scenarios/README.md` lists the statements.

mod expectations;
mod job_expectations;
mod machine_faults;
mod network_faults;
mod parser;
mod random_day;
mod selectors;
mod service_expectations;
mod setup;
mod store_faults;
mod sweep;
mod workload;

use crate::Simulation;
use parser::{Words, next_word, number};
use sweep::{Sweep, substitute};

/// Handler of statements that need no simulation: takes the first word and the line, and returns `None` for a statement
/// that it does not support.
pub type StatementHandler<'a> = &'a dyn Fn(&str, &str) -> Option<Result<(), String>>;

/// Runs one scenario and returns a digest of its events in virtual time, which for a sweep combines those of its runs.
/// Statements that `handler` supports are left to it.
///
/// # Errors
///
/// Names the line that failed, with what was expected and what was found, or the invariant that was violated.
///
/// # Panics
///
/// Panics if a statement is malformed.
pub fn run(text: &str, handler: StatementHandler<'_>) -> Result<u64, String> {
    let Some((line, sweep)) = text.lines().find_map(|l| Some((l, Sweep::parse(l)?))) else {
        return run_once(text, handler);
    };
    let rest = text.replacen(line, "", 1);
    let parameter = sweep.parameter;
    let mut digest = 0u64;
    for value in sweep.values {
        let run = run(&substitute(&rest, parameter, value), handler)
            .map_err(|e| format!("{parameter} {value}: {e}"))?;
        digest = digest.rotate_left(1) ^ run;
    }
    Ok(digest)
}

/// Runs a scenario without sweeps.
fn run_once(text: &str, handler: StatementHandler<'_>) -> Result<u64, String> {
    let mut simulation: Option<Simulation> = None;
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let fail = |e: String| format!("line {}: `{line}`: {e}", n + 1);
        if words[0] == "seed" {
            simulation = Some(setup::new_simulation(&words));
            continue;
        }
        if let Some(result) = handler(words[0], line) {
            result.map_err(fail)?;
            continue;
        }
        let sim = simulation
            .as_mut()
            .ok_or_else(|| fail("no `seed N` before this statement".into()))?;
        statement(sim, &words).map_err(fail)?;
        if let Some(violation) = sim.violations.first() {
            return Err(fail(violation.clone()));
        }
    }
    Ok(simulation.map_or(0, |sim| sim.digest.value()))
}

/// Executes a statement of the scenario.
fn statement(sim: &mut Simulation, words: &[&str]) -> Result<(), String> {
    let mut it = words.iter();
    let name = next_word(&mut it);
    match name {
        "at" => {
            let t = parser::seconds(next_word(&mut it));
            let rest: Vec<String> = it.map(|s| (*s).to_owned()).collect();
            sim.at(t, move |sim| {
                let words: Vec<&str> = rest.iter().map(String::as_str).collect();
                inject(sim, &words);
            });
            Ok(())
        }
        "until" => {
            sim.run_until(parser::seconds(next_word(&mut it)));
            Ok(())
        }
        "expect" => expectations::expect(sim, &mut it),
        "random" => {
            random_day::schedule(sim, number(next_word(&mut it)) as u64);
            Ok(())
        }
        _ => setup::statement(sim, name, &mut it),
    }
}

/// Executes an event now: a request of users, or a fault.
fn inject(sim: &mut Simulation, words: &[&str]) {
    sim.faults_end_at = sim
        .faults_end_at
        .max(sim.now + selectors::duration_of(words));
    let mut it: Words<'_> = words.iter();
    let name = next_word(&mut it);
    let is_known = workload::event(sim, name, &mut it)
        || network_faults::event(sim, name, &mut it)
        || store_faults::event(sim, name, &mut it)
        || machine_faults::event(sim, name, &mut it);
    assert!(is_known, "unknown event {name}");
}
