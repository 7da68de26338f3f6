//! Command-line interface of the experiments.

use clap::{Parser, Subcommand, ValueEnum};
use hopyoke_experiments::figures::{AccuracyReport, measure_accuracy};
use hopyoke_experiments::generate::{TraceKind, generate_trace};
use hopyoke_experiments::replay::{ReplayOptions, ReplayResult, replay};
use hopyoke_experiments::report::render_html;
use hopyoke_types::Micros;
use hopyoke_workload_trace::WorkloadTrace;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments on simulated and emulated clusters
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Write a synthetic workload trace (Standard Workload Format) to standard output
    Generate {
        #[arg(value_enum)]
        kind: TraceKindArg,
        #[arg(long, default_value_t = 10_000)]
        jobs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Replay a workload trace on simulated workers in virtual time, and compare predicted and actual completion times
    Replay {
        /// Trace in the Standard Workload Format, or as `hopyoke history` writes it
        trace: PathBuf,
        /// Interval at which the leader is killed
        #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(20..=1_000_000))]
        kill_every: Option<u64>,
        /// Write a report with plots to this file
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Reject a trace with an invalid line instead of skipping the line
        #[arg(long)]
        strict: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Replay all kinds of generated traces, with and without a leader failure every 60 s, and check the accuracy
    Evidence {
        #[arg(long, default_value_t = 10_000)]
        jobs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write a report for each replay into this directory
        #[arg(long, value_name = "DIR")]
        html: Option<PathBuf>,
    },
    /// Run workflows on an emulated cluster with real controller processes
    Flows {
        #[arg(value_enum, default_value_t = Experiment::All)]
        which: Experiment,
        /// Controller executable; defaults to `hopyoke` in the directory of this program
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        #[arg(long, value_name = "DIR", default_value = "target/flows")]
        dir: PathBuf,
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=500))]
        runs: u64,
        /// Steps per workflow run
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(10..=2000))]
        steps: u32,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Experiment {
    /// CPU time of a workflow step compared with a plain job
    Cost,
    /// Restart all controllers during many workflow runs
    Recovery,
    All,
}

#[derive(Clone, Copy, ValueEnum)]
enum TraceKindArg {
    Steady,
    Doubling,
    NewClass,
    Biased,
    HeavyTail,
}

impl From<TraceKindArg> for TraceKind {
    fn from(k: TraceKindArg) -> TraceKind {
        match k {
            TraceKindArg::Steady => TraceKind::Steady,
            TraceKindArg::Doubling => TraceKind::Doubling,
            TraceKindArg::NewClass => TraceKind::NewClass,
            TraceKindArg::Biased => TraceKind::Biased,
            TraceKindArg::HeavyTail => TraceKind::HeavyTail,
        }
    }
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Generate { kind, jobs, seed } => {
            print!("{}", generate_trace(kind.into(), jobs, seed));
            Ok(true)
        }
        Command::Replay {
            trace,
            kill_every,
            html,
            strict,
            seed,
        } => replay_file(&trace, kill_every, html.as_deref(), strict, seed).map(|()| true),
        Command::Flows {
            which,
            program,
            dir,
            runs,
            steps,
        } => run_flows(which, program, dir, runs, steps),
        Command::Evidence { jobs, seed, html } => run_evidence(jobs, seed, html.as_deref()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("hopyoke-experiments: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the workflow experiments; returns false if one failed.
fn run_flows(
    which: Experiment,
    program: Option<PathBuf>,
    dir: PathBuf,
    runs: u64,
    steps: u32,
) -> Result<bool, String> {
    use hopyoke_experiments::flows::{ExperimentResult, measure_recovery, measure_step_cost};
    let sibling = || Some(std::env::current_exe().ok()?.parent()?.join("hopyoke"));
    let program = program.or_else(sibling).filter(|p| p.is_file());
    let program = program.ok_or(
        "controller executable not found: run `cargo build --release` or pass --program FILE",
    )?;
    let outcome = std::rc::Rc::new(std::cell::RefCell::new(Err(
        "no experiment was run".to_owned()
    )));
    let out = outcome.clone();
    hopyoke_event_loop::run(async move {
        let mut passed = true;
        let mut show = |name: &str, experiment: ExperimentResult| {
            println!("{name}");
            for line in experiment.lines {
                println!("  {line}");
            }
            println!(
                "  {}",
                if experiment.passed {
                    "holds"
                } else {
                    "DOES NOT HOLD"
                }
            );
            passed &= experiment.passed;
        };
        if matches!(which, Experiment::Cost | Experiment::All) {
            match measure_step_cost(&program, &dir, 1200).await {
                Ok(s) => show("cost of a step", s),
                Err(e) => return *out.borrow_mut() = Err(e),
            }
        }
        if matches!(which, Experiment::Recovery | Experiment::All) {
            match measure_recovery(&program, &dir, runs, steps).await {
                Ok(s) => show("recovery", s),
                Err(e) => return *out.borrow_mut() = Err(e),
            }
        }
        *out.borrow_mut() = Ok(passed);
    })
    .map_err(|e| e.to_string())?;
    outcome.replace(Ok(false))
}

/// Replays one trace file, and prints and optionally writes its report.
fn replay_file(
    file: &Path,
    kill_interval: Option<u64>,
    report_path: Option<&Path>,
    strict: bool,
    seed: u64,
) -> Result<(), String> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot read trace: {e}"))?;
    let history =
        hopyoke_workload_trace::read(&text, strict).map_err(|f| format!("{name}: {f}"))?;
    for f in history.skipped.iter().take(10) {
        eprintln!("{name}: {f}: skipped");
    }
    if history.skipped.len() > 10 {
        eprintln!("{name}: {} more lines skipped", history.skipped.len() - 10);
    }
    let options = ReplayOptions {
        seed,
        kill_every: kill_interval.map(Micros::from_secs),
    };
    let result = replay(&history, options)?;
    let report = measure_accuracy(&result, &history.class_changes);
    print!("{}", report.table());
    print_summary(&result);
    write_report(report_path, &name, &result, &report)
}

fn print_summary(r: &ReplayResult) {
    println!(
        "{} predictions, {} jobs not observed, {} skipped, {} leaders, {:.0} s of virtual time (simulated machines)",
        r.outcomes.len(),
        r.unobserved_jobs,
        r.skipped_jobs,
        r.elected_leaders,
        r.virtual_time_s
    );
}

fn write_report(
    path: Option<&Path>,
    title: &str,
    r: &ReplayResult,
    f: &AccuracyReport,
) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, render_html(title, r, f)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Replays all kinds of generated traces and checks their accuracy; returns false if a check failed.
fn run_evidence(jobs: usize, seed: u64, report_dir: Option<&Path>) -> Result<bool, String> {
    let mut all_passed = true;
    let mut check = |ok: bool, what: String| {
        all_passed &= ok;
        println!("  {} {what}", if ok { "holds:" } else { "DOES NOT HOLD:" });
    };
    let kill_intervals = [None, Some(Micros::from_secs(60))];
    // Replays share no state, so they run in parallel.
    type Results = Vec<Result<ReplayResult, String>>;
    let replays: Vec<(TraceKind, WorkloadTrace, Results)> = std::thread::scope(|scope| {
        let started: Vec<_> = TraceKind::ALL
            .into_iter()
            .map(|kind| {
                let history = hopyoke_workload_trace::read(&generate_trace(kind, jobs, seed), true)
                    .unwrap_or_default();
                let threads = kill_intervals.map(|kill_every| {
                    let history = history.clone();
                    scope.spawn(move || replay(&history, ReplayOptions { seed, kill_every }))
                });
                (kind, history, threads)
            })
            .collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| {
            t.join()
                .unwrap_or_else(|_| Err("replay thread panicked".into()))
        };
        started
            .into_iter()
            .map(|(kind, history, t)| (kind, history, t.into_iter().map(join).collect()))
            .collect()
    });
    for (kind, history, replays) in replays {
        let mut accuracies = Vec::new();
        for (kill_interval, result) in kill_intervals.into_iter().zip(replays) {
            let title = format!(
                "{}, {}",
                kind.name(),
                if kill_interval.is_some() {
                    "leader killed every 60 s"
                } else {
                    "undisturbed"
                }
            );
            println!("== {title} (generated, {jobs} jobs, seed {seed})");
            let result = result.map_err(|e| format!("{title}: {e}"))?;
            let report = measure_accuracy(&result, &history.class_changes);
            print!("{}", report.table());
            print_summary(&result);
            if let Some(dir) = report_dir {
                std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
                let name = format!(
                    "{}{}.html",
                    kind.name(),
                    if kill_interval.is_some() {
                        "-killed"
                    } else {
                        ""
                    }
                );
                write_report(Some(&dir.join(name)), &title, &result, &report)?;
            }
            let all = report.all();
            check(
                (75.0..=85.0).contains(&all.in_band),
                format!(
                    "{:.1}% of completions within p10 to p90 (75 to 85)",
                    all.in_band
                ),
            );
            let max_ratio = if kind == TraceKind::Biased { 0.5 } else { 1.0 };
            let ratio = all.median_error / all.estimate_error;
            check(
                ratio <= max_ratio,
                format!(
                    "median error {:.2} times that of the estimates (at most {max_ratio})",
                    ratio
                ),
            );
            for r in &report.recoveries {
                let ok = r.completions.is_some_and(|k| k <= 10);
                check(
                    ok,
                    format!(
                        "{} recovered after {:?} completions (at most 10)",
                        r.class, r.completions
                    ),
                );
            }
            accuracies.push((all.in_band, all.median_error));
        }
        if let [(a, e), (b, f)] = accuracies[..] {
            check(
                (a - b).abs() <= 2.0,
                format!(
                    "share within p10 to p90 differs by {:.1} points when leaders are killed (at most 2)",
                    (a - b).abs()
                ),
            );
            check(
                (e - f).abs() <= 2.0,
                format!(
                    "median error differs by {:.1} points (at most 2)",
                    (e - f).abs()
                ),
            );
        }
    }
    Ok(all_passed)
}
