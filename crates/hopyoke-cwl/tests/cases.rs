//! The one runner of all cases: every file under `tests/cases` is a test.
//!
//! A case holds files, each after a line `=== NAME`, and then `=== expect` with one statement a line:
//!
//! ```text
//! fault FILE:LINE:COLUMN TEXT      an error there whose message or advice holds the text
//! warning FILE:LINE:COLUMN TEXT    a warning
//! step N PATH TASKS [after N,N]    the plan's step
//! steps K                          the plan has so many
//! join N                           a step without work
//! shape N JSON                     these fields of the Nth shape
//! argv STEP TASK JSON              the task's words
//! about STEP TASK JSON             these fields of the task's description
//! output NAME JSON                 what the run yields
//! ```
//!
//! The main file is `main.cwl`, inputs are in `inputs.yml`. Faults that no line expects fail the case.

use hopyoke_cwl::yaml;
use hopyoke_cwl::{Faults, Level, Options, expand, open};
use hopyoke_workflow::{RunId, StepNo};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// What `part` says is so in `whole`.
fn holds(part: &Value, whole: &Value) -> bool {
    match (part, whole) {
        (Value::Object(p), Value::Object(w)) => {
            p.iter().all(|(k, v)| w.get(k).is_some_and(|x| holds(v, x)))
        }
        (Value::Array(p), Value::Array(w)) => {
            p.len() == w.len() && p.iter().zip(w).all(|(a, b)| holds(a, b))
        }
        (Value::Number(a), Value::Number(b)) => a.as_f64() == b.as_f64(),
        (a, b) => a == b,
    }
}

fn case(text: &str) -> Result<(), String> {
    let mut files: BTreeMap<String, String> = BTreeMap::new();
    let mut name = String::new();
    for line in text.lines() {
        match line.strip_prefix("=== ") {
            Some(n) => name = n.trim().to_owned(),
            None => *files.entry(name.clone()).or_default() += &format!("{line}\n"),
        }
    }
    let expect = files.remove("expect").ok_or("no `=== expect`")?;
    let inputs = files
        .get("inputs.yml")
        .cloned()
        .unwrap_or_else(|| "{}".into());
    let (expanded, faults) = match open(&files, "main.cwl") {
        Err(faults) => (None, faults),
        Ok((process, mut faults)) => {
            let mut given = Faults::default();
            match yaml::parse(&inputs, 0, &mut 0, &mut given) {
                None => (None, given),
                Some(node) => {
                    let run = RunId::new(7).expect("in range");
                    let options = Options {
                        team: Some("crew".into()),
                        source: Some(&files),
                        ..Options::new(run)
                    };
                    let expanded = expand(&process, &node, &options, &mut faults);
                    (expanded, faults)
                }
            }
        }
    };
    let said = faults.sorted_places();
    let mut matched = vec![false; said.len()];
    for (n, line) in (1..).zip(expect.lines()) {
        let line = line.split(" #").next().unwrap_or("").trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let fail = |e: String| Err(format!("expect line {n}: `{line}`: {e}"));
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let word = || rest.split(' ').next().unwrap_or("");
        let json = |skip: usize| -> Result<Value, String> {
            let text = rest.splitn(skip + 1, ' ').nth(skip).unwrap_or("");
            serde_json::from_str(text).map_err(|e| format!("expect line {n}: {e}"))
        };
        if matches!(verb, "fault" | "warning") {
            let level = if verb == "fault" {
                Level::Error
            } else {
                Level::Warning
            };
            let (place, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let hit = said
                .iter()
                .position(|(l, p, f)| *l == level && p == place && f.contains(text));
            match hit {
                Some(i) => matched[i] = true,
                None => return fail(format!("said: {said:#?}")),
            }
            continue;
        }
        let Some(x) = &expanded else {
            return fail(format!("not expanded: {said:#?}"));
        };
        let number = |k: usize| {
            rest.split(' ')
                .nth(k)
                .and_then(|w| w.parse::<u32>().ok())
                .unwrap_or(u32::MAX)
        };
        let task = || {
            x.tasks
                .get(&StepNo(number(0)))
                .and_then(|t| t.get(number(1) as usize))
        };
        match verb {
            "steps" if x.plan.steps.len() != number(0) as usize => {
                return fail(format!("{:#?}", x.plan.steps));
            }
            "steps" => {}
            "step" | "join" => {
                let Some(step) = x.plan.steps.get(number(0) as usize) else {
                    return fail("no such step".into());
                };
                if verb == "join" {
                    if step.job_template.is_some() {
                        return fail("it has work".into());
                    }
                    continue;
                }
                let after: Vec<String> =
                    step.dependencies.iter().map(|s| s.0.to_string()).collect();
                let said = match after.is_empty() {
                    true => format!("{} {} {}", number(0), step.path, step.tasks),
                    false => format!(
                        "{} {} {} after {}",
                        number(0),
                        step.path,
                        step.tasks,
                        after.join(",")
                    ),
                };
                if said != rest {
                    return fail(format!("it is `{said}`"));
                }
            }
            "shape" => {
                let shape = x.plan.job_templates.get(number(0) as usize);
                let value = shape
                    .and_then(|s| serde_json::to_value(s).ok())
                    .unwrap_or_default();
                if !holds(&json(1)?, &value) {
                    return fail(value.to_string());
                }
            }
            "argv" | "about" => {
                let Some(task) = task() else {
                    return fail("no such task".into());
                };
                let value = serde_json::to_value(task).unwrap_or_default();
                let value = if verb == "argv" {
                    value["argv"].clone()
                } else {
                    value
                };
                if !holds(&json(2)?, &value) {
                    return fail(value.to_string());
                }
            }
            "output" => {
                let all: Value = serde_json::from_str(&x.plan.outputs).unwrap_or_default();
                let value = all.get(word()).cloned().unwrap_or(Value::Null);
                if !holds(&json(1)?, &value) {
                    return fail(value.to_string());
                }
            }
            _ => return fail("unknown statement".into()),
        }
    }
    match said
        .iter()
        .zip(&matched)
        .find(|(s, m)| !**m && s.0 == Level::Error)
    {
        Some((s, _)) => Err(format!("not expected: {s:?}")),
        None => Ok(()),
    }
}

#[test]
fn cases() {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = std::fs::read_dir(&dir)
        .expect("tests/cases")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "case"))
        .filter(|p| {
            only.as_ref()
                .is_none_or(|o| p.file_stem().is_some_and(|s| s == o.as_str()))
        })
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no cases found");
    let mut failed = 0;
    for file in &files {
        let name = file
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        match case(&std::fs::read_to_string(file).expect("a readable case")) {
            Ok(()) => println!("ok   {name}"),
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    assert_eq!(failed, 0, "cases failed");
}
