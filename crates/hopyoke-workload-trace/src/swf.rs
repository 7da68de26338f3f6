//! The Standard Workload Format: one line of 18 numbers per job, with -1 for unknown values.

use crate::{FieldError, LineError, Run, WorkloadTrace, line_error, validate};

/// Indices of the fields that are read.
const JOB_NUMBER: usize = 0;
const SUBMIT_TIME: usize = 1;
const WAIT_TIME: usize = 2;
const RUN_TIME: usize = 3;
const ALLOCATED_PROCESSORS: usize = 4;
const USED_MEMORY: usize = 6;
const REQUESTED_PROCESSORS: usize = 7;
const REQUESTED_TIME: usize = 8;
const STATUS: usize = 10;
const USER: usize = 11;
const GROUP: usize = 12;
const EXECUTABLE: usize = 13;

/// Names of all fields, in order, for error messages.
const FIELD_NAMES: [&str; 18] = [
    "job number",
    "submit time",
    "wait time",
    "run time",
    "allocated processors",
    "average CPU time",
    "used memory",
    "requested processors",
    "requested time",
    "requested memory",
    "status",
    "user",
    "group",
    "executable",
    "queue",
    "partition",
    "preceding job",
    "think time",
];

/// Parses a trace in the Standard Workload Format. Fails on the first invalid line if `strict`, else skips invalid
/// lines.
pub(crate) fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    let mut trace = WorkloadTrace::default();
    for (i, line) in text.lines().enumerate() {
        let (n, line) = (i as u64 + 1, line.trim());
        if let Some(note) = line.strip_prefix(';') {
            if let Some((class, at)) = note
                .trim()
                .strip_prefix("Change:")
                .and_then(|c| c.trim().split_once(' '))
                && let Ok(at) = at.trim().parse::<f64>()
            {
                trace.class_changes.push((class.to_owned(), at));
            }
            continue;
        }
        if line.is_empty() {
            continue;
        }
        match parse_job(n, line) {
            Ok(Some(run)) => trace.runs.push(run),
            // The run time of an incomplete job is no valid sample of its class.
            Ok(None) => {}
            Err(f) if strict => return Err(f),
            Err(f) => trace.skipped.push(f),
        }
    }
    Ok(trace)
}

/// Parses the 18 numbers of a job line.
fn parse_fields(line: u64, text: &str) -> Result<[f64; 18], LineError> {
    let columns: Vec<&str> = text.split_whitespace().collect();
    if columns.len() != FIELD_NAMES.len() {
        return Err(line_error(
            line,
            "all",
            &format!(
                "expected {1} fields, found {0}",
                columns.len(),
                FIELD_NAMES.len()
            ),
        ));
    }
    let mut x = [0.0f64; 18];
    for (k, column) in columns.iter().enumerate() {
        x[k] = column
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .ok_or_else(|| {
                line_error(
                    line,
                    FIELD_NAMES[k],
                    &format!(
                        "`{}` is not a number",
                        column.chars().take(20).collect::<String>()
                    ),
                )
            })?;
    }
    Ok(x)
}

/// Parses a job line. Returns `None` if the job did not complete.
fn parse_job(line: u64, text: &str) -> Result<Option<Run>, LineError> {
    let x = parse_fields(line, text)?;
    if !(0.0..=1e12).contains(&x[SUBMIT_TIME]) {
        return Err(line_error(
            line,
            FIELD_NAMES[SUBMIT_TIME],
            &format!("{} is not a valid time", x[SUBMIT_TIME]),
        ));
    }
    // 0 is failed and 5 cancelled; 2 to 4 are partial executions of a job that has a summary line of its own.
    if !matches!(x[STATUS] as i64, 1 | -1) {
        return Ok(None);
    }
    let known = |k: usize| (x[k] >= 0.0).then_some(x[k]);
    let processors = known(ALLOCATED_PROCESSORS)
        .or(known(REQUESTED_PROCESSORS))
        .unwrap_or(1.0)
        .clamp(0.0, 1e6) as u32;
    let class = match (known(EXECUTABLE), known(USER)) {
        (Some(a), _) => format!("app-{a}"),
        (None, Some(u)) => format!("user-{u}"),
        (None, None) => "all".to_owned(),
    };
    let wait = known(WAIT_TIME).unwrap_or(0.0).min(1e12);
    let us = |s: f64| (s * 1e6) as u64;
    let run = Run {
        submitted_us: us(x[SUBMIT_TIME]),
        ended_us: us(x[SUBMIT_TIME] + wait + x[RUN_TIME].clamp(0.0, 1e9)),
        job: format!("{}", x[JOB_NUMBER]),
        index: 0,
        class,
        team: known(GROUP).map_or_else(|| "all".to_owned(), |g| format!("group-{g}")),
        image: String::new(),
        tasks: processors,
        cpus: 1.0,
        gpus: 0.0,
        mem_gb: known(USED_MEMORY).map_or(0.0, |kb| (kb / 1_048_576.0).min(1e6)),
        machine: String::new(),
        estimate_s: known(REQUESTED_TIME).unwrap_or(0.0),
        ran_s: x[RUN_TIME],
    };
    validate(&run).map_err(|FieldError { field, reason }| {
        let name = match field {
            "ran_s" => FIELD_NAMES[RUN_TIME],
            "estimate_s" => FIELD_NAMES[REQUESTED_TIME],
            "tasks" => FIELD_NAMES[ALLOCATED_PROCESSORS],
            other => other,
        };
        line_error(line, name, &reason)
    })?;
    Ok(Some(run))
}
