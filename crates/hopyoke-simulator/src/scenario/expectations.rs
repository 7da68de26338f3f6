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
/// Says what was found instead.
pub(super) fn expect(w: &Simulation, words: &mut Words<'_>) -> Result<(), String> {
    let subject = next_word(words);
    let argument = next_word(words);
    match subject {
        "leaders" => expect_leaders(w, argument, words),
        "machines" => expect_machines(w, argument, words),
        "class" => expect_class(w, argument, words),
        "when" => expect_when(w, argument, words),
        "machine" => {
            let exists = w.machines.contains_key(&MachineId::new(argument));
            check(exists == (next_word(words) == "there"), || {
                format!("machine {argument} exists: {exists}")
            })
        }
        "looks" => expect_work_per_event(w, argument, words),
        "rented" => {
            let n = w.scale_outs.values().map(Vec::len).sum::<usize>();
            let is_met = argument == "most" && n <= number(next_word(words)) as usize;
            check(is_met, || {
                format!("{n} machines were created by scale-outs")
            })
        }
        "refused" => expect_rejected_requests(w, argument, words),
        "began" => expect_begun(w),
        "accepted" => expect_accepted(w, argument, words),
        "served" | "ended" => expect_served(w, subject == "ended", argument, words),
        "largest" => expect_largest(w, argument, words),
        "started" => expect_started(w, argument, words),
        "cancelled_starts" => expect_starts_after_cancellation(w, argument, words),
        "lapses" => {
            let is_met = argument == "most" && w.expired_epochs <= number(next_word(words)) as u32;
            check(is_met, || {
                format!("{} agent epochs expired", w.expired_epochs)
            })
        }
        "recovery" => {
            let is_met =
                argument == "most" && w.longest_reconciliation <= seconds(next_word(words));
            let found_s = w.longest_reconciliation.as_secs_f64();
            check(is_met, || {
                format!("the longest reconciliation took {found_s:.1} s")
            })
        }
        job => expect_job(w, &JobId::new(job), argument, words),
    }
}

/// `expect leaders most|least|is N`: elections won.
fn expect_leaders(w: &Simulation, comparison: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = number(next_word(words)) as u32;
    let is_met = match comparison {
        "most" => w.elected_leaders <= n,
        "least" => w.elected_leaders >= n,
        _ => w.elected_leaders == n,
    };
    check(is_met, || {
        format!("{} elections were won", w.elected_leaders)
    })
}

/// `expect machines most|is N`.
fn expect_machines(w: &Simulation, comparison: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = number(next_word(words)) as usize;
    let found = w.machines.len();
    let is_met = if comparison == "most" {
        found <= n
    } else {
        found == n
    };
    check(is_met, || format!("{found} machines"))
}

/// `expect looks report|tick N`: most entities visited for a heartbeat without a placement, or for a tick.
fn expect_work_per_event(w: &Simulation, event: &str, words: &mut Words<'_>) -> Result<(), String> {
    let visited = if event == "report" {
        w.max_entities_per_heartbeat
    } else {
        w.max_entities_per_tick
    };
    let bound = number(next_word(words)) as u64;
    check(visited <= bound, || {
        format!("up to {visited} entities visited")
    })
}

/// `expect refused most PERCENT`: rejected requests to the key-value store.
fn expect_rejected_requests(
    w: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let limits = w.limits.as_ref();
    let limits = limits.ok_or("the key-value store has no rate limits in this scenario")?;
    let all = (limits.rejected_count + limits.accepted_count).max(1);
    let percent = limits.rejected_count as f64 * 100.0 / all as f64;
    let is_met = comparison == "most" && percent <= number(next_word(words));
    check(is_met, || {
        format!("{percent:.1}% of the requests were rejected")
    })
}

/// `expect started most|least N`: jobs of which a task has started.
fn expect_started(w: &Simulation, comparison: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = w.jobs.values().filter(|j| j.start_count > 0).count();
    let bound = number(next_word(words)) as usize;
    let is_met = if comparison == "most" {
        n <= bound
    } else {
        n >= bound
    };
    check(is_met, || {
        format!("{n} of {} jobs have started", w.jobs.len())
    })
}

/// `expect cancelled_starts most N [after SECONDS]`: task starts more than SECONDS after the user observed the
/// cancellation.
fn expect_starts_after_cancellation(
    w: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let bound = number(next_word(words)) as usize;
    let pairs = key_values(words);
    let after = pairs.get("after").map_or(Micros::ZERO, |s| seconds(s));
    let starts = &w.starts_after_cancellation;
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
