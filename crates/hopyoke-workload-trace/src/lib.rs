//! Recorded workloads, as files.
//!
//! Two formats are read: the project's own (CSV with the header of [`Run`]'s fields, as
//! `hopyoke history` writes it) and the [Standard Workload Format], version 2, in which most
//! published logs of parallel machines are kept. A line that cannot be used is reported by line, field
//! and reason, and either skipped or refused.
//!
//! [Standard Workload Format]: https://www.cs.huji.ac.il/labs/parallel/workload/swf.html

mod native;
mod swf;

pub use native::{WriteError, Writer};
use serde::{Deserialize, Serialize};

/// One run: a task, or a job of which all tasks run together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Submission, in microseconds since the start of the history or since 1970.
    pub submitted_us: u64,
    /// End, as `submitted_us`; 0: not known.
    pub ended_us: u64,
    /// Id of the job.
    pub job: String,
    /// Number of the task within the job.
    pub index: u32,
    /// Class of similar jobs; 1 to 128 bytes.
    pub class: String,
    /// Team of the owner.
    pub team: String,
    /// Image; empty: not known.
    pub image: String,
    /// Tasks that ran together, 1 to 100,000; 1 for a task by itself.
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, in gigabytes.
    pub mem_gb: f64,
    /// Machine; empty: several, or not known.
    pub machine: String,
    /// The owner's estimate of the run time, in seconds; 0: none.
    pub estimate_s: f64,
    /// Run time in seconds, above 0 and up to [`MAX_RUN_TIME_S`].
    pub ran_s: f64,
}

/// A line that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, field {field}: {reason}")]
pub struct LineError {
    /// Number of the line, from 1.
    pub line: u64,
    /// Name of the field; `all` for the whole line, `file` for the whole file.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// A recorded workload.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkloadTrace {
    /// Runs in the order of their submission.
    pub runs: Vec<Run>,
    /// Lines that were skipped.
    pub skipped: Vec<LineError>,
    /// Classes whose run times changed, and when, in seconds since the start of the history. They come
    /// from comments of the form `; Change: CLASS SECONDS`.
    pub class_changes: Vec<(String, f64)>,
}

/// Longer run times than this (30 days) are taken for errors, in seconds.
pub const MAX_RUN_TIME_S: f64 = 2_592_000.0;
/// Longer files are refused, in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024 * 1024;

/// Reads a recorded workload. Its first line shows which format it has.
///
/// # Errors
/// With `strict`, the first line that cannot be used; else only what makes the whole file unusable.
pub fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    if text.len() > MAX_FILE_BYTES {
        return Err(line_error(
            1,
            "file",
            &format!("longer than {MAX_FILE_BYTES} bytes"),
        ));
    }
    let first = text.lines().next().unwrap_or("");
    let mut history = if first.starts_with("submitted_us,") {
        native::read(text, strict)?
    } else {
        swf::read(text, strict)?
    };
    if history.runs.is_empty() {
        let (line, reason) = match history.skipped.first() {
            Some(f) => (
                f.line,
                format!(
                    "no run can be used; the first fault: field {}: {}",
                    f.field, f.reason
                ),
            ),
            None => (1, "there are no runs".to_owned()),
        };
        return Err(line_error(line, "file", &reason));
    }
    history.runs.sort_by_key(|r| r.submitted_us);
    Ok(history)
}

fn line_error(line: u64, field: &str, reason: &str) -> LineError {
    LineError {
        line,
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

/// A field of a [`Run`] that is out of range.
struct FieldError {
    field: &'static str,
    reason: String,
}

/// Checks the ranges that both formats have in common.
fn check(run: &Run) -> Result<(), FieldError> {
    let fail = |field, reason| Err(FieldError { field, reason });
    let is_run_time = |x: f64| x.is_finite() && x > 0.0 && x <= MAX_RUN_TIME_S;
    if !is_run_time(run.ran_s) {
        let reason = format!("{} is not a run time above 0 and up to 30 days", run.ran_s);
        return fail("ran_s", reason);
    }
    if run.estimate_s != 0.0 && !is_run_time(run.estimate_s) {
        let reason = format!("{} is neither 0 nor a time up to 30 days", run.estimate_s);
        return fail("estimate_s", reason);
    }
    if run.tasks == 0 || run.tasks > 100_000 {
        return fail("tasks", format!("{} is not in 1 to 100000", run.tasks));
    }
    for (field, x) in [
        ("cpus", run.cpus),
        ("gpus", run.gpus),
        ("mem_gb", run.mem_gb),
    ] {
        if !(x.is_finite() && (0.0..=1e6).contains(&x)) {
            return fail(field, format!("{x} is not an amount"));
        }
    }
    if run.class.is_empty() || run.class.len() > 128 {
        return fail("class", "must have 1 to 128 bytes".into());
    }
    if run.submitted_us > 1 << 60 || run.ended_us > 1 << 60 {
        return fail("submitted_us", "is not a time".into());
    }
    Ok(())
}
