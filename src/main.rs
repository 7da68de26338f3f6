//! The program: reads the command line and starts the library.

use clap::{Parser, Subcommand};
use hopyoke::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
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
            match hopyoke::node::serve(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e),
            }
        }
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
