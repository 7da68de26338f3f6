//! The Standard Workload Format: a line a job, 18 numbers, -1 for what is not known.

use crate::{Fault, History, Run, check, fault};

/// The fields that are used, by their place from 0.
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

pub(crate) fn read(text: &str, strict: bool) -> Result<History, Fault> {
    let mut out = History::default();
    for (i, line) in text.lines().enumerate() {
        let (n, line) = (i as u64 + 1, line.trim());
        if let Some(note) = line.strip_prefix(';') {
            if let Some((class, at)) = note
                .trim()
                .strip_prefix("Change:")
                .and_then(|c| c.trim().split_once(' '))
                && let Ok(at) = at.trim().parse::<f64>()
            {
                out.changes.push((class.to_owned(), at));
            }
            continue;
        }
        if line.is_empty() {
            continue;
        }
        match job(n, line) {
            Ok(Some(run)) => out.runs.push(run),
            // It did not complete: its run time says nothing about its work.
            Ok(None) => {}
            Err(f) if strict => return Err(f),
            Err(f) => out.faults.push(f),
        }
    }
    Ok(out)
}

fn job(line: u64, text: &str) -> Result<Option<Run>, Fault> {
    let words: Vec<&str> = text.split_whitespace().collect();
    if words.len() != NAMES.len() {
        return Err(fault(
            line,
            "all",
            &format!("{} fields, not {}", words.len(), NAMES.len()),
        ));
    }
    let mut x = [0.0f64; 18];
    for (k, word) in words.iter().enumerate() {
        x[k] = word
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .ok_or_else(|| {
                fault(
                    line,
                    NAMES[k],
                    &format!(
                        "`{}` is not a number",
                        word.chars().take(20).collect::<String>()
                    ),
                )
            })?;
    }
    if !(0.0..=1e12).contains(&x[SUBMIT]) {
        return Err(fault(
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
    check(&run).map_err(|(field, reason)| {
        let name = match field {
            "ran_s" => NAMES[RUN],
            "estimate_s" => NAMES[ESTIMATE],
            "tasks" => NAMES[ALLOCATED],
            other => other,
        };
        fault(line, name, &reason)
    })?;
    Ok(Some(run))
}
