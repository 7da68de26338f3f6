//! The Standard Workload Format: one line per job, 18 numbers, -1 for what is not known.

use crate::{FieldError, LineError, Run, WorkloadTrace, check, line_error};

/// Indices of the fields that are used.
const NUMBER: usize = 0;
const SUBMIT: usize = 1;
const WAIT: usize = 2;
const RUN: usize = 3;
const ALLOCATED: usize = 4;
const MEMORY: usize = 6;
const REQUESTED: usize = 7;
const ESTIMATE: usize = 8;
const STATUS: usize = 10;
const USER: usize = 11;
const GROUP: usize = 12;
const APPLICATION: usize = 13;

/// All fields, in their order.
const NAMES: [&str; 18] = [
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

/// Reads the whole text; with `strict`, the first line that cannot be used is the error.
pub(crate) fn read(text: &str, strict: bool) -> Result<WorkloadTrace, LineError> {
    let mut out = WorkloadTrace::default();
    for (i, line) in text.lines().enumerate() {
        let (n, line) = (i as u64 + 1, line.trim());
        if let Some(note) = line.strip_prefix(';') {
            if let Some((class, at)) = note
                .trim()
                .strip_prefix("Change:")
                .and_then(|c| c.trim().split_once(' '))
                && let Ok(at) = at.trim().parse::<f64>()
            {
                out.class_changes.push((class.to_owned(), at));
            }
            continue;
        }
        if line.is_empty() {
            continue;
        }
        match job(n, line) {
            Ok(Some(run)) => out.runs.push(run),
            // The run time of a job that did not complete is no sample of its class's.
            Ok(None) => {}
            Err(f) if strict => return Err(f),
            Err(f) => out.skipped.push(f),
        }
    }
    Ok(out)
}

/// The numbers of a job's line.
fn fields(line: u64, text: &str) -> Result<[f64; 18], LineError> {
    let columns: Vec<&str> = text.split_whitespace().collect();
    if columns.len() != NAMES.len() {
        return Err(line_error(
            line,
            "all",
            &format!("{} fields, not {}", columns.len(), NAMES.len()),
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
                    NAMES[k],
                    &format!(
                        "`{}` is not a number",
                        column.chars().take(20).collect::<String>()
                    ),
                )
            })?;
    }
    Ok(x)
}

/// A job's line; `None`: the job did not complete.
fn job(line: u64, text: &str) -> Result<Option<Run>, LineError> {
    let x = fields(line, text)?;
    if !(0.0..=1e12).contains(&x[SUBMIT]) {
        return Err(line_error(
            line,
            NAMES[SUBMIT],
            &format!("{} is not a time", x[SUBMIT]),
        ));
    }
    // 0 failed, 5 cancelled; 2 to 4 are parts of a job that is summed up in a line of its own.
    if !matches!(x[STATUS] as i64, 1 | -1) {
        return Ok(None);
    }
    let known = |k: usize| (x[k] >= 0.0).then_some(x[k]);
    let processors = known(ALLOCATED)
        .or(known(REQUESTED))
        .unwrap_or(1.0)
        .clamp(0.0, 1e6) as u32;
    let class = match (known(APPLICATION), known(USER)) {
        (Some(a), _) => format!("app-{a}"),
        (None, Some(u)) => format!("user-{u}"),
        (None, None) => "all".to_owned(),
    };
    let wait = known(WAIT).unwrap_or(0.0).min(1e12);
    let us = |s: f64| (s * 1e6) as u64;
    let run = Run {
        submitted_us: us(x[SUBMIT]),
        ended_us: us(x[SUBMIT] + wait + x[RUN].clamp(0.0, 1e9)),
        job: format!("{}", x[NUMBER]),
        index: 0,
        class,
        team: known(GROUP).map_or_else(|| "all".to_owned(), |g| format!("group-{g}")),
        image: String::new(),
        tasks: processors,
        cpus: 1.0,
        gpus: 0.0,
        mem_gb: known(MEMORY).map_or(0.0, |kb| (kb / 1_048_576.0).min(1e6)),
        machine: String::new(),
        estimate_s: known(ESTIMATE).unwrap_or(0.0),
        ran_s: x[RUN],
    };
    check(&run).map_err(|FieldError { field, reason }| {
        let name = match field {
            "ran_s" => NAMES[RUN],
            "estimate_s" => NAMES[ESTIMATE],
            "tasks" => NAMES[ALLOCATED],
            other => other,
        };
        line_error(line, name, &reason)
    })?;
    Ok(Some(run))
}
