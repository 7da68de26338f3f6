//! The one runner of all scenarios: every file under `tests/scenarios` is a test.

mod checks;

use hopyoke_world::script;
use std::fs;
use std::path::PathBuf;

#[test]
fn scenarios() {
    if std::env::var_os("SIM_TRACE").is_some() {
        tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).without_time().init();
    }
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    let mut files: Vec<PathBuf> = fs::read_dir(&dir)
        .expect("tests/scenarios")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "scn"))
        .filter(|p| only.as_ref().is_none_or(|o| p.file_stem().is_some_and(|s| s == o.as_str())))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios found");
    let mut failed = 0;
    for file in &files {
        let name = file.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        let text = fs::read_to_string(file).expect("a readable scenario");
        let began = std::time::Instant::now();
        match script::run(&text, &checks::statement) {
            Ok(()) => println!("ok   {name} ({} ms)", began.elapsed().as_millis()),
            Err(e) => {
                failed += 1;
                println!("FAIL {name}: {e}");
            }
        }
    }
    println!("{} passed, {failed} failed", files.len() - failed);
    assert_eq!(failed, 0, "scenarios failed");
}

/// Many random days, to look for broken rules: `DAYS=200 cargo test --release -- --ignored`.
#[test]
#[ignore = "long; for hunting"]
fn many_days() {
    let days: u64 = std::env::var("DAYS").ok().and_then(|d| d.parse().ok()).unwrap_or(100);
    let first: u64 = std::env::var("FIRST").ok().and_then(|d| d.parse().ok()).unwrap_or(1000);
    let mut failed = 0;
    for seed in first..first + days {
        let text = format!("seed {seed}\nmachines a ordinary 2\nmachines b ordinary 1\nrandom 300\nuntil 420\n");
        if let Err(e) = script::run(&text, &checks::statement) {
            failed += 1;
            println!("FAIL seed {seed}: {e}");
        }
    }
    println!("{} passed, {failed} failed", days - failed);
    assert_eq!(failed, 0, "days failed");
}
