//! Reads both trace formats, round-trips the native one, and checks the errors reported for invalid lines.

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
fn native_format_round_trips() {
    let mut w = Writer::new(true);
    (0..20).for_each(|n| w.add(&run(n)).expect("a run"));
    let text = w.text();
    assert!(text.starts_with(&Writer::header()));
    let trace = read(&text, true).expect("a trace");
    assert_eq!(trace.runs, (0..20).map(run).collect::<Vec<_>>());
}

const VALID_LINE: &str = "1 10 5 100 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1";
const HEADER_COMMENTS: &str = "; Version: 2\n; Change: app-7 500\n\n";

/// Invalid line, expected field, and expected part of the reason.
const INVALID_LINES: &[(&str, &str, &str)] = &[
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
        "not a valid time",
    ),
    (
        "1 10 5 100 4 -1 -1 4 1e300 -1 1 3 2 7 -1 -1 -1 -1",
        "requested time",
        "30 days",
    ),
    ("1 10 5 100", "all", "found 4"),
    (
        "one 10 5 100 4 -1 -1 4 120 -1 1 3 2 7 -1 -1 -1 -1",
        "job number",
        "`one`",
    ),
];

#[test]
fn swf_job_line_is_parsed() {
    let ok = read(&format!("{HEADER_COMMENTS}{VALID_LINE}\n"), true).expect("a trace");
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
fn invalid_swf_lines_are_reported_and_skipped_or_rejected() {
    for (line, field, reason) in INVALID_LINES {
        let text = format!("{HEADER_COMMENTS}{VALID_LINE}\n{line}\n");
        let error = read(&text, true).expect_err(line);
        assert!(
            error.line == 5 && error.field == *field && error.reason.contains(*reason),
            "{line}: {error}"
        );
        let skipped = read(&text, false).expect(line);
        assert_eq!(
            (skipped.runs.len(), &skipped.skipped[..]),
            (1, &[error][..])
        );
    }
    // Cancelled and failed jobs are ignored; a file without any other job is an error.
    let cancelled = VALID_LINE.replace(" 1 3 2 7", " 5 3 2 7");
    assert!(
        read(&cancelled, false)
            .expect_err("no runs")
            .reason
            .contains("no runs")
    );
    assert!(read("", false).is_err() && read("rubbish", false).is_err());
}

#[test]
fn invalid_native_fields_are_reported() {
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
        let error = read(&text.replacen(from, to, 1), true).expect_err(to);
        assert!(error.line == 2 && error.field == field, "{to}: {error}");
    }
    assert!(
        read(&text.replacen("61.25", "61.25,7", 1), true)
            .expect_err("fields")
            .reason
            .contains("fields")
    );
}
