//! Command line for CWL workflows, and the workflow service.

use clap::{Args, Parser, Subcommand, ValueEnum};
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{ResumeRun, RunInfo, RunList, RunQuestion, SubmitRun};
use hopyoke_cwl::load::{LocalFiles, Source, name_of};
use hopyoke_cwl::{Diagnostics, graph, open, yaml};
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_types::Micros;
use hopyoke_wes::access::Authenticator;
use hopyoke_wes::calls::Controllers;
use hopyoke_wes::client::Client;
use hopyoke_wes::compile::{CompileRequest, compile};
use hopyoke_wes::config::Config;
use hopyoke_wes::publish;
use hopyoke_wes::server::Server;
use hopyoke_wes::upload::Form;
use hopyoke_wes::wire::{Progress, State};
use hopyoke_workflow::RunId;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Run CWL v1.2 workflows on hopyoke.
#[derive(Parser)]
#[command(name = "hopyoke cwl", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check documents and print every error with its file, line and the expected value
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run a document; print outputs as JSON to standard output and progress to standard error
    Run(RunArgs),
    /// List runs
    List {
        #[command(flatten)]
        target: Target,
    },
    /// Show the state of a run, and its outputs once it is complete
    Status {
        run: String,
        #[command(flatten)]
        target: Target,
    },
    /// Cancel a run
    CancellationToken {
        run: String,
        #[command(flatten)]
        target: Target,
    },
    /// Resume a failed or cancelled run as a new run that skips completed steps
    Resume {
        run: String,
        #[command(flatten)]
        target: Target,
        /// Directory of task descriptions, if the run was submitted with --descriptions
        #[arg(long, value_name = "DIR", requires = "mesh")]
        descriptions: Option<PathBuf>,
    },
    /// Serve the GA4GH Workflow Execution Service
    Serve {
        /// Configuration file; see deploy/wes.toml
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Check the configuration file and exit
        #[arg(long)]
        check: bool,
    },
    /// Read a token from standard input and print its digest for the configuration file
    Digest,
}

/// The service or the controllers to send requests to.
#[derive(Args, Clone)]
#[group(id = "whom", multiple = true)]
struct Target {
    /// URL of a workflow service, http://HOST:PORT; HOPYOKE_TOKEN holds the bearer token
    #[arg(long = "to", value_name = "URL", conflicts_with = "mesh")]
    service: Option<String>,
    /// Mesh addresses of controllers, for operators without a workflow service
    #[arg(long, value_name = "ADDR", num_args = 1..)]
    mesh: Vec<SocketAddr>,
    /// Seconds for which a request is retried before it fails
    #[arg(long = "patience", value_name = "SECONDS", default_value_t = 60)]
    retry_timeout_s: u64,
}

impl Target {
    fn retry_timeout(&self) -> Micros {
        Micros::from_secs(self.retry_timeout_s.min(86_400))
    }
}

#[derive(Args)]
struct RunArgs {
    /// Document, optionally followed by #ID
    document: String,
    /// Input values (YAML or JSON)
    inputs: Option<PathBuf>,
    #[command(flatten)]
    target: Target,
    /// Team of the run; required if the document names none
    #[arg(long)]
    team: Option<String>,
    /// Class of the jobs, if the document names none
    #[arg(long)]
    class: Option<String>,
    /// Image of tools that name none
    #[arg(long, default_value = "default")]
    image: String,
    /// Whether other steps continue after a step has failed
    #[arg(long, value_enum, default_value_t = OnError::Stop)]
    on_error: OnError,
    /// With --mesh: directory in which workers find task descriptions
    #[arg(long, value_name = "DIR", requires = "mesh")]
    descriptions: Option<PathBuf>,
    /// Idempotency key: submitting again with the same key starts no second run
    #[arg(long)]
    key: Option<String>,
    /// Check the document and its inputs, and exit
    #[arg(long)]
    validate: bool,
    /// Print the graph of the workflow, and exit
    #[arg(long)]
    print_graph: bool,
    #[arg(long, value_enum, default_value_t = GraphFormat::Dot, requires = "print_graph")]
    format: GraphFormat,
    /// Print the plan and its tasks as JSON, and exit
    #[arg(long)]
    print_plan: bool,
    /// Print the run id without waiting for the run to end
    #[arg(long)]
    detach: bool,
    #[arg(long, short)]
    quiet: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum OnError {
    Stop,
    Continue,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum GraphFormat {
    Dot,
    Svg,
}

/// A failure, by exit code.
enum CliError {
    /// Exit code 1.
    Failed(String),
    /// Exit code 33: the document requires an unsupported feature.
    Unsupported(String),
}

impl From<String> for CliError {
    fn from(e: String) -> CliError {
        CliError::Failed(e)
    }
}

type CliResult = Result<(), CliError>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Check { files } => check(&files),
        Command::Run(run) => run_document(&run),
        Command::List { target } => block_on(move || list(target)),
        Command::Status { run, target } => block_on(move || status(run, target)),
        Command::CancellationToken { run, target } => {
            block_on(move || cancel_or_resume(run, "cancel", target, None))
        }
        Command::Resume {
            run,
            target,
            descriptions,
        } => block_on(move || cancel_or_resume(run, "resume", target, descriptions)),
        Command::Serve { config, check } => serve(&config, check),
        Command::Digest => digest(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Failed(e)) => {
            eprintln!("hopyoke cwl: {e}");
            ExitCode::FAILURE
        }
        Err(CliError::Unsupported(e)) => {
            eprintln!("hopyoke cwl: {e}");
            ExitCode::from(33)
        }
    }
}

fn diagnostics_error(diagnostics: &Diagnostics) -> CliError {
    if diagnostics.has_unsupported() {
        CliError::Unsupported(diagnostics.to_string())
    } else {
        CliError::Failed(diagnostics.to_string())
    }
}

fn check(files: &[PathBuf]) -> CliResult {
    let mut end = Ok(());
    for file in files {
        match open(&LocalFiles, &name_of(file)) {
            Ok((process, diagnostics)) if diagnostics.is_empty() => {
                println!("{}: valid {}", file.display(), process.class())
            }
            Ok((process, diagnostics)) => {
                println!(
                    "{diagnostics}\n{}: valid {}",
                    file.display(),
                    process.class()
                )
            }
            Err(diagnostics) => {
                if let Err(CliError::Failed(e) | CliError::Unsupported(e)) = &end {
                    eprintln!("{e}");
                }
                end = Err(diagnostics_error(&diagnostics));
            }
        }
    }
    end
}

/// Runs a future to completion on a new event loop.
fn block_on<T: 'static, F: Future<Output = Result<T, CliError>> + 'static>(
    make_future: impl FnOnce() -> F + 'static,
) -> Result<T, CliError> {
    let slot = Rc::new(RefCell::new(None));
    let out = slot.clone();
    runtime::run(async move {
        let result = make_future().await;
        *out.borrow_mut() = Some(result);
    })
    .map_err(|e| CliError::Failed(e.to_string()))?;
    slot.take().unwrap_or_else(|| {
        Err(CliError::Failed(
            "the event loop stopped before the operation completed".into(),
        ))
    })
}

/// Local files, recording the contents of each file that is read.
struct RecordingSource(RefCell<BTreeMap<String, String>>);

impl Source for RecordingSource {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = LocalFiles.read(path)?;
        self.0.borrow_mut().insert(path.to_owned(), text.clone());
        Ok(text)
    }
}

fn run_document(run: &RunArgs) -> CliResult {
    if run.print_graph {
        let (process, _) = open(&LocalFiles, &run.document).map_err(|f| diagnostics_error(&f))?;
        print!(
            "{}",
            if run.format == GraphFormat::Dot {
                graph::dot(&process)
            } else {
                graph::svg(&process)
            }
        );
        return Ok(());
    }
    let inputs = match &run.inputs {
        None => "{}".to_owned(),
        Some(p) => std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()))?,
    };
    let inputs = resolve_input_paths(&inputs, run.inputs.as_deref())?;
    let key = run
        .key
        .clone()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let id = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(key.as_bytes()));
    let source = RecordingSource(RefCell::default());
    let request = CompileRequest {
        run: id,
        document: run.document.clone(),
        inputs: inputs.clone(),
        team: run.team.clone(),
        // The service substitutes the default team of the client; compiling here only requires some team.
        fallback_team: run
            .target
            .service
            .is_some()
            .then(|| "of the client".to_owned()),
        class: run.class.clone(),
        image: run.image.clone(),
    };
    let compiled = compile(&source, &request).map_err(|f| diagnostics_error(&f))?;
    if !compiled.warnings.is_empty() && !run.quiet {
        eprintln!("{}", compiled.warnings);
    }
    if run.validate {
        println!(
            "{}: valid, {} steps",
            run.document,
            compiled.plan.steps.len()
        );
        return Ok(());
    }
    if run.print_plan {
        let tasks: BTreeMap<u32, _> = compiled.tasks.iter().map(|(s, t)| (s.0, t)).collect();
        let all = serde_json::json!({ "plan": compiled.plan, "tasks": tasks });
        println!(
            "{}",
            serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let options = FollowOptions {
        quiet: run.quiet,
        detach: run.detach,
    };
    if run.target.mesh.is_empty() {
        let form = submission_form(run, &source, &inputs, &key)?;
        let target = run.target.clone();
        return block_on(move || async move {
            let client = client(&target)?;
            let id = client.submit(&form).await?;
            follow(Backend::Service(client), id, options).await
        });
    }
    if let Some(dir) = &run.descriptions {
        publish::publish(dir, id, &compiled.tasks)
            .map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    let submit = SubmitRun {
        run: id.number(),
        name: run.document.clone(),
        team: compiled.team.clone(),
        continue_on_error: run.on_error == OnError::Continue,
        plan: serde_json::to_vec(&compiled.plan).map_err(|e| e.to_string())?,
        ..SubmitRun::default()
    };
    let (mesh, retry_timeout) = (run.target.mesh.clone(), run.target.retry_timeout());
    block_on(move || async move {
        let controllers = Controllers::new(mesh);
        controllers
            .call(Operation::Submit(submit), retry_timeout)
            .await
            .map_err(|e| e.to_string())?;
        follow(
            Backend::Mesh(controllers, retry_timeout),
            id.to_string(),
            options,
        )
        .await
    })
}

/// Returns the inputs as JSON, with relative file paths resolved against the directory of the inputs file.
fn resolve_input_paths(text: &str, file: Option<&Path>) -> Result<String, CliError> {
    fn resolve(v: &mut Value, dir: &Path) {
        match v {
            Value::Array(list) => list.iter_mut().for_each(|v| resolve(v, dir)),
            Value::Object(o) => {
                let is_file = matches!(
                    o.get("class").and_then(Value::as_str),
                    Some("File" | "Directory")
                );
                for key in ["location", "path"] {
                    if let Some(Value::String(s)) = o.get_mut(key).filter(|_| is_file)
                        && !s.contains(':')
                        && !s.starts_with('/')
                    {
                        *s = dir.join(&*s).to_string_lossy().into_owned();
                    }
                }
                o.values_mut().for_each(|v| resolve(v, dir));
            }
            _ => {}
        }
    }
    let mut diagnostics = Diagnostics::default();
    let name = file.map_or_else(|| "inputs".to_owned(), name_of);
    let Some(node) = yaml::parse_as(&name, text, &mut diagnostics) else {
        return Err(diagnostics_error(&diagnostics));
    };
    let dir = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let dir = std::path::absolute(if dir.as_os_str().is_empty() {
        Path::new(".")
    } else {
        dir
    })
    .map_err(|e| CliError::Failed(e.to_string()))?;
    let mut value = node.to_value();
    resolve(&mut value, &dir);
    // One value per line, so that the line of a diagnostic identifies the value.
    serde_json::to_string_pretty(&value).map_err(|e| CliError::Failed(e.to_string()))
}

/// Builds the submission: the document and all files that it references, named relative to its directory.
fn submission_form(
    run: &RunArgs,
    source: &RecordingSource,
    inputs: &str,
    key: &str,
) -> Result<Form, CliError> {
    let (path, fragment) = run.document.split_once('#').unwrap_or((&run.document, ""));
    let dir = path.rfind('/').map_or("", |i| &path[..=i]);
    let mut files = BTreeMap::new();
    for (name, text) in source.0.borrow().iter() {
        match name
            .strip_prefix(dir)
            .filter(|n| !n.starts_with('/') && !n.starts_with(".."))
        {
            Some(n) => {
                files.insert(n.to_owned(), text.clone());
            }
            None => {
                return Err(CliError::Failed(format!(
                    "{name}: outside the directory of the document; pack the document into one file"
                )));
            }
        }
    }
    let main = &path[dir.len()..];
    let url = if fragment.is_empty() {
        main.to_owned()
    } else {
        format!("{main}#{fragment}")
    };
    let mut params = serde_json::Map::new();
    params.insert("key".into(), Value::from(key));
    params.insert(
        "on_error".into(),
        Value::from(if run.on_error == OnError::Stop {
            "stop"
        } else {
            "continue"
        }),
    );
    for (name, value) in [("team", &run.team), ("class", &run.class)] {
        params.extend(
            value
                .iter()
                .map(|v| (name.to_owned(), Value::from(v.as_str()))),
        );
    }
    let fields = [
        ("workflow_type", "CWL".to_owned()),
        ("workflow_type_version", "v1.2".to_owned()),
        ("workflow_url", url),
        ("workflow_params", inputs.to_owned()),
        (
            "workflow_engine_parameters",
            Value::Object(params).to_string(),
        ),
    ];
    Ok(Form {
        fields: fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect(),
        files,
    })
}

fn client(target: &Target) -> Result<Client, CliError> {
    let url = target
        .service
        .as_deref()
        .ok_or_else(|| CliError::Failed("--to URL or --mesh ADDR is required".into()))?;
    let token = std::env::var("HOPYOKE_TOKEN")
        .map_err(|_| CliError::Failed("HOPYOKE_TOKEN is not set".into()))?;
    Ok(Client::new(url, &token, target.retry_timeout())?)
}

/// The source of run states: a workflow service, or controllers with a retry timeout.
enum Backend {
    Service(Client),
    Mesh(Controllers, Micros),
}

/// State and outputs of a run, common to both backends.
struct RunDetails {
    state: State,
    progress: Progress,
    reason: String,
    outputs: Value,
}

impl Backend {
    fn for_target(target: &Target) -> Result<Backend, CliError> {
        if target.mesh.is_empty() {
            return Ok(Backend::Service(client(target)?));
        }
        Ok(Backend::Mesh(
            Controllers::new(target.mesh.clone()),
            target.retry_timeout(),
        ))
    }

    async fn state(&self, run: &str) -> Result<(State, Progress), CliError> {
        match self {
            Backend::Service(c) => {
                let s = c.status(run).await?;
                Ok((s.state, s.progress.unwrap_or_default()))
            }
            Backend::Mesh(c, retry_timeout) => {
                let (info, _) = query_run(c, run, 0, *retry_timeout).await?;
                Ok((State::from_info(&info), Progress::from_info(&info)))
            }
        }
    }

    async fn details(&self, run: &str) -> Result<RunDetails, CliError> {
        match self {
            Backend::Service(c) => {
                let (state, progress) = self.state(run).await?;
                let log = c.log(run).await?;
                let reason = log.run_log.system_logs.join("; ");
                Ok(RunDetails {
                    state,
                    progress,
                    reason,
                    outputs: log.outputs,
                })
            }
            Backend::Mesh(c, retry_timeout) => {
                let (info, outputs) = query_run(c, run, 1, *retry_timeout).await?;
                let outputs = serde_json::from_str(&outputs).unwrap_or(Value::Null);
                Ok(RunDetails {
                    state: State::from_info(&info),
                    progress: Progress::from_info(&info),
                    reason: info.reason,
                    outputs,
                })
            }
        }
    }
}

async fn query_run(
    c: &Controllers,
    run: &str,
    limit: u32,
    retry_timeout: Micros,
) -> Result<(RunInfo, String), CliError> {
    let id = RunId::parse(run).ok_or_else(|| {
        CliError::Failed(format!("'{run}' is not a run id: expected twelve digits"))
    })?;
    let query = RunQuestion {
        run: id.number(),
        from: 0,
        limit,
    };
    let mut response = c
        .call(Operation::Get(query), retry_timeout)
        .await
        .map_err(|e| e.to_string())?;
    let info = response
        .runs
        .pop()
        .ok_or_else(|| CliError::Failed("empty response from the controllers".into()))?;
    Ok((info, response.outputs))
}

struct FollowOptions {
    quiet: bool,
    detach: bool,
}

/// Reports the progress of a run until it ends and prints its outputs.
async fn follow(backend: Backend, run: String, options: FollowOptions) -> CliResult {
    if !options.quiet {
        eprintln!("run {run}");
    }
    if options.detach {
        println!("{run}");
        return Ok(());
    }
    let bar = ProgressBar::with_draw_target(
        None,
        if options.quiet {
            ProgressDrawTarget::hidden()
        } else {
            ProgressDrawTarget::stderr()
        },
    );
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} steps {msg} {elapsed}")
    {
        bar.set_style(style);
    }
    let is_terminal = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let mut last_printed = (State::Unknown, 0);
    let mut pause = Micros::from_millis(200);
    loop {
        let (state, p) = backend.state(&run).await?;
        bar.set_length(u64::from(p.steps));
        bar.set_position(u64::from(p.done));
        bar.set_message(format!("{state:?}, {} in flight", p.in_flight));
        if !is_terminal && !options.quiet && last_printed != (state, p.done) {
            eprintln!("{state:?}: {} of {} steps done", p.done, p.steps);
            last_printed = (state, p.done);
        }
        if state.is_final() {
            break;
        }
        runtime::sleep(pause).await;
        pause = Micros((pause.0 * 3 / 2).min(2_000_000));
    }
    bar.finish_and_clear();
    let details = backend.details(&run).await?;
    if details.state == State::Complete {
        println!(
            "{}",
            serde_json::to_string_pretty(&details.outputs).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let reason = if details.reason.is_empty() {
        String::new()
    } else {
        format!(": {}", details.reason)
    };
    Err(CliError::Failed(format!(
        "run {run} ended in state {:?}{reason}",
        details.state
    )))
}

async fn status(run: String, target: Target) -> CliResult {
    let details = Backend::for_target(&target)?.details(&run).await?;
    let p = details.progress;
    println!(
        "{run} {:?}: {} of {} steps done, {} in flight",
        details.state, p.done, p.steps, p.in_flight
    );
    if !details.reason.is_empty() {
        println!("{}", details.reason);
    }
    if details.state == State::Complete {
        println!(
            "{}",
            serde_json::to_string_pretty(&details.outputs).map_err(|e| e.to_string())?
        );
    }
    Ok(())
}

async fn list(target: Target) -> CliResult {
    match Backend::for_target(&target)? {
        Backend::Service(c) => {
            let mut token = String::new();
            loop {
                let page = c.list(&token).await?;
                for r in page.runs {
                    println!(
                        "{} {:?} {}",
                        r.run_id,
                        r.state,
                        r.start_time.unwrap_or_default()
                    );
                }
                if page.next_page_token.is_empty() {
                    return Ok(());
                }
                token = page.next_page_token;
            }
        }
        Backend::Mesh(c, retry_timeout) => {
            let mut after = 0;
            loop {
                let operation = Operation::List(RunList {
                    after,
                    limit: 200,
                    owner: String::new(),
                });
                let page = c
                    .call(operation, retry_timeout)
                    .await
                    .map_err(|e| e.to_string())?;
                for r in &page.runs {
                    let id = RunId::wrapping_new(r.run);
                    println!(
                        "{id} {} team {} {} of {} steps {}",
                        r.state, r.team, r.done, r.steps, r.name
                    );
                }
                match page.runs.last().filter(|_| page.more) {
                    Some(last) => after = last.run,
                    None => return Ok(()),
                }
            }
        }
    }
}

async fn cancel_or_resume(
    run: String,
    action: &'static str,
    target: Target,
    descriptions: Option<PathBuf>,
) -> CliResult {
    let id = match Backend::for_target(&target)? {
        Backend::Service(c) => c.change(&run, action).await?,
        Backend::Mesh(c, retry_timeout) => {
            let old = RunId::parse(&run)
                .ok_or_else(|| format!("'{run}' is not a run id: expected twelve digits"))?;
            let new = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(
                format!("resume/{old}").as_bytes(),
            ));
            let operation = match action {
                "cancel" => Operation::Cancel(RunQuestion {
                    run: old.number(),
                    ..RunQuestion::default()
                }),
                _ => Operation::Resume(ResumeRun {
                    run: old.number(),
                    new_run: new.number(),
                    owner: String::new(),
                }),
            };
            if let Some(dir) = descriptions {
                publish::copy_for_resume(&dir, old, new)
                    .map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            c.call(operation, retry_timeout)
                .await
                .map_err(|e| e.to_string())?;
            if action == "cancel" {
                run
            } else {
                new.to_string()
            }
        }
    };
    println!("{id}");
    Ok(())
}

fn serve(file: &Path, check: bool) -> CliResult {
    let config = Config::load(file)?;
    if check {
        println!("{}: no faults", file.display());
        return Ok(());
    }
    hopyoke::log::init().map_err(|e| e.to_string())?;
    block_on(move || async move {
        let listen = config.listen;
        let ready = |addr: SocketAddr| tracing::info!(%addr, "serving");
        Server::new(config)
            .serve(CancellationToken::new(), ready)
            .await
            .map_err(|e| CliError::Failed(format!("{listen}: {e}")))
    })
}

fn digest() -> CliResult {
    let mut token = String::new();
    std::io::stdin()
        .read_to_string(&mut token)
        .map_err(|e| e.to_string())?;
    let token = token.trim();
    if token.len() < 16 {
        return Err(CliError::Failed(
            "a token must have at least 16 characters".into(),
        ));
    }
    println!("{}", Authenticator::token_digest(token));
    Ok(())
}
