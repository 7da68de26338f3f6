//! The program: reads the command line and starts the library.

use clap::{Parser, Subcommand, ValueEnum};
use hopyoke::links;
use hopyoke_policy::Policy;
use hopyoke_runtime as runtime;
use hopyoke_settings::Settings;
use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tracing::level_filters::LevelFilter;

/// A cluster scheduler's controller.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Args {
    /// Serve with the platform's settings in this file (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (see docs/POLICY.md); the built-in defaults hold for the rest
    #[arg(long, value_name = "FILE", requires = "config")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check settings and print every fault with its place and reason
    #[command(arg_required_else_help = true)]
    Check {
        /// The platform's settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The operators' settings file
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Show what a running controller knows: leader, blocks, machines, teams, jobs and why they wait
    Status {
        /// The controller's mesh address
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
    },
    /// The operators' settings
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
    },
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// Print every setting with value, unit, default and safe range
    Show {
        /// The operators' settings file; without it the built-in defaults are shown
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// How to print them
        #[arg(long, value_enum, default_value_t = Format::Table)]
        format: Format,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Table,
    Json,
    Markdown,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let result = match args.command {
        Some(Command::Check { config, policy }) => check(config.as_deref(), policy.as_deref()),
        Some(Command::Status { mesh }) => ask(mesh, links::ask_status(mesh)).map(|text| print!("{text}")),
        Some(Command::Policy { command: PolicyCommand::Show { policy, format } }) => {
            load_policy(policy.as_deref()).map(|p| print!("{}", show_policy(&p, format)))
        }
        None => serve(args.config.as_deref(), args.policy.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hopyoke: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(config: Option<&Path>, policy: Option<&Path>) -> Result<(), String> {
    let config = config.ok_or("--config FILE is needed")?;
    let settings = Settings::load(config).map_err(text)?;
    let policy = load_policy(policy)?;
    start_log()?;
    hopyoke::serve::serve(settings, policy).map_err(text)
}

fn check(config: Option<&Path>, policy: Option<&Path>) -> Result<(), String> {
    let mut faults = Vec::new();
    if let Some(file) = config {
        match Settings::load(file) {
            Ok(_) => println!("{}: no faults", file.display()),
            Err(e) => faults.push(e.to_string()),
        }
    }
    if let Some(file) = policy {
        match load_policy(Some(file)) {
            Ok(_) => println!("{}: no faults", file.display()),
            Err(e) => faults.push(e),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(faults.join("\n")) }
}

fn load_policy(file: Option<&Path>) -> Result<Policy, String> {
    let Some(file) = file else { return Ok(Policy::defaults()) };
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    Policy::load(&name, &text).map_err(|e| e.to_string())
}

fn show_policy(policy: &Policy, format: Format) -> String {
    let rows = policy.settings().iter().map(|s| {
        let live = if s.live { "yes" } else { "" };
        [
            s.name.clone(),
            s.values.clone(),
            s.ty.to_string(),
            s.default.clone(),
            s.range_text(),
            live.to_owned(),
            if s.overridden { s.expression.clone() } else { String::new() },
            s.about.clone(),
            s.safe.clone(),
        ]
    });
    let heads = ["setting", "value", "unit", "default", "safe range", "live", "set to", "what", "why this range"];
    match format {
        Format::Json => {
            let list: Vec<serde_json::Value> = rows
                .map(|r| heads.iter().zip(r).map(|(h, v)| ((*h).to_owned(), serde_json::Value::from(v))).collect())
                .collect();
            serde_json::to_string_pretty(&list).unwrap_or_default() + "\n"
        }
        Format::Markdown => {
            let keep = [0, 2, 3, 4, 5, 7, 8];
            let line = |cells: &[String]| format!("| {} |\n", keep.map(|k| cells[k].clone()).join(" | "));
            let mut out = line(&heads.map(str::to_owned)) + &format!("|{}\n", " --- |".repeat(keep.len()));
            for mut r in rows {
                r[0] = format!("`{}`", r[0]);
                out += &line(&r);
            }
            out
        }
        Format::Table => {
            let rows: Vec<_> = rows.collect();
            let width = |k: usize| {
                let cells = rows.iter().map(|r| r[k].chars().count());
                cells.chain([heads[k].len()]).max().unwrap_or(0)
            };
            let widths: Vec<usize> = (0..7).map(width).collect();
            let line = |cells: Vec<&str>| {
                let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}", w = *w));
                format!("{}\n", padded.collect::<Vec<_>>().join("  ").trim_end())
            };
            let mut out = line(heads[..7].to_vec());
            for r in &rows {
                out += &line(r[..7].iter().map(String::as_str).collect());
            }
            out
        }
    }
}

/// Asks a running controller.
fn ask(addr: SocketAddr, call: impl Future<Output = std::io::Result<String>> + 'static) -> Result<String, String> {
    let answer = Rc::new(RefCell::new(None));
    let slot = answer.clone();
    runtime::run(async move {
        *slot.borrow_mut() = Some(call.await);
    })
    .map_err(text)?;
    match answer.take() {
        Some(Ok(text)) => Ok(text),
        Some(Err(e)) => Err(format!("{addr}: {e}")),
        None => Err(format!("{addr}: no answer")),
    }
}

fn text(error: impl Display) -> String {
    error.to_string()
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
