//! Cases as a small text file: what a file says, and which faults are found where.
//!
//! `== NAME`, then the operators' file, then `--`, then either `NAME = VALUE` lines (at the least
//! figures, or those of `figures NAME=NUMBER …`) or `LINE:COLUMN WORDS` lines, one for each fault.

use hopyoke_policy::{Metrics, Policy, format_value};

fn metrics(line: &str) -> Metrics {
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

fn case(text: &str, wants: &[&str]) -> Result<(), String> {
    let diagnostics: Vec<&&str> = wants
        .iter()
        .filter(|w| w.starts_with(|c: char| c.is_ascii_digit()))
        .collect();
    let policy = match Policy::load("test", text) {
        Ok(p) if diagnostics.is_empty() => p,
        Ok(_) => return Err("no fault was found".into()),
        Err(e) => {
            let got: Vec<String> = e
                .entries
                .iter()
                .map(|f| format!("{}:{} {} / {}", f.line, f.column, f.message, f.help))
                .collect();
            let place = |w: &str| w.split(' ').next().unwrap_or("").to_owned();
            let fits = |w: &str, g: &str| {
                place(w) == place(g) && g.contains(w.split_once(' ').map_or("", |x| x.1))
            };
            let ok = got.len() == diagnostics.len()
                && diagnostics.iter().zip(&got).all(|(w, g)| fits(w, g));
            // Every fault is shown with an excerpt that marks the place.
            let shown = e.to_string();
            let marked = shown.matches('^').count() >= got.len();
            return if ok && marked {
                Ok(())
            } else {
                Err(format!("got {got:#?}\n{shown}"))
            };
        }
    };
    let mut now = Metrics::default();
    for want in wants {
        if let Some(f) = want.strip_prefix("figures ") {
            now = metrics(f);
            continue;
        }
        let (name, value) = want
            .split_once(" = ")
            .ok_or(format!("not understood: {want}"))?;
        let values = policy.evaluate(&now);
        let (_, ty, v) = values
            .iter()
            .find(|(n, ..)| *n == name)
            .ok_or(format!("no {name}"))?;
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
        let (text, wants) = rest.split_once("\n--\n").expect("a line --");
        let wants: Vec<&str> = wants
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'))
            .collect();
        match case(text, &wants) {
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

/// What the documentation shows is what the checker takes.
#[test]
fn documented_examples() {
    let page = include_str!("../../../docs/POLICY.md");
    let mut n = 0;
    for block in page.split("```policy\n").skip(1) {
        let text = block.split("```").next().expect("the block's end");
        if let Err(e) = Policy::load("docs/POLICY.md", text) {
            panic!("{e}");
        }
        n += 1;
    }
    assert!(n >= 2, "{n} examples");
    // The documented table of settings is that of the program.
    for s in Policy::defaults().settings() {
        assert!(
            page.contains(&format!("| `{}` |", s.name)),
            "{} is not documented",
            s.name
        );
    }
    // So is the file that is deployed.
    let deployed = include_str!("../../../deploy/hopyoke.policy");
    if let Err(e) = Policy::load("deploy/hopyoke.policy", deployed) {
        panic!("{e}");
    }
}
