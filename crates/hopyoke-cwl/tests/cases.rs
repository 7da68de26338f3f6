//! Runs every file under `tests/cases` as a test case.
//!
//! A case consists of files, each after a line `=== NAME`, and a section `=== expect` with one assertion per line:
//!
//! ```text
//! error FILE:LINE:COLUMN TEXT        an error at this position whose text contains TEXT
//! warning FILE:LINE:COLUMN TEXT      likewise, a warning
//! step N PATH TASKS [after N,N]      the Nth step of the plan
//! steps K                            the number of steps in the plan
//! join N                             the Nth step has no tasks
//! shape N JSON                       fields of the Nth shape
//! argv STEP TASK JSON                the command line of a task
//! description STEP TASK JSON         fields of a task's description
//! output NAME JSON                   the value of an output of the run
//! ```
//!
//! The main document is `main.cwl` and the inputs are in `inputs.yml`. An unexpected error fails the case.

use hopyoke_cwl::yaml;
use hopyoke_cwl::{Diagnostics, Level, Options, expand, open};
use hopyoke_workflow::{RunId, StepNo};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Returns true if `whole` contains `part`: objects may have further fields, arrays must match in length.
fn is_subset(part: &Value, whole: &Value) -> bool {
    match (part, whole) {
        (Value::Object(p), Value::Object(w)) => p
            .iter()
            .all(|(k, v)| w.get(k).is_some_and(|x| is_subset(v, x))),
        (Value::Array(p), Value::Array(w)) => {
            p.len() == w.len() && p.iter().zip(w).all(|(a, b)| is_subset(a, b))
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
    let expect = files.remove("expect").ok_or("no `=== expect` section")?;
    let inputs = files
        .get("inputs.yml")
        .cloned()
        .unwrap_or_else(|| "{}".into());
    let (expanded, diagnostics) = match open(&files, "main.cwl") {
        Err(diagnostics) => (None, diagnostics),
        Ok((process, mut diagnostics)) => {
            let mut input_diagnostics = Diagnostics::default();
            match yaml::parse(&inputs, 0, &mut 0, &mut input_diagnostics) {
                None => (None, input_diagnostics),
                Some(node) => {
                    let run = RunId::new(7).expect("in range");
                    let options = Options {
                        team: Some("crew".into()),
                        source: Some(&files),
                        ..Options::new(run)
                    };
                    let expanded = expand(&process, &node, &options, &mut diagnostics);
                    (expanded, diagnostics)
                }
            }
        }
    };
    let reported = diagnostics.sorted_texts();
    let mut matched = vec![false; reported.len()];
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
        if matches!(verb, "error" | "warning") {
            let level = if verb == "error" {
                Level::Error
            } else {
                Level::Warning
            };
            let (place, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let hit = reported
                .iter()
                .position(|(l, p, f)| *l == level && p == place && f.contains(text));
            match hit {
                Some(i) => matched[i] = true,
                None => return fail(format!("reported: {reported:#?}")),
            }
            continue;
        }
        let Some(x) = &expanded else {
            return fail(format!("not expanded: {reported:#?}"));
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
                        return fail("the step has tasks".into());
                    }
                    continue;
                }
                let after: Vec<String> =
                    step.dependencies.iter().map(|s| s.0.to_string()).collect();
                let actual = match after.is_empty() {
                    true => format!("{} {} {}", number(0), step.path, step.tasks),
                    false => format!(
                        "{} {} {} after {}",
                        number(0),
                        step.path,
                        step.tasks,
                        after.join(",")
                    ),
                };
                if actual != rest {
                    return fail(format!("actual: `{actual}`"));
                }
            }
            "shape" => {
                let shape = x.plan.job_templates.get(number(0) as usize);
                let value = shape
                    .and_then(|s| serde_json::to_value(s).ok())
                    .unwrap_or_default();
                if !is_subset(&json(1)?, &value) {
                    return fail(value.to_string());
                }
            }
            "argv" | "description" => {
                let Some(task) = task() else {
                    return fail("no such task".into());
                };
                let value = serde_json::to_value(task).unwrap_or_default();
                let value = if verb == "argv" {
                    value["argv"].clone()
                } else {
                    value
                };
                if !is_subset(&json(2)?, &value) {
                    return fail(value.to_string());
                }
            }
            "output" => {
                let all: Value = serde_json::from_str(&x.plan.outputs).unwrap_or_default();
                let value = all.get(word()).cloned().unwrap_or(Value::Null);
                if !is_subset(&json(1)?, &value) {
                    return fail(value.to_string());
                }
            }
            _ => return fail("unknown assertion".into()),
        }
    }
    match reported
        .iter()
        .zip(&matched)
        .find(|(s, m)| !**m && s.0 == Level::Error)
    {
        Some((s, _)) => Err(format!("unexpected error: {s:?}")),
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
