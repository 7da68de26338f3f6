//! Both formats are read, what is written is read back, and bad lines are named.

use hopyoke_workload_trace::{Run, Writer, read};

fn run(n: u32) -> Run {
    Run {
        submitted_us: u64::from(n) * 1_000_000,
        ended_us: 0,
        job: format!("req-{n}"),
        index: n,
        class: "with, a \"comma\"".into(),
        team: "crew".into(),
        image: "img-1".into(),
        tasks: 2,
        cpus: 1.5,
        gpus: 0.0,
        mem_gb: 4.0,
        machine: "m-000001".into(),
        estimate_s: 60.0,
        ran_s: 61.25,
    }
}

#[test]
fn what_is_written_is_read_back() {
    let mut w = Writer::new(true);
    (0..20).for_each(|n| w.add(&run(n)).expect("a run"));
    let text = w.text();
    assert!(text.starts_with(&Writer::header()));
    let history = read(&text, true).expect("a history");
    assert_eq!(history.runs, (0..20).map(run).collect::<Vec<_>>());
}

const GOOD: &str = "1 10 5 100 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1";
const HEAD: &str = "; Version: 2\n; Change: app-7 500\n\n";

/// (A line after a good one, the field that is named, a part of the reason.)
const BAD_LINES: &[(&str, &str, &str)] = &[
    (
        "1 10 5 NaN 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "run time",
        "not a number",
    ),
    (
        "1 10 5 -3 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "run time",
        "above 0",
    ),
    (
        "1 10 5 9e9 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "run time",
        "30 days",
    ),
    (
        "1 10 5 100 0 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "allocated processors",
        "1 to 100000",
    ),
    (
        "1 -10 5 100 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "submit time",
        "not a time",
    ),
    (
        "1 10 5 100 4 -1 -1 4 1e300 -1 1 3 2 7 -1 -1 -1 -1",
        "requested time",
        "30 days",
    ),
    ("1 10 5 100", "all", "4 fields"),
    (
        "one 10 5 100 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "job number",
        "`one`",
    ),
];

#[test]
fn a_line_of_the_standard_format_is_read() {
    let ok = read(&format!("{HEAD}{GOOD}\n"), true).expect("a history");
    assert_eq!(
        (
            ok.runs[0].class.as_str(),
            ok.runs[0].team.as_str(),
            ok.runs[0].tasks
        ),
        ("app-7", "group-2", 4)
    );
    assert_eq!(
        (ok.runs[0].ran_s, ok.runs[0].estimate_s, ok.runs[0].ended_us),
        (100.0, 120.0, 115_000_000)
    );
    assert_eq!(ok.class_changes, [("app-7".to_owned(), 500.0)]);
}

#[test]
fn bad_lines_are_named_and_skipped_or_refused() {
    for (bad, field, word) in BAD_LINES {
        let text = format!("{HEAD}{GOOD}\n{bad}\n");
        let fault = read(&text, true).expect_err(bad);
        assert!(
            fault.line == 5 && fault.field == *field && fault.reason.contains(*word),
            "{bad}: {fault}"
        );
        let skipped = read(&text, false).expect(bad);
        assert_eq!(
            (skipped.runs.len(), &skipped.skipped[..]),
            (1, &[fault][..])
        );
    }
    // Cancelled and failed jobs say nothing; a file of nothing else is an error.
    let cancelled = GOOD.replace(" 1 3 2 7", " 5 3 2 7");
    assert!(
        read(&cancelled, false)
            .expect_err("no runs")
            .reason
            .contains("no runs")
    );
    assert!(read("", false).is_err() && read("rubbish", false).is_err());
}

#[test]
fn bad_fields_of_the_native_format_are_named() {
    let mut w = Writer::new(true);
    w.add(&run(1)).expect("a run");
    let text = w.text();
    for (from, to, field) in [
        ("61.25", "soon", "ran_s"),
        ("61.25", "NaN", "ran_s"),
        ("61.25", "-1", "ran_s"),
        (",60.0,", ",inf,", "estimate_s"),
        (",2,1.5", ",-2,1.5", "tasks"),
        (",1.5,", ",,", "cpus"),
    ] {
        assert!(text.contains(from), "{text}");
        let fault = read(&text.replacen(from, to, 1), true).expect_err(to);
        assert!(fault.line == 2 && fault.field == field, "{to}: {fault}");
    }
    assert!(
        read(&text.replacen("61.25", "61.25,7", 1), true)
            .expect_err("fields")
            .reason
            .contains("fields")
    );
}
