//! The program `hopyoke`: parses the command line, and starts a controller or calls a running one.

use clap::{Parser, Subcommand, ValueEnum};
use hopyoke::peers::client;
use hopyoke::peers::client::proto::{HistoryRequest, StaffedRequest, WhenRequest};
use hopyoke_consistency::leader_lease::max_election_latency;
use hopyoke_event_loop as runtime;
use hopyoke_policy::{Metrics, Policy};
use hopyoke_settings::Settings;
use hopyoke_types::Micros;
use hopyoke_workload_trace::Writer;
use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Controller of a cluster scheduler
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    arg_required_else_help = true
)]
struct Args {
    /// Run a controller with the platform's settings in this file (TOML)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' settings file (see docs/POLICY.md); settings that it leaves out have their built-in defaults
    #[arg(long, value_name = "FILE", requires = "config")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validate settings and print every fault with its location and reason
    #[command(arg_required_else_help = true)]
    Check {
        /// The platform's settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The operators' settings file
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Show the status of a running controller: leader, zones, machines, teams, jobs and why they wait
    Status {
        /// The controller's mesh address
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
    },
    /// Estimate from learned run times when a job will end, or when GPUs will be free for a team
    When {
        /// ID of the job
        #[arg(required_unless_present = "team", conflicts_with_all = ["team", "gpus", "zone"])]
        job: Option<String>,
        #[arg(long, requires = "gpus")]
        team: Option<String>,
        #[arg(long, value_name = "N", requires = "team")]
        gpus: Option<f64>,
        #[arg(long, requires = "team")]
        zone: Option<String>,
        /// The mesh address of any controller
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
    },
    /// Print finished runs as a trace that `hopyoke-experiments replay` reads
    History {
        /// The mesh address of any controller
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
        /// Keep polling for this many seconds; 0: print the runs recorded so far
        #[arg(long, value_name = "SECONDS", default_value_t = 0)]
        follow: u64,
    },
    /// Override the calendar of staffed hours; `auto` removes the override
    Staffed {
        #[arg(value_enum)]
        word: Staffed,
        /// Duration of the override, such as 90min or 2h
        #[arg(long = "for", value_name = "SPAN", required_if_eq_any([("word", "on"), ("word", "off")]))]
        span: Option<String>,
        /// The mesh address of any controller
        #[arg(long, value_name = "ADDR")]
        mesh: SocketAddr,
    },
    /// Check, run, list, cancel, resume or serve CWL workflows (runs the program `hopyoke-cwl`)
    #[command(disable_help_flag = true)]
    Cwl {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<std::ffi::OsString>,
    },
    /// Inspect the operators' settings
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
    },
}

#[derive(Subcommand)]
enum PolicyCommand {
    /// Print every setting with value, unit, default and safe range
    Show {
        /// The operators' settings file; the built-in defaults if omitted
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
        /// Output format
        #[arg(long, value_enum, default_value_t = Format::Table)]
        format: Format,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Staffed {
    On,
    Off,
    Auto,
    Show,
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
        Some(Command::Status { mesh }) => {
            call_controller(mesh, client::get_status(mesh)).map(|text| print!("{text}"))
        }
        Some(Command::When {
            job,
            team,
            gpus,
            zone,
            mesh,
        }) => {
            let request = WhenRequest {
                node: String::new(),
                job: job.unwrap_or_default(),
                team: team.unwrap_or_default(),
                gpus: gpus.unwrap_or(0.0),
                zone: zone.unwrap_or_default(),
            };
            call_controller(mesh, client::get_estimate(mesh, request)).map(|estimate| {
                println!(
                    "p50 in {}, p90 in {}",
                    format_duration(estimate.p50_s),
                    format_duration(estimate.p90_s)
                );
                println!("based on {}", estimate.basis);
            })
        }
        Some(Command::History { mesh, follow }) => print_history(mesh, follow),
        Some(Command::Staffed { word, span, mesh }) => staffed(word, span.as_deref(), mesh),
        Some(Command::Cwl { args }) => exec_cwl(&args),
        Some(Command::Policy {
            command: PolicyCommand::Show { policy, format },
        }) => load_policy(policy.as_deref()).map(|p| print!("{}", show_policy(&p, format))),
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

/// Sets or shows the operators' override of the staffed hours.
fn staffed(mode: Staffed, duration: Option<&str>, mesh: SocketAddr) -> Result<(), String> {
    let duration_s = match duration {
        None => 0,
        Some(text) => {
            let unit_start = text
                .find(|c: char| c.is_ascii_alphabetic())
                .unwrap_or(text.len());
            let unit = match &text[unit_start..] {
                "s" => 1.0,
                "min" => 60.0,
                "h" => 3600.0,
                "d" => 86_400.0,
                _ => {
                    return Err(format!(
                        "--for {text}: must be a number followed by s, min, h or d"
                    ));
                }
            };
            let n: f64 = text[..unit_start]
                .parse()
                .map_err(|_| format!("--for {text}: must begin with a number"))?;
            if !(1.0..=31.0 * 86_400.0).contains(&(n * unit)) {
                return Err(format!("--for {text}: must be 1s to 31d"));
            }
            (n * unit) as u64
        }
    };
    let mode = match mode {
        Staffed::On => "on",
        Staffed::Off => "off",
        Staffed::Auto => "auto",
        Staffed::Show => "show",
    };
    let set_by = std::env::var("USER").unwrap_or_default();
    let request = StaffedRequest {
        mode: mode.to_owned(),
        duration_s,
        set_by,
    };
    call_controller(mesh, client::call_staffed_hours(mesh, request))
        .map(|response| println!("{}", response.text))
}

/// Replaces this process with `hopyoke-cwl`, from the same directory if it is there. A separate program keeps the
/// dependencies of CWL out of the controller.
fn exec_cwl(args: &[std::ffi::OsString]) -> Result<(), String> {
    use std::os::unix::process::CommandExt;
    let sibling = std::env::current_exe()
        .ok()
        .and_then(|p| Some(p.parent()?.join("hopyoke-cwl")));
    let program = sibling
        .filter(|p| p.is_file())
        .unwrap_or_else(|| "hopyoke-cwl".into());
    let e = std::process::Command::new(&program).args(args).exec();
    Err(format!(
        "{}: {e}; build it with `cargo build --release -p hopyoke-wes`",
        program.display()
    ))
}

fn serve(config: Option<&Path>, policy: Option<&Path>) -> Result<(), String> {
    let config = config.ok_or("--config FILE is required")?;
    let settings = Settings::load(config).map_err(error_message)?;
    let policy = load_policy(policy)?;
    hopyoke::log::init().map_err(error_message)?;
    hopyoke::serve::serve(settings, policy).map_err(error_message)
}

fn check(config: Option<&Path>, policy: Option<&Path>) -> Result<(), String> {
    let mut faults = Vec::new();
    if let Some(file) = config {
        match Settings::load(file) {
            Ok(settings) => println!(
                "{}: no faults\n{}",
                file.display(),
                describe_election_latency_limit(&settings)
            ),
            Err(e) => faults.push(e.to_string()),
        }
    }
    if let Some(file) = policy {
        match load_policy(Some(file)) {
            Ok(_) => println!("{}: no faults", file.display()),
            Err(e) => faults.push(e),
        }
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults.join("\n"))
    }
}

/// Describes the maximum latency of the key-value store at which a leader can be elected with these settings.
fn describe_election_latency_limit(settings: &Settings) -> String {
    let ttl = settings.leader_lease_ttl();
    format!(
        "a leader can be elected while the key-value store responds within {:.2} s, half of the leader lease's time to live of {:.2} s",
        max_election_latency(ttl).as_secs_f64(),
        ttl.as_secs_f64()
    )
}

fn load_policy(file: Option<&Path>) -> Result<Policy, String> {
    let Some(file) = file else {
        return Ok(Policy::defaults());
    };
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    let policy = Policy::load(&name, &text).map_err(|e| e.to_string())?;
    // Checks the format of texts, which the policy language does not know.
    let values = policy.evaluate(&Metrics::default());
    hopyoke::operations::settings::staffed_hours(&values, Micros::ZERO)
        .map_err(|e| format!("{name}: {e}"))?;
    Ok(policy)
}

/// Columns of `policy show`.
const POLICY_COLUMNS: [&str; 9] = [
    "setting",
    "value",
    "unit",
    "default",
    "safe range",
    "live",
    "set to",
    "what",
    "why this range",
];

type PolicyRow = [String; 9];

fn show_policy(policy: &Policy, format: Format) -> String {
    let rows: Vec<PolicyRow> = policy
        .settings()
        .iter()
        .map(|s| {
            let live = if s.allows_metrics { "yes" } else { "" };
            [
                s.name.clone(),
                s.possible_values.clone(),
                s.ty.to_string(),
                s.default.clone(),
                s.format_range(),
                live.to_owned(),
                if s.overridden {
                    s.expression.clone()
                } else {
                    String::new()
                },
                s.description.clone(),
                s.rationale.clone(),
            ]
        })
        .collect();
    match format {
        Format::Json => policy_json(rows),
        Format::Markdown => policy_markdown(rows),
        Format::Table => policy_table(&rows),
    }
}

fn policy_json(rows: Vec<PolicyRow>) -> String {
    let list: Vec<serde_json::Value> = rows
        .into_iter()
        .map(|row| {
            POLICY_COLUMNS
                .iter()
                .zip(row)
                .map(|(column, cell)| ((*column).to_owned(), serde_json::Value::from(cell)))
                .collect()
        })
        .collect();
    serde_json::to_string_pretty(&list).unwrap_or_default() + "\n"
}

fn policy_markdown(rows: Vec<PolicyRow>) -> String {
    let columns = [0, 2, 3, 4, 5, 7, 8];
    let line = |cells: &[String]| {
        format!(
            "| {} |\n",
            columns.map(|k| cells[k].replace('|', "\\|")).join(" | ")
        )
    };
    let mut out = line(&POLICY_COLUMNS.map(str::to_owned))
        + &format!("|{}\n", " --- |".repeat(columns.len()));
    for mut row in rows {
        row[0] = format!("`{}`", row[0]);
        out += &line(&row);
    }
    out
}

fn policy_table(rows: &[PolicyRow]) -> String {
    let width = |k: usize| {
        let cells = rows.iter().map(|row| row[k].chars().count());
        cells.chain([POLICY_COLUMNS[k].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..7).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<w$}", w = *width));
        format!("{}\n", padded.collect::<Vec<_>>().join("  ").trim_end())
    };
    let mut out = line(POLICY_COLUMNS[..7].to_vec());
    for row in rows {
        out += &line(row[..7].iter().map(String::as_str).collect());
    }
    out
}

/// Formats a duration in seconds, in a readable unit.
fn format_duration(s: f64) -> String {
    match s {
        _ if s < 90.0 => format!("{s:.0} s"),
        _ if s < 5400.0 => format!("{:.1} min", s / 60.0),
        _ => format!("{:.1} h", s / 3600.0),
    }
}

/// Prints a header and the finished runs, and polls for further ones for `follow` seconds.
fn print_history(mesh: SocketAddr, follow: u64) -> Result<(), String> {
    let until = std::time::Instant::now() + std::time::Duration::from_secs(follow);
    let header = Writer::header();
    print!("{header}");
    let (mut token, mut since) = (0, 0);
    loop {
        let request = HistoryRequest {
            node: String::new(),
            token,
            since,
        };
        let response = call_controller(mesh, client::get_history(mesh, request));
        let more = match response {
            Ok(page) => {
                print!("{}", page.csv);
                (token, since) = (page.token, page.last);
                page.more
            }
            // During a failover no node answers; the request is repeated until `--follow` has passed.
            Err(e) if std::time::Instant::now() >= until => return Err(e),
            Err(e) => {
                eprintln!("hopyoke: {e}; retrying");
                false
            }
        };
        if !more {
            if std::time::Instant::now() >= until {
                return Ok(());
            }
            std::thread::sleep(std::time::Duration::from_secs(2));
        }
    }
}

/// Calls a running controller on a temporary event loop.
fn call_controller<T: 'static>(
    addr: SocketAddr,
    request: impl Future<Output = std::io::Result<T>> + 'static,
) -> Result<T, String> {
    let response = Rc::new(RefCell::new(None));
    let response_slot = response.clone();
    runtime::run(async move {
        *response_slot.borrow_mut() = Some(request.await);
    })
    .map_err(error_message)?;
    match response.take() {
        Some(Ok(response)) => Ok(response),
        Some(Err(e)) => Err(format!("{addr}: {e}")),
        None => Err(format!("{addr}: no response")),
    }
}

fn error_message(error: impl Display) -> String {
    error.to_string()
}
