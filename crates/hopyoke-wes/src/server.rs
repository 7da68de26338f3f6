//! The GA4GH Workflow Execution Service 1.1.

use crate::access::{Access, Denied};
use crate::calls::{Controllers, Refused};
use crate::compile::{NotCompiled, Readers, Work};
use crate::config::{Client, Config};
use crate::publish;
use crate::upload::{self, Form};
use crate::wire::{
    BASE, Log, Organization, Problem, Progress, RunIdAnswer, RunList, RunLog, RunRequest,
    RunStatus, RunSummary, ServiceInfo, ServiceType, State, TaskList, TaskLog, TypeVersions, time,
};
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{self, RunInfo, RunQuestion, StepInfo, SubmitRun};
use hopyoke_event_loop::http::{self, Method, OpenConnections, Request, Response, ServerLimits};
use hopyoke_event_loop::{CancellationToken, TcpListener};
use hopyoke_types::{JobId, Micros};
use hopyoke_workflow::{RunId, is_step_job_id, parse_job_id};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// A submission with all its attachments.
const MOST_BODY: usize = 8 << 20;
/// How long a client's call may wait for the controllers.
const PATIENCE: Micros = Micros::from_secs(15);
const PAGE: u32 = 100;
const MOST_PAGE: u32 = 200;

pub struct Server {
    config: Config,
    access: Access,
    controllers: Controllers,
    readers: Readers,
}

type Answer = Result<Response, Refused>;

fn json<T: Serialize>(status: u16, body: &T) -> Response {
    Response::with_body(
        status,
        "application/json",
        serde_json::to_vec(body).unwrap_or_default(),
    )
}

fn refused(r: &Refused) -> Response {
    let response = json(
        r.status,
        &Problem {
            msg: r.error.clone(),
            status_code: r.status,
        },
    );
    match r.retry_after_s {
        Some(s) => response.retry_after(s),
        None => response,
    }
}

fn refuse<T>(status: u16, why: impl Into<String>) -> Result<T, Refused> {
    Err(Refused::new(status, why))
}

/// A path's part after the base, and its query.
fn target(path: &str) -> Option<(Vec<String>, BTreeMap<String, String>)> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let text = |s: &str| {
        percent_encoding::percent_decode_str(s)
            .decode_utf8_lossy()
            .into_owned()
    };
    let rest = path.strip_prefix(BASE)?;
    let parts = rest
        .split('/')
        .filter(|p| !p.is_empty())
        .map(text)
        .collect();
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    Some((parts, pairs.map(|(k, v)| (text(k), text(v))).collect()))
}

impl Server {
    pub fn new(config: Config) -> Server {
        Server {
            access: Access::new(&config.clients),
            controllers: Controllers::new(config.controllers.clone()),
            readers: Readers::new(config.readers),
            config,
        }
    }

    /// Serves until cancelled; `ready` is told the address.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn serve(
        self,
        cancel: CancellationToken,
        ready: impl FnOnce(SocketAddr),
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.config.listen)?;
        ready(listener.local_addr()?);
        let limits = ServerLimits {
            max_connections: self.config.connections,
            max_persistent_connections: self.config.connections / 2,
            idle_timeout: Micros::from_secs(60),
            request_timeout: Micros::from_secs(20),
            max_body_bytes: MOST_BODY,
        };
        let server = Rc::new(self);
        let handler = Rc::new(move |request: Request| {
            let server = server.clone();
            Box::pin(async move { server.answer(request).await }) as _
        });
        http::serve(
            listener,
            limits,
            OpenConnections::default(),
            cancel,
            handler,
        )
        .await;
        Ok(())
    }

    async fn answer(&self, request: Request) -> Response {
        let method = request.method;
        let path = request.path.clone();
        let response = match self.route(request).await {
            Ok(r) => r,
            Err(r) => refused(&r),
        };
        info!(
            method = method.as_str(),
            path,
            status = response.status,
            "answered"
        );
        response
    }

    async fn route(&self, request: Request) -> Answer {
        let Some((parts, query)) = target(&request.path) else {
            return refuse(404, "no such path");
        };
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        if let (Method::Get, ["service-info"]) = (request.method, parts.as_slice()) {
            return Ok(json(200, &self.service_info()));
        }
        let client = match self.access.client(request.authorization.as_deref()) {
            Ok(c) => c.clone(),
            Err(e @ (Denied::NoToken | Denied::Unknown)) => return refuse(401, e.to_string()),
        };
        match (request.method, parts.as_slice()) {
            (Method::Get, ["runs"]) => self.list(&client, &query).await,
            (Method::Post, ["runs"]) => self.submit(&client, request).await,
            (Method::Get, ["runs", run]) => self.log(&client, run).await,
            (Method::Get, ["runs", run, "status"]) => self.status(&client, run).await,
            (Method::Post, ["runs", run, "cancel"]) => self.cancel(&client, run).await,
            (Method::Post, ["runs", run, "resume"]) => self.resume(&client, run).await,
            (Method::Get, ["runs", run, "tasks"]) => self.tasks(&client, run, &query).await,
            (Method::Get, ["runs", run, "tasks", task]) => self.task(&client, run, task).await,
            (_, ["runs"] | ["runs", _] | ["runs", _, "status" | "cancel" | "resume" | "tasks"]) => {
                refuse(405, "another method is needed")
            }
            _ => refuse(404, "no such path"),
        }
    }

    fn service_info(&self) -> ServiceInfo {
        let versions = |list: &[&str]| list.iter().map(|s| (*s).to_owned()).collect();
        ServiceInfo {
            id: "hopyoke.wes".into(),
            name: "hopyoke".into(),
            kind: ServiceType {
                group: "org.ga4gh".into(),
                artifact: "wes".into(),
                version: "1.1.0".into(),
            },
            description: "Workflows under the same priorities, quotas and hours as all other work"
                .into(),
            organization: Organization {
                name: "hopyoke".into(),
                url: "urn:hopyoke".into(),
            },
            version: env!("CARGO_PKG_VERSION").into(),
            workflow_type_versions: [(
                "CWL".to_owned(),
                TypeVersions {
                    workflow_type_version: versions(&["v1.2"]),
                    workflow_engine_version: Vec::new(),
                },
            )]
            .into(),
            supported_wes_versions: versions(&["1.1.0"]),
            supported_filesystem_protocols: versions(&["file"]),
            workflow_engine_versions: [(
                "hopyoke".to_owned(),
                TypeVersions {
                    workflow_type_version: Vec::new(),
                    workflow_engine_version: versions(&[env!("CARGO_PKG_VERSION")]),
                },
            )]
            .into(),
            default_workflow_engine_parameters: Vec::new(),
            system_state_counts: BTreeMap::new(),
            auth_instructions_url: "urn:hopyoke:docs:CWL".into(),
            tags: BTreeMap::new(),
        }
    }

    async fn submit(&self, client: &Client, request: Request) -> Answer {
        let form = match upload::read(request.content_type.as_deref(), request.body).await {
            Ok(f) => f,
            Err(e) => return refuse(400, e),
        };
        let Form { fields, files } = form;
        let field = |name: &str| fields.get(name).map(String::as_str);
        match (field("workflow_type"), field("workflow_type_version")) {
            (Some("CWL"), Some("v1.2")) => {}
            (Some("CWL"), Some(v)) => {
                return refuse(400, format!("workflow_type_version: '{v}' is not v1.2"));
            }
            (Some(t), _) if t != "CWL" => {
                return refuse(400, format!("workflow_type: '{t}' is not CWL"));
            }
            _ => {
                return refuse(
                    400,
                    "workflow_type and workflow_type_version are needed: CWL and v1.2",
                );
            }
        }
        let Some(url) = field("workflow_url").filter(|u| !u.is_empty()) else {
            return refuse(400, "workflow_url is needed: the name of an attachment");
        };
        let tags: BTreeMap<String, String> =
            match serde_json::from_str(field("tags").unwrap_or("{}")) {
                Ok(t) => t,
                Err(e) => return refuse(400, format!("tags: a map of texts is needed: {e}")),
            };
        let params: BTreeMap<String, Value> =
            match serde_json::from_str(field("workflow_engine_parameters").unwrap_or("{}")) {
                Ok(p) => p,
                Err(e) => {
                    return refuse(
                        400,
                        format!("workflow_engine_parameters: a map is needed: {e}"),
                    );
                }
            };
        let param = |name: &str| params.get(name).and_then(Value::as_str).map(str::to_owned);
        if let Some(k) = params
            .keys()
            .find(|k| !matches!(k.as_str(), "team" | "class" | "on_error" | "key"))
        {
            return refuse(
                400,
                format!(
                    "workflow_engine_parameters: unknown '{k}'; team, class, on_error and key are known"
                ),
            );
        }
        let keep_on = match param("on_error").as_deref() {
            None | Some("stop") => false,
            Some("continue") => true,
            Some(other) => {
                return refuse(
                    400,
                    format!("on_error: '{other}' is neither stop nor continue"),
                );
            }
        };
        // A client that asks again with the same key gets the same run.
        let run = match param("key") {
            Some(key) => {
                let text = format!("{}/{key}", client.name);
                RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
            }
            None => RunId::wrapping_new(rand::random()),
        };
        let work = Work {
            run,
            document: url.to_owned(),
            inputs: field("workflow_params").unwrap_or("{}").to_owned(),
            team: param("team"),
            fallback_team: client.teams.first().cloned(),
            class: param("class"),
            image: self.config.image.clone(),
        };
        let compiled = match self.readers.compile(files, work).await {
            Ok(c) => c,
            Err(e @ (NotCompiled::Busy | NotCompiled::TooLong)) => {
                return refuse(503, e.to_string());
            }
            Err(NotCompiled::Faults(f)) => return refuse(400, f.to_string()),
        };
        if !client.teams.contains(&compiled.team) {
            return refuse(
                403,
                format!(
                    "client {} may not submit for team {}",
                    client.name, compiled.team
                ),
            );
        }
        if let Some(dir) = &self.config.descriptions
            && let Err(e) = publish::publish(dir, run, &compiled.tasks)
        {
            warn!(error = %e, "descriptions not written");
            return refuse(503, "the tasks' descriptions can't be written now");
        }
        let ask = Operation::Submit(SubmitRun {
            run: run.number(),
            name: url.to_owned(),
            team: compiled.team,
            owner: client.name.clone(),
            continue_on_error: keep_on,
            tags: tags.into_iter().collect(),
            plan: compiled.plan,
        });
        self.controllers.ask(ask, PATIENCE).await?;
        Ok(json(
            200,
            &RunIdAnswer {
                run_id: run.to_string(),
            },
        ))
    }

    /// A run of this client's; of others it is not told whether they exist.
    async fn run(
        &self,
        client: &Client,
        run: &str,
        from: u32,
        most: u32,
    ) -> Result<(RunId, RunInfo, proto::FlowResponse), Refused> {
        let Some(id) = RunId::parse(run).filter(|r| r.number() > 0) else {
            return refuse(404, "no such run");
        };
        let question = RunQuestion {
            run: id.number(),
            from,
            limit: most,
        };
        let mut answer = self
            .controllers
            .ask(Operation::Get(question), PATIENCE)
            .await?;
        match answer.runs.pop() {
            Some(info) if info.owner == client.name => Ok((id, info, answer)),
            _ => refuse(404, "no such run"),
        }
    }

    async fn status(&self, client: &Client, run: &str) -> Answer {
        let (id, info, _) = self.run(client, run, 0, 0).await?;
        let progress = Some(Progress::of_run(&info));
        Ok(json(
            200,
            &RunStatus {
                run_id: id.to_string(),
                state: State::of_run(&info),
                progress,
            },
        ))
    }

    async fn log(&self, client: &Client, run: &str) -> Answer {
        let (id, info, answer) = self.run(client, run, 0, 1).await?;
        let outputs = serde_json::from_str(&answer.outputs)
            .unwrap_or_else(|_| Value::Object(Default::default()));
        let system_logs = if info.reason.is_empty() {
            Vec::new()
        } else {
            vec![info.reason.clone()]
        };
        Ok(json(
            200,
            &RunLog {
                run_id: id.to_string(),
                state: State::of_run(&info),
                request: RunRequest {
                    workflow_type: "CWL".into(),
                    workflow_type_version: "v1.2".into(),
                    workflow_url: info.name.clone(),
                    tags: info.tags.clone().into_iter().collect(),
                    ..RunRequest::default()
                },
                run_log: Log {
                    name: info.name.clone(),
                    start_time: time(info.submitted_us),
                    end_time: time(info.ended_us),
                    system_logs,
                    ..Log::default()
                },
                task_logs_url: format!("{BASE}/runs/{id}/tasks"),
                outputs,
            },
        ))
    }

    async fn cancel(&self, client: &Client, run: &str) -> Answer {
        let (id, _, _) = self.run(client, run, 0, 0).await?;
        let question = RunQuestion {
            run: id.number(),
            ..RunQuestion::default()
        };
        self.controllers
            .ask(Operation::Cancel(question), PATIENCE)
            .await?;
        Ok(json(
            200,
            &RunIdAnswer {
                run_id: id.to_string(),
            },
        ))
    }

    /// Beyond the published paths: a new run goes on from what a failed one had done.
    async fn resume(&self, client: &Client, run: &str) -> Answer {
        let (old, _, _) = self.run(client, run, 0, 0).await?;
        // The same run however often it is asked.
        let new = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(
            format!("{}/resume/{old}", client.name).as_bytes(),
        ));
        if let Some(dir) = &self.config.descriptions
            && let Err(e) = publish::take_over(dir, old, new)
        {
            warn!(error = %e, "descriptions not taken over");
            return refuse(503, "the tasks' descriptions can't be written now");
        }
        let ask = proto::ResumeRun {
            run: old.number(),
            new_run: new.number(),
            owner: client.name.clone(),
        };
        self.controllers
            .ask(Operation::Resume(ask), PATIENCE)
            .await?;
        Ok(json(
            200,
            &RunIdAnswer {
                run_id: new.to_string(),
            },
        ))
    }

    async fn list(&self, client: &Client, query: &BTreeMap<String, String>) -> Answer {
        let (most, after) = page(query)?;
        let ask = Operation::List(proto::RunList {
            after,
            limit: most,
            owner: client.name.clone(),
        });
        let answer = self.controllers.ask(ask, PATIENCE).await?;
        let last = answer.runs.last().map_or(after, |r| r.run);
        let runs = answer
            .runs
            .iter()
            .map(|info| RunSummary {
                run_id: RunId::wrapping_new(info.run).to_string(),
                state: State::of_run(info),
                start_time: time(info.submitted_us),
                end_time: time(info.ended_us),
                tags: info.tags.clone().into_iter().collect(),
            })
            .collect();
        let next_page_token = if answer.more {
            last.to_string()
        } else {
            String::new()
        };
        Ok(json(
            200,
            &RunList {
                runs,
                next_page_token,
            },
        ))
    }

    async fn tasks(&self, client: &Client, run: &str, query: &BTreeMap<String, String>) -> Answer {
        let (most, from) = page(query)?;
        let from = u32::try_from(from).unwrap_or(u32::MAX);
        let (_, _, answer) = self.run(client, run, from, most).await?;
        let next = from.saturating_add(answer.steps.len() as u32);
        let task_logs = answer.steps.iter().map(task_log).collect();
        let next_page_token = if answer.more {
            next.to_string()
        } else {
            String::new()
        };
        Ok(json(
            200,
            &TaskList {
                task_logs,
                next_page_token,
            },
        ))
    }

    async fn task(&self, client: &Client, run: &str, task: &str) -> Answer {
        let parts = JobId::parse(task)
            .filter(is_step_job_id)
            .as_ref()
            .and_then(parse_job_id);
        let Some((_, step, _)) = parts.filter(|(r, ..)| r.to_string() == run) else {
            return refuse(404, "no such task");
        };
        let (_, _, answer) = self.run(client, run, step.0, 1).await?;
        match answer.steps.first().filter(|s| s.job == task) {
            Some(s) => Ok(json(200, &task_log(s))),
            None => refuse(404, "no such task"),
        }
    }
}

fn task_log(s: &StepInfo) -> TaskLog {
    TaskLog {
        id: if s.job.is_empty() {
            format!("step-{}", s.number)
        } else {
            s.job.clone()
        },
        name: s.path.clone(),
        cmd: Vec::new(),
        start_time: None,
        end_time: None,
        system_logs: vec![format!("{}, {} tasks", s.state, s.tasks)],
    }
}

/// `page_size` and `page_token`.
fn page(query: &BTreeMap<String, String>) -> Result<(u32, u64), Refused> {
    let number = |name: &str, default: u64| match query.get(name).filter(|t| !t.is_empty()) {
        None => Ok(default),
        Some(t) => t
            .parse()
            .map_err(|_| Refused::new(400, format!("{name}: a number is needed"))),
    };
    let most = number("page_size", u64::from(PAGE))?;
    if most == 0 {
        return refuse(400, "page_size: must be at least 1");
    }
    Ok((
        u32::try_from(most).unwrap_or(MOST_PAGE).min(MOST_PAGE),
        number("page_token", 0)?,
    ))
}
