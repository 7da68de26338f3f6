//! Checks policy files against expected values or diagnostics, listed in `cases.txt`.
//!
//! A case is `== NAME`, an operators' file, `--`, and then either `NAME = VALUE` lines or `LINE:COLUMN TEXT` lines, one for
//! each diagnostic. `metrics NAME=VALUE …` sets the metrics for the values that follow; without it, each has its lower bound.

use hopyoke_policy::{Metrics, Policy, format_value};

fn parse_metrics(line: &str) -> Metrics {
    let mut out = Metrics::default();
    for pair in line.split_whitespace() {
        let (name, value) = pair.split_once('=').expect("NAME=NUMBER");
        let name: &'static str = Box::leak(name.to_owned().into_boxed_str());
        out = match value {
            "true" | "false" => out.boolean(name, value == "true"),
            _ => out.number(name, value.parse().expect("a number")),
        };
    }
    out
}

fn check_case(text: &str, expectations: &[&str]) -> Result<(), String> {
    let diagnostics: Vec<&&str> = expectations
        .iter()
        .filter(|w| w.starts_with(|c: char| c.is_ascii_digit()))
        .collect();
    let policy = match Policy::load("test", text) {
        Ok(p) if diagnostics.is_empty() => p,
        Ok(_) => return Err("no error was reported".into()),
        Err(e) => {
            let actual: Vec<String> = e
                .entries
                .iter()
                .map(|f| format!("{}:{} {} / {}", f.line, f.column, f.message, f.help))
                .collect();
            let position = |w: &str| w.split(' ').next().unwrap_or("").to_owned();
            let matches = |w: &str, g: &str| {
                position(w) == position(g) && g.contains(w.split_once(' ').map_or("", |x| x.1))
            };
            let ok = actual.len() == diagnostics.len()
                && diagnostics.iter().zip(&actual).all(|(w, g)| matches(w, g));
            // Every diagnostic is rendered with an excerpt that marks its span.
            let rendered = e.to_string();
            let marked = rendered.matches('^').count() >= actual.len();
            return if ok && marked {
                Ok(())
            } else {
                Err(format!("got {actual:#?}\n{rendered}"))
            };
        }
    };
    let mut current = Metrics::default();
    for want in expectations {
        if let Some(f) = want.strip_prefix("metrics ") {
            current = parse_metrics(f);
            continue;
        }
        let (name, value) = want
            .split_once(" = ")
            .ok_or(format!("invalid expectation: {want}"))?;
        let values = policy.evaluate(&current);
        let (_, ty, v) = values
            .iter()
            .find(|(n, ..)| *n == name)
            .ok_or(format!("no setting {name}"))?;
        if format_value(ty, v) != value {
            return Err(format!("{name} is {}, not {value}", format_value(ty, v)));
        }
    }
    Ok(())
}

#[test]
fn cases() {
    let file = include_str!("cases.txt");
    let (mut passed, mut failed) = (0, 0);
    for part in file.split("\n== ").skip(1) {
        let (name, rest) = part.split_once('\n').expect("a name");
        let (text, expectations) = rest.split_once("\n--\n").expect("a line --");
        let expectations: Vec<&str> = expectations
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'))
            .collect();
        match check_case(text, &expectations) {
            Ok(()) => passed += 1,
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    assert!(failed == 0 && passed > 20);
}

/// The checker accepts the documented examples and the deployed file, and every setting is documented.
#[test]
fn documented_examples() {
    let page = include_str!("../../../docs/POLICY.md");
    let mut examples = 0;
    for block in page.split("```policy\n").skip(1) {
        let text = block.split("```").next().expect("the block's end");
        if let Err(e) = Policy::load("docs/POLICY.md", text) {
            panic!("{e}");
        }
        examples += 1;
    }
    assert!(examples >= 2, "{examples} examples");
    // The documented table lists every setting.
    for s in Policy::defaults().settings() {
        assert!(
            page.contains(&format!("| `{}` |", s.name)),
            "{} is not documented",
            s.name
        );
    }
    let deployed = include_str!("../../../deploy/hopyoke.policy");
    if let Err(e) = Policy::load("deploy/hopyoke.policy", deployed) {
        panic!("{e}");
    }
}
