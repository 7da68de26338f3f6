//! Runs an emulated cluster on loopback for demonstrations and manual tests.

use clap::Parser;
use hopyoke_emulator::{Cluster, ClusterConfig};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// A cluster on loopback: an emulated key-value store, cloud and agents, and real controllers
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// Controller executable; defaults to `hopyoke` in the directory of this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Directory for settings and logs
    #[arg(long, value_name = "DIR", default_value = "target/site")]
    dir: PathBuf,
    /// Number of controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    controllers: u64,
    /// Maximum number of machines in the cloud
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=500))]
    machines: u64,
    /// File with operator settings; without it, workflow runs are enabled and all other settings keep their defaults
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Factor between a job's estimate and the run time of its tasks
    #[arg(long, default_value_t = 0.1)]
    factor: f64,
    /// Number of seconds after which the program exits
    #[arg(long, default_value_t = 600, value_parser = clap::value_parser!(u64).range(1..=86400))]
    seconds: u64,
}

/// Reason for which the program fails.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no controller executable: pass --program")]
    ProgramNeeded,
    #[error("{}: controller executable not found; run `cargo build --release`", .0.display())]
    NoProgram(PathBuf),
    #[error("{}: {}", .0.display(), .1)]
    Policy(PathBuf, #[source] io::Error),
    #[error(transparent)]
    Cluster(#[from] io::Error),
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hopyoke-emulator: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), Error> {
    let config = config(&cli)?;
    let seconds = Micros::from_secs(cli.seconds);
    let outcome = Rc::new(RefCell::new(Ok(())));
    let result = outcome.clone();
    runtime::run(async move {
        *result.borrow_mut() = emulate(config, seconds).await;
    })?;
    Ok(outcome.replace(Ok(()))?)
}

fn config(cli: &Cli) -> Result<ClusterConfig, Error> {
    let sibling = || Some(std::env::current_exe().ok()?.parent()?.join("hopyoke"));
    let program = cli.program.clone().or_else(sibling);
    let program = program.ok_or(Error::ProgramNeeded)?;
    if !program.is_file() {
        return Err(Error::NoProgram(program));
    }
    let policy = match &cli.policy {
        Some(path) => std::fs::read_to_string(path).map_err(|e| Error::Policy(path.clone(), e))?,
        None => "flows = true\n".into(),
    };
    Ok(ClusterConfig {
        controllers: cli.controllers as usize,
        max_machines: cli.machines as usize,
        run_time_factor: cli.factor,
        policy,
        ..ClusterConfig::new(&program, &cli.dir)
    })
}

/// Runs the cluster for `duration`, restarts controllers that exit, and prints violated invariants.
async fn emulate(config: ClusterConfig, duration: Micros) -> io::Result<()> {
    let mut cluster = Cluster::start(config)?;
    println!("users {}", join(&cluster.api_addrs));
    println!("mesh {}", join(&cluster.mesh_addrs));
    println!("logs {}/node-*.log", cluster.config.dir.display());
    let end = runtime::now() + duration;
    while runtime::now() < end {
        runtime::sleep(Micros::from_millis(500)).await;
        if let Some(i) = cluster.exited_controller() {
            println!("node-{i} exited; restarted");
            cluster.kill_controller(i);
            cluster.start_controller(i)?;
        }
        for violation in cluster.fleet.violations.borrow_mut().drain(..) {
            println!("broken rule: {violation}");
        }
    }
    Ok(())
}

fn join(addrs: &[SocketAddr]) -> String {
    let texts: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    texts.join(" ")
}
