//! The program: experiments by name.

use clap::{Parser, Subcommand, ValueEnum};
use hopyoke_experiments::figures::{Figures, figures};
use hopyoke_experiments::generate::{Kind, trace};
use hopyoke_experiments::replay::{Options, Replayed, replay};
use hopyoke_experiments::report::html;
use hopyoke_types::Micros;
use hopyoke_workload_trace::WorkloadTrace;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments on the emulator of hopyoke.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Write a trace from the seeded generator (Standard Workload Format) to standard output
    Generate {
        #[arg(value_enum)]
        kind: KindName,
        #[arg(long, default_value_t = 10_000)]
        jobs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Replay a history against stand-in workers in virtual time, and compare predicted and actual ends
    Replay {
        /// A history: the Standard Workload Format, or what `hopyoke history` writes
        trace: PathBuf,
        /// Kill the leader every so many seconds
        #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(20..=1_000_000))]
        kill_every: Option<u64>,
        /// Write a report with plots to this file
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Refuse a history with a line that can't be used, instead of skipping the line
        #[arg(long)]
        strict: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// All generated traces, each with and without leaders killed every 60 s, against what must hold
    Evidence {
        #[arg(long, default_value_t = 10_000)]
        jobs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write a report for each trace into this folder
        #[arg(long, value_name = "DIR")]
        html: Option<PathBuf>,
    },
    /// Runs of workflows on real processes on loopback, around stand-ins
    Flows {
        #[arg(value_enum, default_value_t = Experiment::All)]
        which: Experiment,
        /// The controllers' program; by default `hopyoke` beside this one
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        #[arg(long, value_name = "DIR", default_value = "target/flows")]
        dir: PathBuf,
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=500))]
        runs: u64,
        /// Steps of a run
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(10..=2000))]
        steps: u32,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Experiment {
    /// What a step costs beside a native job
    Cost,
    /// All controllers end with many runs under way
    Recovery,
    All,
}

#[derive(Clone, Copy, ValueEnum)]
enum KindName {
    Steady,
    Doubling,
    NewClass,
    Biased,
    HeavyTail,
}

impl From<KindName> for Kind {
    fn from(k: KindName) -> Kind {
        match k {
            KindName::Steady => Kind::Steady,
            KindName::Doubling => Kind::Doubling,
            KindName::NewClass => Kind::NewClass,
            KindName::Biased => Kind::Biased,
            KindName::HeavyTail => Kind::HeavyTail,
        }
    }
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Generate { kind, jobs, seed } => {
            print!("{}", trace(kind.into(), jobs, seed));
            Ok(true)
        }
        Command::Replay {
            trace,
            kill_every,
            html,
            strict,
            seed,
        } => one(&trace, kill_every, html.as_deref(), strict, seed).map(|()| true),
        Command::Flows {
            which,
            program,
            dir,
            runs,
            steps,
        } => flows(which, program, dir, runs, steps),
        Command::Evidence { jobs, seed, html } => evidence(jobs, seed, html.as_deref()),
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

fn flows(
    which: Experiment,
    program: Option<PathBuf>,
    dir: PathBuf,
    runs: u64,
    steps: u32,
) -> Result<bool, String> {
    use hopyoke_experiments::flows::{Shown, cost, recovery};
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("hopyoke"));
    let program = program.or_else(beside).filter(|p| p.is_file());
    let program = program.ok_or(
        "no controllers' program: `cargo build --release` makes it, or say --program FILE",
    )?;
    let slot = std::rc::Rc::new(std::cell::RefCell::new(Err("nothing was shown".to_owned())));
    let out = slot.clone();
    hopyoke_event_loop::run(async move {
        let mut holds = true;
        let mut show = |name: &str, shown: Shown| {
            println!("{name}");
            for line in shown.lines {
                println!("  {line}");
            }
            println!(
                "  {}",
                if shown.holds {
                    "holds"
                } else {
                    "DOES NOT HOLD"
                }
            );
            holds &= shown.holds;
        };
        if matches!(which, Experiment::Cost | Experiment::All) {
            match cost(&program, &dir, 1200).await {
                Ok(s) => show("cost of a step", s),
                Err(e) => return *out.borrow_mut() = Err(e),
            }
        }
        if matches!(which, Experiment::Recovery | Experiment::All) {
            match recovery(&program, &dir, runs, steps).await {
                Ok(s) => show("recovery", s),
                Err(e) => return *out.borrow_mut() = Err(e),
            }
        }
        *out.borrow_mut() = Ok(holds);
    })
    .map_err(|e| e.to_string())?;
    slot.replace(Ok(false))
}

fn one(
    file: &Path,
    kill: Option<u64>,
    page: Option<&Path>,
    strict: bool,
    seed: u64,
) -> Result<(), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    let history =
        hopyoke_workload_trace::read(&text, strict).map_err(|f| format!("{name}: {f}"))?;
    for f in history.skipped.iter().take(10) {
        eprintln!("{name}: {f}: skipped");
    }
    if history.skipped.len() > 10 {
        eprintln!(
            "{name}: {} lines more were skipped",
            history.skipped.len() - 10
        );
    }
    let options = Options {
        seed,
        kill_every: kill.map(Micros::from_secs),
    };
    let replayed = replay(&history, options)?;
    let found = figures(&replayed, &history.class_changes);
    print!("{}", found.table());
    told(&replayed);
    write_page(page, &name, &replayed, &found)
}

fn told(r: &Replayed) {
    println!(
        "{} predictions, {} jobs unseen, {} left aside, {} leaders, {:.0} s of virtual time (from simulated machines)",
        r.outcomes.len(),
        r.unseen,
        r.left_aside,
        r.leaders,
        r.span_s
    );
}

fn write_page(page: Option<&Path>, title: &str, r: &Replayed, f: &Figures) -> Result<(), String> {
    let Some(page) = page else { return Ok(()) };
    std::fs::write(page, html(title, r, f)?).map_err(|e| format!("{}: {e}", page.display()))
}

/// What must hold, printed with what came out; false if something does not.
fn evidence(jobs: usize, seed: u64, pages: Option<&Path>) -> Result<bool, String> {
    let mut all_hold = true;
    let mut check = |ok: bool, what: String| {
        all_hold &= ok;
        println!("  {} {what}", if ok { "holds:" } else { "DOES NOT HOLD:" });
    };
    let kills = [None, Some(Micros::from_secs(60))];
    // Each replay is a world of its own, so they may run side by side.
    type Done = Vec<Result<Replayed, String>>;
    let replays: Vec<(Kind, WorkloadTrace, Done)> = std::thread::scope(|scope| {
        let started: Vec<_> = Kind::ALL
            .into_iter()
            .map(|kind| {
                let history = hopyoke_workload_trace::read(&trace(kind, jobs, seed), true)
                    .unwrap_or_default();
                let threads = kills.map(|kill_every| {
                    let history = history.clone();
                    scope.spawn(move || replay(&history, Options { seed, kill_every }))
                });
                (kind, history, threads)
            })
            .collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| {
            t.join().unwrap_or_else(|_| Err("it panicked".into()))
        };
        started
            .into_iter()
            .map(|(kind, history, t)| (kind, history, t.into_iter().map(join).collect()))
            .collect()
    });
    for (kind, history, replays) in replays {
        let mut both = Vec::new();
        for (kill, replayed) in kills.into_iter().zip(replays) {
            let title = format!(
                "{}, {}",
                kind.name(),
                if kill.is_some() {
                    "leaders killed every 60 s"
                } else {
                    "undisturbed"
                }
            );
            println!("== {title} (generated, {jobs} jobs, seed {seed})");
            let replayed = replayed.map_err(|e| format!("{title}: {e}"))?;
            let found = figures(&replayed, &history.class_changes);
            print!("{}", found.table());
            told(&replayed);
            if let Some(dir) = pages {
                std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
                let name = format!(
                    "{}{}.html",
                    kind.name(),
                    if kill.is_some() { "-killed" } else { "" }
                );
                write_page(Some(&dir.join(name)), &title, &replayed, &found)?;
            }
            let all = found.all();
            check(
                (75.0..=85.0).contains(&all.inside),
                format!("{:.1}% of ends inside p10 to p90 (75 to 85)", all.inside),
            );
            let most = if kind == Kind::Biased { 0.5 } else { 1.0 };
            let ratio = all.error / all.owner_error;
            check(
                ratio <= most,
                format!(
                    "median error {:.2} times the owners' (at most {most})",
                    ratio
                ),
            );
            for r in &found.recoveries {
                let ok = r.completions.is_some_and(|k| k <= 10);
                check(
                    ok,
                    format!(
                        "{} recovered after {:?} completions (at most 10)",
                        r.class, r.completions
                    ),
                );
            }
            both.push((all.inside, all.error));
        }
        if let [(a, e), (b, f)] = both[..] {
            check(
                (a - b).abs() <= 2.0,
                format!(
                    "inside differs by {:.1} points when leaders are killed (at most 2)",
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
    Ok(all_hold)
}
