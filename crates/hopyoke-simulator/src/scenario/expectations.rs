//! Expectations: what a scenario asserts about the cluster, and the way to those about jobs.

use super::job_expectations::{expect_class, expect_job, expect_when};
use super::parser::{Words, key_values, next_word, number, seconds};
use super::service_expectations::{expect_accepted, expect_begun, expect_largest, expect_served};
use crate::Simulation;
use hopyoke_types::{JobId, MachineId, Micros};

/// `Ok` if an expectation is met, else what was found.
pub(super) fn met(is_met: bool, found: impl FnOnce() -> String) -> Result<(), String> {
    if is_met { Ok(()) } else { Err(found()) }
}

/// `expect SUBJECT ...`.
///
/// # Errors
///
/// What was found instead.
pub(super) fn expect(w: &Simulation, words: &mut Words<'_>) -> Result<(), String> {
    let subject = next_word(words);
    let what = next_word(words);
    match subject {
        "leaders" => expect_leaders(w, what, words),
        "machines" => expect_machines(w, what, words),
        "class" => expect_class(w, what, words),
        "when" => expect_when(w, what, words),
        "machine" => {
            let exists = w.machines.contains_key(&MachineId::new(what));
            met(exists == (next_word(words) == "there"), || {
                format!("{what} is there: {exists}")
            })
        }
        "looks" => expect_work_per_event(w, what, words),
        "rented" => {
            let n = w.scale_outs.values().map(Vec::len).sum::<usize>();
            let is_met = what == "most" && n <= number(next_word(words)) as usize;
            met(is_met, || format!("{n} machines were rented"))
        }
        "refused" => expect_rejected_requests(w, what, words),
        "began" => expect_begun(w),
        "accepted" => expect_accepted(w, what, words),
        "served" | "ended" => expect_served(w, subject == "ended", what, words),
        "largest" => expect_largest(w, what, words),
        "started" => expect_started(w, what, words),
        "cancelled_starts" => expect_starts_after_cancellation(w, what, words),
        "lapses" => {
            let is_met = what == "most" && w.expired_epochs <= number(next_word(words)) as u32;
            met(is_met, || format!("{} sessions lapsed", w.expired_epochs))
        }
        "recovery" => {
            let is_met = what == "most" && w.longest_reconciliation <= seconds(next_word(words));
            let found_s = w.longest_reconciliation.as_secs_f64();
            met(is_met, || format!("a recovery took {found_s:.1} s"))
        }
        job => expect_job(w, &JobId::new(job), what, words),
    }
}

/// `expect leaders most|least|exactly N`: elections that were won.
fn expect_leaders(w: &Simulation, what: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = number(next_word(words)) as u32;
    let is_met = match what {
        "most" => w.elected_leaders <= n,
        "least" => w.elected_leaders >= n,
        _ => w.elected_leaders == n,
    };
    met(is_met, || format!("{} nodes led", w.elected_leaders))
}

/// `expect machines most|exactly N`.
fn expect_machines(w: &Simulation, what: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = number(next_word(words)) as usize;
    let found = w.machines.len();
    let is_met = if what == "most" {
        found <= n
    } else {
        found == n
    };
    met(is_met, || format!("{found} machines"))
}

/// `expect looks report|tick N`: entities that a heartbeat without a placement, or a tick, visited at most.
fn expect_work_per_event(w: &Simulation, what: &str, words: &mut Words<'_>) -> Result<(), String> {
    let visited = if what == "report" {
        w.max_entities_per_heartbeat
    } else {
        w.max_entities_per_tick
    };
    let bound = number(next_word(words)) as u64;
    met(visited <= bound, || format!("{visited} looks"))
}

/// `expect refused most PERCENT` of the requests to the key-value store.
fn expect_rejected_requests(
    w: &Simulation,
    what: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let limits = w.limits.as_ref();
    let limits = limits.ok_or("the state service has no limits here")?;
    let all = (limits.rejected_count + limits.accepted_count).max(1);
    let percent = limits.rejected_count as f64 * 100.0 / all as f64;
    let is_met = what == "most" && percent <= number(next_word(words));
    met(is_met, || {
        format!("{percent:.1}% of the requests were refused")
    })
}

/// `expect started most|least N` jobs.
fn expect_started(w: &Simulation, what: &str, words: &mut Words<'_>) -> Result<(), String> {
    let n = w.jobs.values().filter(|j| j.start_count > 0).count();
    let bound = number(next_word(words)) as usize;
    let is_met = if what == "most" {
        n <= bound
    } else {
        n >= bound
    };
    met(is_met, || {
        format!("{n} of {} jobs have started", w.jobs.len())
    })
}

/// `expect cancelled_starts most N [after SECONDS]`: starts of tasks so long after their users were told of the
/// cancellation.
fn expect_starts_after_cancellation(
    w: &Simulation,
    what: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let bound = number(next_word(words)) as usize;
    let pairs = key_values(words);
    let after = pairs.get("after").map_or(Micros::ZERO, |s| seconds(s));
    let starts = &w.starts_after_cancellation;
    let late = starts.iter().filter(|t| **t > after).count();
    let last_s = starts
        .iter()
        .max()
        .copied()
        .unwrap_or_default()
        .as_secs_f64();
    met(what == "most" && late <= bound, || {
        format!("{late} starts of cancelled tasks, the last after {last_s:.3} s")
    })
}
