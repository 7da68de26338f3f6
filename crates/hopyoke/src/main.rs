//! The program: reads the command line and starts the library.

use clap::{Parser, Subcommand};
use hopyoke::links;
use hopyoke_runtime as runtime;
use hopyoke_settings::Settings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tracing::level_filters::LevelFilter;

/// A cluster scheduler's controller.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Args {
    /// Serve with the settings in this file (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check settings and print every fault with its field and reason
    Check {
        /// The settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Show what a running controller knows: leader, blocks, machines, teams, jobs and why they wait
    Status {
        /// The controller's mesh address
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    match args.command {
        Some(Command::Check { config }) => match Settings::load(&config) {
            Ok(_) => {
                println!("{}: no faults", config.display());
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e),
        },
        Some(Command::Status { mesh }) => status(mesh),
        None => {
            let Some(config) = args.config else {
                return fail(&"--config FILE is needed");
            };
            let settings = match Settings::load(&config) {
                Ok(s) => s,
                Err(e) => return fail(&e),
            };
            if let Err(e) = start_log() {
                return fail(&e);
            }
            match hopyoke::serve::serve(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e),
            }
        }
    }
}

fn status(addr: SocketAddr) -> ExitCode {
    let answer = Rc::new(RefCell::new(None));
    let slot = answer.clone();
    let ran = runtime::run(async move {
        *slot.borrow_mut() = Some(links::ask_status(addr).await);
    });
    match (ran, answer.take()) {
        (Ok(()), Some(Ok(text))) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        (Ok(()), Some(Err(e))) => fail(&format!("{addr}: {e}")),
        (Err(e), _) => fail(&e),
        (Ok(()), None) => fail(&"no answer"),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("hopyoke: {error}");
    ExitCode::FAILURE
}

/// Logs go to standard error at the level that `LOG_LEVEL` gives; `info` by default.
fn start_log() -> Result<(), String> {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        Ok("info") | Ok("") | Err(_) => LevelFilter::INFO,
        Ok("debug") => LevelFilter::DEBUG,
        Ok("trace") => LevelFilter::TRACE,
        Ok(other) => return Err(format!("LOG_LEVEL: '{other}' is not error, warn, info, debug or trace")),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    Ok(())
}
