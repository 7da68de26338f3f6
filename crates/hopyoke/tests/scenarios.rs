//! Runs every file under `tests/scenarios` as a test named after it.

mod checks;

use hopyoke_simulator::scenario;
use libtest_mimic::{Arguments, Failed, Trial};
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

fn main() -> ExitCode {
    if std::env::var_os("SIM_TRACE").is_some() {
        tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            .with_ansi(false)
            .without_time()
            .init();
    }
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<PathBuf> = fs::read_dir(&dir)
        .expect("tests/scenarios")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "scn"))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scenarios found");
    let mut trials: Vec<Trial> = files.into_iter().map(trial).collect();
    // Ignored by default, since it runs long.
    trials.push(Trial::test("many_days", many_days).with_ignored_flag(true));
    libtest_mimic::run(&Arguments::from_args(), trials).exit_code()
}

/// Returns whether `DIGESTS` is set, to print a digest of each run. Builds with equal digests made the same decisions.
fn prints_digests() -> bool {
    std::env::var_os("DIGESTS").is_some()
}

fn trial(file: PathBuf) -> Trial {
    let name = file
        .file_stem()
        .map(|s| s.to_string_lossy().into_owned())
        .unwrap_or_default();
    Trial::test(format!("scenario::{name}"), move || {
        let text = fs::read_to_string(&file)?;
        let digest = scenario::run(&text, &checks::statement)?;
        if prints_digests() {
            println!("digest {name} {digest:016x}");
        }
        Ok(())
    })
}

/// Returns a scenario with random jobs and overlapping faults in a cluster whose size depends on the seed, and time for
/// all jobs to begin afterwards.
fn random_day(seed: u64) -> String {
    let nodes = [3, 3, 3, 5, 2, 1][seed as usize % 6];
    let machines = [
        "machines a ordinary 2\nmachines b ordinary 1",
        "machines a ordinary 6",
        "machines c spot 4\nmachines b ordinary 3",
    ][seed as usize / 6 % 3];
    format!("seed {seed} nodes {nodes}\n{machines}\nrandom 300\nuntil 700\nexpect began all\n")
}

/// Searches random days for violations of invariants: `DAYS=500 cargo test --release -- --ignored`; `FIRST` sets the
/// first seed.
fn many_days() -> Result<(), Failed> {
    let days: u64 = std::env::var("DAYS")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(100);
    let first: u64 = std::env::var("FIRST")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(1000);
    let (next, failed) = (AtomicU64::new(first), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + days {
                        return;
                    }
                    match scenario::run(&random_day(seed), &checks::statement) {
                        Ok(digest) if prints_digests() => {
                            println!("digest day_{seed} {digest:016x}")
                        }
                        Ok(_) => {}
                        Err(e) => {
                            failed.fetch_add(1, Ordering::Relaxed);
                            println!("FAIL seed {seed}: {e}");
                        }
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!(
        "{} passed, {failed} failed (seeds {first} to {})",
        days - failed,
        first + days - 1
    );
    if failed == 0 {
        Ok(())
    } else {
        Err(format!("{failed} random days failed").into())
    }
}
