//! Expectations about the cluster, and dispatch of those about jobs.

use super::job_expectations::{expect_class, expect_job, expect_when};
use super::parser::{Words, key_values, next_word, number, seconds};
use super::service_expectations::{expect_accepted, expect_begun, expect_largest, expect_served};
use crate::Simulation;
use hopyoke_types::{JobId, MachineId, Micros};

/// Returns `Ok` if an expectation is met, and otherwise an error that says what was found.
pub(super) fn check(is_met: bool, found: impl FnOnce() -> String) -> Result<(), String> {
    if is_met { Ok(()) } else { Err(found()) }
}

/// Checks an `expect SUBJECT ...` statement.
///
/// # Errors
///
/// Returns what was found instead.
pub(super) fn expect(sim: &Simulation, words: &mut Words<'_>) -> Result<(), String> {
    let subject = next_word(words);
    let argument = next_word(words);
    match subject {
        "leaders" => expect_leaders(sim, argument, words),
        "machines" => expect_machines(sim, argument, words),
        "class" => expect_class(sim, argument, words),
        "when" => expect_when(sim, argument, words),
        "machine" => {
            let exists = sim.machines.contains_key(&MachineId::new(argument));
            check(exists == (next_word(words) == "there"), || {
                format!("machine {argument} exists: {exists}")
            })
        }
        "looks" => expect_work_per_event(sim, argument, words),
        "rented" => {
            let created = sim.scale_outs.values().map(Vec::len).sum::<usize>();
            let is_met = argument == "most" && created <= number(next_word(words)) as usize;
            check(is_met, || {
                format!("{created} machines were created by scale-outs")
            })
        }
        "refused" => expect_rejected_requests(sim, argument, words),
        "began" => expect_begun(sim),
        "accepted" => expect_accepted(sim, argument, words),
        "served" | "ended" => expect_served(sim, subject == "ended", argument, words),
        "largest" => expect_largest(sim, argument, words),
        "started" => expect_started(sim, argument, words),
        "cancelled_starts" => expect_starts_after_cancellation(sim, argument, words),
        "lapses" => {
            let is_met =
                argument == "most" && sim.expired_epochs <= number(next_word(words)) as u32;
            check(is_met, || {
                format!("{} agent epochs expired", sim.expired_epochs)
            })
        }
        "recovery" => {
            let is_met =
                argument == "most" && sim.longest_reconciliation <= seconds(next_word(words));
            let found_s = sim.longest_reconciliation.as_secs_f64();
            check(is_met, || {
                format!("the longest reconciliation took {found_s:.1} s")
            })
        }
        job => expect_job(sim, &JobId::new(job), argument, words),
    }
}

/// `expect leaders most|least|is N`: elections won.
fn expect_leaders(sim: &Simulation, comparison: &str, words: &mut Words<'_>) -> Result<(), String> {
    let expected = number(next_word(words)) as u32;
    let is_met = match comparison {
        "most" => sim.elected_leaders <= expected,
        "least" => sim.elected_leaders >= expected,
        _ => sim.elected_leaders == expected,
    };
    check(is_met, || {
        format!("{} elections were won", sim.elected_leaders)
    })
}

/// `expect machines most|is N`.
fn expect_machines(
    sim: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let expected = number(next_word(words)) as usize;
    let found = sim.machines.len();
    let is_met = if comparison == "most" {
        found <= expected
    } else {
        found == expected
    };
    check(is_met, || format!("{found} machines"))
}

/// `expect looks report|tick N`: most entities visited for a heartbeat without a placement, or for a tick.
fn expect_work_per_event(
    sim: &Simulation,
    event: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let visited = if event == "report" {
        sim.max_entities_per_heartbeat
    } else {
        sim.max_entities_per_tick
    };
    let bound = number(next_word(words)) as u64;
    check(visited <= bound, || {
        format!("up to {visited} entities visited")
    })
}

/// `expect refused most PERCENT`: rejected requests to the key-value store.
fn expect_rejected_requests(
    sim: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let limits = sim.limits.as_ref();
    let limits = limits.ok_or("the key-value store has no rate limits in this scenario")?;
    let all = (limits.rejected_count + limits.accepted_count).max(1);
    let percent = limits.rejected_count as f64 * 100.0 / all as f64;
    let is_met = comparison == "most" && percent <= number(next_word(words));
    check(is_met, || {
        format!("{percent:.1}% of the requests were rejected")
    })
}

/// `expect started most|least N`: jobs of which a task has started.
fn expect_started(sim: &Simulation, comparison: &str, words: &mut Words<'_>) -> Result<(), String> {
    let started = sim.jobs.values().filter(|j| j.start_count > 0).count();
    let bound = number(next_word(words)) as usize;
    let is_met = if comparison == "most" {
        started <= bound
    } else {
        started >= bound
    };
    check(is_met, || {
        format!("{started} of {} jobs have started", sim.jobs.len())
    })
}

/// `expect cancelled_starts most N [after SECONDS]`: task starts more than SECONDS after the user observed the
/// cancellation.
fn expect_starts_after_cancellation(
    sim: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let bound = number(next_word(words)) as usize;
    let pairs = key_values(words);
    let after = pairs.get("after").map_or(Micros::ZERO, |s| seconds(s));
    let starts = &sim.starts_after_cancellation;
    let late_starts = starts.iter().filter(|t| **t > after).count();
    let last_s = starts
        .iter()
        .max()
        .copied()
        .unwrap_or_default()
        .as_secs_f64();
    check(comparison == "most" && late_starts <= bound, || {
        format!("{late_starts} late starts of cancelled tasks, the last after {last_s:.3} s")
    })
}
