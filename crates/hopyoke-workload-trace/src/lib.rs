//! Histories of runs, as files.
//!
//! Two forms are read: the project's own (CSV with the header of [`Run`]'s fields, as
//! `hopyoke history` writes it) and the [Standard Workload Format], version 2, in which most
//! published logs of parallel machines stand. A line that can't be used is named by line, field
//! and reason, and either skipped or refused.
//!
//! [Standard Workload Format]: https://www.cs.huji.ac.il/labs/parallel/workload/swf.html

mod own;
mod swf;

pub use own::Writer;
use serde::{Deserialize, Serialize};

/// One run: a task, or a job of which all tasks run together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Microseconds since the start of the history, or time of day.
    pub submitted_us: u64,
    /// 0: not known.
    pub ended_us: u64,
    pub job: String,
    pub index: u32,
    pub class: String,
    pub team: String,
    pub image: String,
    /// Tasks that ran together; 1 for a task by itself.
    pub tasks: u32,
    /// What one task takes.
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    /// Empty: several, or not known.
    pub machine: String,
    /// The owner's estimate; 0: none.
    pub estimate_s: f64,
    pub ran_s: f64,
}

/// A line that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, field {field}: {reason}")]
pub struct Fault {
    /// Counted from 1.
    pub line: u64,
    pub field: String,
    pub reason: String,
}

/// What was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// In the order of their submission.
    pub runs: Vec<Run>,
    /// Lines that were skipped.
    pub faults: Vec<Fault>,
    /// Classes whose runs changed at a time (seconds), as notes in the file's header say:
    /// `; Change: CLASS SECONDS`.
    pub changes: Vec<(String, f64)>,
}

/// Longer run times than this (30 days) are taken for errors.
pub const MOST_S: f64 = 2_592_000.0;
/// Files longer than this are refused.
pub const MOST_BYTES: usize = 256 * 1024 * 1024;

/// Reads a history; which form it has is told by its first line.
///
/// # Errors
/// With `strict`, the first line that can't be used; else only what makes the whole unusable.
pub fn read(text: &str, strict: bool) -> Result<History, Fault> {
    if text.len() > MOST_BYTES {
        return Err(fault(1, "file", &format!("longer than {MOST_BYTES} bytes")));
    }
    let first = text.lines().next().unwrap_or("");
    let mut history = if first.starts_with("submitted_us,") {
        own::read(text, strict)?
    } else {
        swf::read(text, strict)?
    };
    if history.runs.is_empty() {
        let (line, why) = match history.faults.first() {
            Some(f) => (
                f.line,
                format!(
                    "no run can be used; the first fault: field {}: {}",
                    f.field, f.reason
                ),
            ),
            None => (1, "there are no runs".to_owned()),
        };
        return Err(fault(line, "file", &why));
    }
    history.runs.sort_by_key(|r| r.submitted_us);
    Ok(history)
}

fn fault(line: u64, field: &str, reason: &str) -> Fault {
    Fault {
        line,
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

/// Checks what both forms have in common.
fn check(run: &Run) -> Result<(), (&'static str, String)> {
    let time = |x: f64| x.is_finite() && x > 0.0 && x <= MOST_S;
    if !time(run.ran_s) {
        return Err((
            "ran_s",
            format!("{} is not a run time above 0 and up to 30 days", run.ran_s),
        ));
    }
    if run.estimate_s != 0.0 && !time(run.estimate_s) {
        return Err((
            "estimate_s",
            format!("{} is neither 0 nor a time up to 30 days", run.estimate_s),
        ));
    }
    if run.tasks == 0 || run.tasks > 100_000 {
        return Err(("tasks", format!("{} is not in 1 to 100000", run.tasks)));
    }
    for (field, x) in [
        ("cpus", run.cpus),
        ("gpus", run.gpus),
        ("mem_gb", run.mem_gb),
    ] {
        if !(x.is_finite() && (0.0..=1e6).contains(&x)) {
            return Err((field, format!("{x} is not an amount")));
        }
    }
    if run.class.is_empty() || run.class.len() > 128 {
        return Err(("class", "must have 1 to 128 bytes".into()));
    }
    if run.submitted_us > 1 << 60 || run.ended_us > 1 << 60 {
        return Err(("submitted_us", "is not a time".into()));
    }
    Ok(())
}
