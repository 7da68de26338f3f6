//! Reads and writes recorded workloads.
//!
//! Two formats are supported: the native one (CSV whose header lists the fields of [`Run`], as
//! written by `hopyoke history`) and the [Standard Workload Format], version 2, which most
//! published traces of parallel machines use and which is only read. An invalid line is reported with its
//! number, field and reason, and is either skipped or rejected.
//!
//! [Standard Workload Format]: https://www.cs.huji.ac.il/labs/parallel/workload/swf.html

mod native;
mod swf;

pub use native::{WriteError, Writer};
use serde::{Deserialize, Serialize};

/// A completed run of a task, or of a gang-scheduled job with all its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Submission time, in microseconds since the start of the trace or the Unix epoch.
    pub submitted_us: u64,
    /// End time, on the clock of `submitted_us`; 0 if unknown.
    pub ended_us: u64,
    /// Job ID.
    pub job: String,
    /// Index of the task within the job array.
    pub index: u32,
    /// Class of jobs with similar run times; 1 to 128 bytes.
    pub class: String,
    /// Team that the run is accounted to.
    pub team: String,
    /// Container image; empty if unknown.
    pub image: String,
    /// Number of tasks that ran together, 1 to 100,000; 1 unless gang-scheduled.
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task, in gigabytes.
    pub mem_gb: f64,
    /// Machine ID; empty if there were several or it is unknown.
    pub machine: String,
    /// Run time that the user estimated, in seconds; 0 if none was given.
    pub estimate_s: f64,
    /// Actual run time in seconds, above 0 and at most [`MAX_RUN_TIME_S`].
    pub ran_s: f64,
}

/// An error in one line of a trace, or in the whole file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, field {field}: {reason}")]
pub struct LineError {
    /// Line number, from 1.
    pub line: u64,
    /// Field name; `all` for the whole line, `file` for the whole file.
    pub field: String,
    /// Description of the error.
    pub reason: String,
}

/// A recorded workload.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkloadTrace {
    /// Runs in order of submission.
    pub runs: Vec<Run>,
    /// Errors of the lines that were skipped.
    pub skipped: Vec<LineError>,
    /// Classes whose run times change during the trace, with the time of the change in seconds since its
    /// start. Read from comments of the form `; Change: CLASS SECONDS`.
    pub class_changes: Vec<(String, f64)>,
}

/// Maximum run time (30 days), in seconds; longer ones are invalid.
pub const MAX_RUN_TIME_S: f64 = 2_592_000.0;
/// Maximum size of a trace file, in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024 * 1024;

/// Parses a trace. The format is detected from the first line.
///
/// # Errors
/// Returns the first invalid line if `strict`. Otherwise invalid lines are skipped, and an error is returned only
/// if the file is too large, its header is invalid, or it contains no valid run.
pub fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    if text.len() > MAX_FILE_BYTES {
        return Err(line_error(
            1,
            "file",
            &format!("exceeds {MAX_FILE_BYTES} bytes"),
        ));
    }
    let first = text.lines().next().unwrap_or("");
    let mut trace = if first.starts_with("submitted_us,") {
        native::read(text, strict)?
    } else {
        swf::read(text, strict)?
    };
    if trace.runs.is_empty() {
        let (line, reason) = match trace.skipped.first() {
            Some(f) => (
                f.line,
                format!(
                    "no valid runs; first error: field {}: {}",
                    f.field, f.reason
                ),
            ),
            None => (1, "the file contains no runs".to_owned()),
        };
        return Err(line_error(line, "file", &reason));
    }
    trace.runs.sort_by_key(|r| r.submitted_us);
    Ok(trace)
}

fn line_error(line: u64, field: &str, reason: &str) -> LineError {
    LineError {
        line,
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

/// A field of a [`Run`] whose value is out of range.
struct FieldError {
    field: &'static str,
    reason: String,
}

/// Validates the ranges that apply to both formats.
fn validate(run: &Run) -> Result<(), FieldError> {
    let fail = |field, reason| Err(FieldError { field, reason });
    let is_valid_run_time = |x: f64| x.is_finite() && x > 0.0 && x <= MAX_RUN_TIME_S;
    if !is_valid_run_time(run.ran_s) {
        let reason = format!("{} is not a run time above 0 and up to 30 days", run.ran_s);
        return fail("ran_s", reason);
    }
    if run.estimate_s != 0.0 && !is_valid_run_time(run.estimate_s) {
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
            return fail(field, format!("{x} is not between 0 and 1000000"));
        }
    }
    if run.class.is_empty() || run.class.len() > 128 {
        return fail("class", "must have 1 to 128 bytes".into());
    }
    if run.submitted_us > 1 << 60 || run.ended_us > 1 << 60 {
        return fail("submitted_us", "is not a valid time".into());
    }
    Ok(())
}
