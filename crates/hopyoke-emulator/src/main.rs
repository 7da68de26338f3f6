//! The program: a site on loopback, to try things out.

use clap::Parser;
use hopyoke_emulator::site::{Plan, Site};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::path::PathBuf;
use std::process::ExitCode;

/// A site on loopback: stand-ins of the state service, the cloud and workers, and real controllers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The controllers' program; by default `hopyoke` beside this one
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where settings and logs go
    #[arg(long, value_name = "DIR", default_value = "target/site")]
    dir: PathBuf,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    controllers: u64,
    /// Most machines that the cloud has
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=500))]
    machines: u64,
    /// The operators' settings; without them runs of workflows are taken and nothing else is changed
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// A task takes its job's estimate times this
    #[arg(long, default_value_t = 0.1)]
    factor: f64,
    /// End after so many seconds
    #[arg(long, default_value_t = 600, value_parser = clap::value_parser!(u64).range(1..=86400))]
    seconds: u64,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hopyoke-emulator: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), String> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("hopyoke"));
    let program = cli.program.or_else(beside).ok_or("--program is needed")?;
    if !program.is_file() {
        return Err(format!(
            "{}: no such program; `cargo build --release` makes it",
            program.display()
        ));
    }
    let policy = match &cli.policy {
        Some(p) => std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()))?,
        None => "flows = true\n".into(),
    };
    let plan = Plan {
        controllers: cli.controllers as usize,
        machines: cli.machines as usize,
        factor: cli.factor,
        policy,
        ..Plan::new(&program, &cli.dir)
    };
    let failed = std::rc::Rc::new(std::cell::RefCell::new(None));
    let failure = failed.clone();
    runtime::run(async move {
        let mut site = match Site::start(plan) {
            Ok(s) => s,
            Err(e) => return *failure.borrow_mut() = Some(e.to_string()),
        };
        let list = |l: &[std::net::SocketAddr]| {
            l.iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(" ")
        };
        println!("users {}", list(&site.users));
        println!("mesh {}", list(&site.mesh));
        println!("logs {}/node-*.log", site.plan.dir.display());
        let end = runtime::now() + Micros::from_secs(cli.seconds);
        while runtime::now() < end {
            runtime::sleep(Micros::from_millis(500)).await;
            if let Some(i) = site.ended() {
                println!("node-{i} ended; started again");
                site.kill_controller(i);
                if let Err(e) = site.start_controller(i) {
                    return *failure.borrow_mut() = Some(e.to_string());
                }
            }
            for b in site.works.broken.borrow_mut().drain(..) {
                println!("broken rule: {b}");
            }
        }
    })
    .map_err(|e| e.to_string())?;
    match failed.take() {
        Some(e) => Err(e),
        None => Ok(()),
    }
}
