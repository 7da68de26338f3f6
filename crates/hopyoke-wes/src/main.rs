//! The program: CWL on the command line, and the workflow service.

use clap::{Args, Parser, Subcommand, ValueEnum};
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{ResumeRun, RunInfo, RunList, RunQuestion, SubmitRun};
use hopyoke_cwl::load::{LocalFiles, Source, name_of};
use hopyoke_cwl::{Diagnostics, graph, open, yaml};
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_types::Micros;
use hopyoke_wes::access::Access;
use hopyoke_wes::calls::Controllers;
use hopyoke_wes::client::Client;
use hopyoke_wes::compile::{Work, compile};
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

/// Workflows in CWL v1.2 on hopyoke.
#[derive(Parser)]
#[command(name = "hopyoke cwl", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check documents and print every fault with file, line and what is asked
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run a document: outputs as JSON on standard output, progress on standard error
    Run(Run),
    /// List runs
    List {
        #[command(flatten)]
        to: To,
    },
    /// Show a run's state, and its outputs once it is done
    Status {
        run: String,
        #[command(flatten)]
        to: To,
    },
    /// Cancel a run
    CancellationToken {
        run: String,
        #[command(flatten)]
        to: To,
    },
    /// Go on, as a new run, from what a failed or cancelled one had done
    Resume {
        run: String,
        #[command(flatten)]
        to: To,
        /// Where workers find descriptions, if they were left there by this program
        #[arg(long, value_name = "DIR", requires = "mesh")]
        descriptions: Option<PathBuf>,
    },
    /// Serve the GA4GH Workflow Execution Service
    Serve {
        /// See deploy/wes.toml
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Check the file and end
        #[arg(long)]
        check: bool,
    },
    /// Print the digest of a token, read from standard input, for the service's file
    Digest,
}

/// Whom to ask.
#[derive(Args, Clone)]
#[group(id = "whom", multiple = true)]
struct To {
    /// A workflow service, http://HOST:PORT; the token comes from HOPYOKE_TOKEN
    #[arg(long, value_name = "URL", conflicts_with = "mesh")]
    to: Option<String>,
    /// Mesh addresses of controllers, for operators
    #[arg(long, value_name = "ADDR", num_args = 1..)]
    mesh: Vec<SocketAddr>,
    /// Give up asking after so many seconds without an answer
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    patience: u64,
}

impl To {
    fn patience(&self) -> Micros {
        Micros::from_secs(self.patience.min(86_400))
    }
}

#[derive(Args)]
struct Run {
    /// The document, perhaps with #ID
    document: String,
    /// Its inputs (YAML or JSON)
    inputs: Option<PathBuf>,
    #[command(flatten)]
    to: To,
    /// The team; needed if the document names none
    #[arg(long)]
    team: Option<String>,
    /// The class of its jobs, if the document names none
    #[arg(long)]
    class: Option<String>,
    /// The image of tools that name none
    #[arg(long, default_value = "default")]
    image: String,
    /// What becomes of other steps once one has failed
    #[arg(long, value_enum, default_value_t = OnError::Stop)]
    on_error: OnError,
    /// With --mesh: where workers find descriptions
    #[arg(long, value_name = "DIR", requires = "mesh")]
    descriptions: Option<PathBuf>,
    /// A name for this run of your own: asked again with it, nothing runs twice
    #[arg(long)]
    key: Option<String>,
    /// Check document and inputs, and end
    #[arg(long)]
    validate: bool,
    /// Print the workflow's graph, and end
    #[arg(long)]
    print_graph: bool,
    #[arg(long, value_enum, default_value_t = GraphFormat::Dot, requires = "print_graph")]
    format: GraphFormat,
    /// Print the tasks that would run as JSON, and end
    #[arg(long)]
    print_plan: bool,
    /// Do not wait for its end
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

/// How the program ends if not well.
enum End {
    /// Exit code 1.
    Failed(String),
    /// Exit code 33: the document asks for something that is not supported.
    Unsupported(String),
}

impl From<String> for End {
    fn from(e: String) -> End {
        End::Failed(e)
    }
}

type Done = Result<(), End>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Check { files } => check(&files),
        Command::Run(run) => run_document(&run),
        Command::List { to } => wait(move || list(to)),
        Command::Status { run, to } => wait(move || status(run, to)),
        Command::CancellationToken { run, to } => wait(move || change(run, "cancel", to, None)),
        Command::Resume {
            run,
            to,
            descriptions,
        } => wait(move || change(run, "resume", to, descriptions)),
        Command::Serve { config, check } => serve(&config, check),
        Command::Digest => digest(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(End::Failed(e)) => {
            eprintln!("hopyoke cwl: {e}");
            ExitCode::FAILURE
        }
        Err(End::Unsupported(e)) => {
            eprintln!("hopyoke cwl: {e}");
            ExitCode::from(33)
        }
    }
}

fn of_faults(faults: &Diagnostics) -> End {
    if faults.has_unsupported() {
        End::Unsupported(faults.to_string())
    } else {
        End::Failed(faults.to_string())
    }
}

fn check(files: &[PathBuf]) -> Done {
    let mut end = Ok(());
    for file in files {
        match open(&LocalFiles, &name_of(file)) {
            Ok((process, faults)) if faults.is_empty() => {
                println!("{}: a sound {}", file.display(), process.class())
            }
            Ok((process, faults)) => {
                println!("{faults}\n{}: a sound {}", file.display(), process.class())
            }
            Err(faults) => {
                if let Err(End::Failed(e) | End::Unsupported(e)) = &end {
                    eprintln!("{e}");
                }
                end = Err(of_faults(&faults));
            }
        }
    }
    end
}

/// Runs a future on the event loop to its end.
fn wait<T: 'static, F: Future<Output = Result<T, End>> + 'static>(
    make: impl FnOnce() -> F + 'static,
) -> Result<T, End> {
    let slot = Rc::new(RefCell::new(None));
    let out = slot.clone();
    runtime::run(async move {
        let result = make().await;
        *out.borrow_mut() = Some(result);
    })
    .map_err(|e| End::Failed(e.to_string()))?;
    slot.take()
        .unwrap_or_else(|| Err(End::Failed("no answer".into())))
}

/// Files, and which of them were read.
struct Recorded(RefCell<BTreeMap<String, String>>);

impl Source for Recorded {
    fn read(&self, path: &str) -> Result<String, String> {
        let text = LocalFiles.read(path)?;
        self.0.borrow_mut().insert(path.to_owned(), text.clone());
        Ok(text)
    }
}

fn run_document(run: &Run) -> Done {
    if run.print_graph {
        let (process, _) = open(&LocalFiles, &run.document).map_err(|f| of_faults(&f))?;
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
    let inputs = located(&inputs, run.inputs.as_deref())?;
    let key = run
        .key
        .clone()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let id = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(key.as_bytes()));
    let source = Recorded(RefCell::default());
    let work = Work {
        run: id,
        document: run.document.clone(),
        inputs: inputs.clone(),
        team: run.team.clone(),
        // A service fills in its client's own; here it only has to be a team.
        fallback_team: run.to.to.is_some().then(|| "of the client".to_owned()),
        class: run.class.clone(),
        image: run.image.clone(),
    };
    let compiled = compile(&source, &work).map_err(|f| of_faults(&f))?;
    if !compiled.warnings.is_empty() && !run.quiet {
        eprintln!("{}", compiled.warnings);
    }
    if run.validate {
        println!(
            "{}: sound, {} steps",
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
    let how = How {
        quiet: run.quiet,
        detach: run.detach,
    };
    if run.to.mesh.is_empty() {
        let form = form(run, &source, &inputs, &key)?;
        let to = run.to.clone();
        return wait(move || async move {
            let client = client(&to)?;
            let id = client.submit(&form).await?;
            follow(Whom::Service(client), id, how).await
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
    let (mesh, patience) = (run.to.mesh.clone(), run.to.patience());
    wait(move || async move {
        let controllers = Controllers::new(mesh);
        controllers
            .ask(Operation::Submit(submit), patience)
            .await
            .map_err(|e| e.to_string())?;
        follow(Whom::Mesh(controllers, patience), id.to_string(), how).await
    })
}

/// Inputs whose relative files are found from where the inputs' own file is.
fn located(text: &str, file: Option<&Path>) -> Result<String, End> {
    fn walk(v: &mut Value, dir: &Path) {
        match v {
            Value::Array(list) => list.iter_mut().for_each(|v| walk(v, dir)),
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
                o.values_mut().for_each(|v| walk(v, dir));
            }
            _ => {}
        }
    }
    let mut faults = Diagnostics::default();
    let name = file.map_or_else(|| "inputs".to_owned(), name_of);
    let Some(node) = yaml::parse_as(&name, text, &mut faults) else {
        return Err(of_faults(&faults));
    };
    let dir = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let dir = std::path::absolute(if dir.as_os_str().is_empty() {
        Path::new(".")
    } else {
        dir
    })
    .map_err(|e| End::Failed(e.to_string()))?;
    let mut value = node.to_value();
    walk(&mut value, &dir);
    // Indented, so that a fault's line is that of one value.
    serde_json::to_string_pretty(&value).map_err(|e| End::Failed(e.to_string()))
}

/// What a service is sent: the document and all that it refers to, named from its directory.
fn form(run: &Run, source: &Recorded, inputs: &str, key: &str) -> Result<Form, End> {
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
                return Err(End::Failed(format!(
                    "{name}: lies outside of the document's directory; pack it"
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

fn client(to: &To) -> Result<Client, End> {
    let url = to
        .to
        .as_deref()
        .ok_or_else(|| End::Failed("--to URL or --mesh ADDR is needed".into()))?;
    let token = std::env::var("HOPYOKE_TOKEN")
        .map_err(|_| End::Failed("HOPYOKE_TOKEN is not set".into()))?;
    Ok(Client::new(url, &token, to.patience())?)
}

/// Whom a run's state is asked of.
enum Whom {
    Service(Client),
    Mesh(Controllers, Micros),
}

/// A run as both tell of it.
struct Told {
    state: State,
    progress: Progress,
    reason: String,
    outputs: Value,
}

impl Whom {
    fn of(to: &To) -> Result<Whom, End> {
        if to.mesh.is_empty() {
            return Ok(Whom::Service(client(to)?));
        }
        Ok(Whom::Mesh(Controllers::new(to.mesh.clone()), to.patience()))
    }

    async fn state(&self, run: &str) -> Result<(State, Progress), End> {
        match self {
            Whom::Service(c) => {
                let s = c.status(run).await?;
                Ok((s.state, s.progress.unwrap_or_default()))
            }
            Whom::Mesh(c, patience) => {
                let (info, _) = asked(c, run, 0, *patience).await?;
                Ok((State::of_run(&info), Progress::of_run(&info)))
            }
        }
    }

    async fn whole(&self, run: &str) -> Result<Told, End> {
        match self {
            Whom::Service(c) => {
                let (state, progress) = self.state(run).await?;
                let log = c.log(run).await?;
                let reason = log.run_log.system_logs.join("; ");
                Ok(Told {
                    state,
                    progress,
                    reason,
                    outputs: log.outputs,
                })
            }
            Whom::Mesh(c, patience) => {
                let (info, outputs) = asked(c, run, 1, *patience).await?;
                let outputs = serde_json::from_str(&outputs).unwrap_or(Value::Null);
                Ok(Told {
                    state: State::of_run(&info),
                    progress: Progress::of_run(&info),
                    reason: info.reason,
                    outputs,
                })
            }
        }
    }
}

async fn asked(
    c: &Controllers,
    run: &str,
    most: u32,
    patience: Micros,
) -> Result<(RunInfo, String), End> {
    let id = RunId::parse(run)
        .ok_or_else(|| End::Failed(format!("{run} is no run's id: twelve digits")))?;
    let question = RunQuestion {
        run: id.number(),
        from: 0,
        limit: most,
    };
    let mut answer = c
        .ask(Operation::Get(question), patience)
        .await
        .map_err(|e| e.to_string())?;
    let info = answer
        .runs
        .pop()
        .ok_or_else(|| End::Failed("an empty answer".into()))?;
    Ok((info, answer.outputs))
}

struct How {
    quiet: bool,
    detach: bool,
}

/// Waits for a run's end and prints its outputs.
async fn follow(whom: Whom, run: String, how: How) -> Done {
    if !how.quiet {
        eprintln!("run {run}");
    }
    if how.detach {
        println!("{run}");
        return Ok(());
    }
    let bar = ProgressBar::with_draw_target(
        None,
        if how.quiet {
            ProgressDrawTarget::hidden()
        } else {
            ProgressDrawTarget::stderr()
        },
    );
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} steps {msg} {elapsed}")
    {
        bar.set_style(style);
    }
    let terminal = std::io::IsTerminal::is_terminal(&std::io::stderr());
    let mut said = (State::Unknown, 0);
    let mut pause = Micros::from_millis(200);
    loop {
        let (state, p) = whom.state(&run).await?;
        bar.set_length(u64::from(p.steps));
        bar.set_position(u64::from(p.done));
        bar.set_message(format!("{state:?}, {} in flight", p.in_flight));
        if !terminal && !how.quiet && said != (state, p.done) {
            eprintln!("{state:?}: {} of {} steps done", p.done, p.steps);
            said = (state, p.done);
        }
        if state.is_final() {
            break;
        }
        runtime::sleep(pause).await;
        pause = Micros((pause.0 * 3 / 2).min(2_000_000));
    }
    bar.finish_and_clear();
    let told = whom.whole(&run).await?;
    if told.state == State::Complete {
        println!(
            "{}",
            serde_json::to_string_pretty(&told.outputs).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let reason = if told.reason.is_empty() {
        String::new()
    } else {
        format!(": {}", told.reason)
    };
    Err(End::Failed(format!(
        "run {run} ended as {:?}{reason}",
        told.state
    )))
}

async fn status(run: String, to: To) -> Done {
    let told = Whom::of(&to)?.whole(&run).await?;
    let p = told.progress;
    println!(
        "{run} {:?}: {} of {} steps done, {} in flight",
        told.state, p.done, p.steps, p.in_flight
    );
    if !told.reason.is_empty() {
        println!("{}", told.reason);
    }
    if told.state == State::Complete {
        println!(
            "{}",
            serde_json::to_string_pretty(&told.outputs).map_err(|e| e.to_string())?
        );
    }
    Ok(())
}

async fn list(to: To) -> Done {
    match Whom::of(&to)? {
        Whom::Service(c) => {
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
        Whom::Mesh(c, patience) => {
            let mut after = 0;
            loop {
                let ask = Operation::List(RunList {
                    after,
                    limit: 200,
                    owner: String::new(),
                });
                let page = c.ask(ask, patience).await.map_err(|e| e.to_string())?;
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

async fn change(run: String, verb: &'static str, to: To, descriptions: Option<PathBuf>) -> Done {
    let id = match Whom::of(&to)? {
        Whom::Service(c) => c.change(&run, verb).await?,
        Whom::Mesh(c, patience) => {
            let old =
                RunId::parse(&run).ok_or_else(|| format!("{run} is no run's id: twelve digits"))?;
            let new = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(
                format!("resume/{old}").as_bytes(),
            ));
            let ask = match verb {
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
                publish::take_over(&dir, old, new)
                    .map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            c.ask(ask, patience).await.map_err(|e| e.to_string())?;
            if verb == "cancel" {
                run
            } else {
                new.to_string()
            }
        }
    };
    println!("{id}");
    Ok(())
}

fn serve(file: &Path, check: bool) -> Done {
    let config = Config::load(file)?;
    if check {
        println!("{}: no faults", file.display());
        return Ok(());
    }
    hopyoke::log::init().map_err(|e| e.to_string())?;
    wait(move || async move {
        let listen = config.listen;
        let ready = |addr: SocketAddr| tracing::info!(%addr, "serving");
        Server::new(config)
            .serve(CancellationToken::new(), ready)
            .await
            .map_err(|e| End::Failed(format!("{listen}: {e}")))
    })
}

fn digest() -> Done {
    let mut token = String::new();
    std::io::stdin()
        .read_to_string(&mut token)
        .map_err(|e| e.to_string())?;
    let token = token.trim();
    if token.len() < 16 {
        return Err(End::Failed(
            "a token must have at least 16 characters".into(),
        ));
    }
    println!("{}", Access::digest_text(token));
    Ok(())
}
