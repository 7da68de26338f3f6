//! HTTP server of the GA4GH Workflow Execution Service 1.1.

use crate::access::{AuthError, Authenticator};
use crate::calls::{ApiError, Controllers};
use crate::compile::{CompileError, CompilePool, CompileRequest};
use crate::config::{Client, Config};
use crate::publish;
use crate::upload::{self, Form};
use crate::wire::{
    BASE_PATH, ErrorResponse, Log, Organization, Progress, RunIdResponse, RunList, RunLog,
    RunRequest, RunStatus, RunSummary, ServiceInfo, ServiceType, State, TaskList, TaskLog,
    TypeVersions, format_timestamp,
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

/// Maximum size of a submission, including all attachments.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Longest time that a request waits for the controllers.
const CONTROLLER_TIMEOUT: Micros = Micros::from_secs(15);
const DEFAULT_PAGE_SIZE: u32 = 100;
const MAX_PAGE_SIZE: u32 = 200;

/// Handles the requests of all clients.
pub struct Server {
    config: Config,
    authenticator: Authenticator,
    controllers: Controllers,
    compile_pool: CompilePool,
}

type HandlerResult = Result<Response, ApiError>;

fn json_response<T: Serialize>(status: u16, body: &T) -> Response {
    Response::with_body(
        status,
        "application/json",
        serde_json::to_vec(body).unwrap_or_default(),
    )
}

fn error_response(r: &ApiError) -> Response {
    let response = json_response(
        r.status,
        &ErrorResponse {
            msg: r.message.clone(),
            status_code: r.status,
        },
    );
    match r.retry_after_s {
        Some(s) => response.retry_after(s),
        None => response,
    }
}

fn reject<T>(status: u16, message: impl Into<String>) -> Result<T, ApiError> {
    Err(ApiError::new(status, message))
}

/// Splits a request target into the decoded path segments after [`BASE_PATH`] and the query parameters.
/// Returns `None` for any other path.
fn parse_target(path: &str) -> Option<(Vec<String>, BTreeMap<String, String>)> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let decode = |s: &str| {
        percent_encoding::percent_decode_str(s)
            .decode_utf8_lossy()
            .into_owned()
    };
    let rest = path.strip_prefix(BASE_PATH)?;
    let segments = rest
        .split('/')
        .filter(|p| !p.is_empty())
        .map(decode)
        .collect();
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    Some((
        segments,
        pairs.map(|(k, v)| (decode(k), decode(v))).collect(),
    ))
}

impl Server {
    pub fn new(config: Config) -> Server {
        Server {
            authenticator: Authenticator::new(&config.clients),
            controllers: Controllers::new(config.controllers.clone()),
            compile_pool: CompilePool::new(config.compile_threads),
            config,
        }
    }

    /// Serves requests until cancelled. Calls `on_ready` with the bound address once the socket listens.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub async fn serve(
        self,
        cancel: CancellationToken,
        on_ready: impl FnOnce(SocketAddr),
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.config.listen)?;
        on_ready(listener.local_addr()?);
        let limits = ServerLimits {
            max_connections: self.config.max_connections,
            max_persistent_connections: self.config.max_connections / 2,
            idle_timeout: Micros::from_secs(60),
            request_timeout: Micros::from_secs(20),
            max_body_bytes: MAX_BODY_BYTES,
        };
        let server = Rc::new(self);
        let handler = Rc::new(move |request: Request| {
            let server = server.clone();
            Box::pin(async move { server.handle(request).await }) as _
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

    async fn handle(&self, request: Request) -> Response {
        let method = request.method;
        let path = request.path.clone();
        let response = match self.route(request).await {
            Ok(r) => r,
            Err(r) => error_response(&r),
        };
        info!(
            method = method.as_str(),
            path,
            status = response.status,
            "request handled"
        );
        response
    }

    async fn route(&self, request: Request) -> HandlerResult {
        let Some((segments, query)) = parse_target(&request.path) else {
            return reject(404, "no such path");
        };
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        if let (Method::Get, ["service-info"]) = (request.method, segments.as_slice()) {
            return Ok(json_response(200, &self.service_info()));
        }
        let client = match self
            .authenticator
            .authenticate(request.authorization.as_deref())
        {
            Ok(c) => c.clone(),
            Err(e @ (AuthError::MissingToken | AuthError::UnknownToken)) => {
                return reject(401, e.to_string());
            }
        };
        match (request.method, segments.as_slice()) {
            (Method::Get, ["runs"]) => self.list(&client, &query).await,
            (Method::Post, ["runs"]) => self.submit(&client, request).await,
            (Method::Get, ["runs", run]) => self.log(&client, run).await,
            (Method::Get, ["runs", run, "status"]) => self.status(&client, run).await,
            (Method::Post, ["runs", run, "cancel"]) => self.cancel(&client, run).await,
            (Method::Post, ["runs", run, "resume"]) => self.resume(&client, run).await,
            (Method::Get, ["runs", run, "tasks"]) => self.tasks(&client, run, &query).await,
            (Method::Get, ["runs", run, "tasks", task]) => self.task(&client, run, task).await,
            (_, ["runs"] | ["runs", _] | ["runs", _, "status" | "cancel" | "resume" | "tasks"]) => {
                reject(405, "method not allowed")
            }
            _ => reject(404, "no such path"),
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

    async fn submit(&self, client: &Client, request: Request) -> HandlerResult {
        let form = match upload::parse(request.content_type.as_deref(), request.body).await {
            Ok(f) => f,
            Err(e) => return reject(400, e),
        };
        let Form { fields, files } = form;
        let field = |name: &str| fields.get(name).map(String::as_str);
        match (field("workflow_type"), field("workflow_type_version")) {
            (Some("CWL"), Some("v1.2")) => {}
            (Some("CWL"), Some(v)) => {
                return reject(400, format!("workflow_type_version: '{v}' is not v1.2"));
            }
            (Some(t), _) if t != "CWL" => {
                return reject(400, format!("workflow_type: '{t}' is not CWL"));
            }
            _ => {
                return reject(
                    400,
                    "workflow_type and workflow_type_version are required: CWL and v1.2",
                );
            }
        }
        let Some(url) = field("workflow_url").filter(|u| !u.is_empty()) else {
            return reject(400, "workflow_url is required: the name of an attachment");
        };
        let tags: BTreeMap<String, String> =
            match serde_json::from_str(field("tags").unwrap_or("{}")) {
                Ok(t) => t,
                Err(e) => return reject(400, format!("tags: expected a map of strings: {e}")),
            };
        let params: BTreeMap<String, Value> =
            match serde_json::from_str(field("workflow_engine_parameters").unwrap_or("{}")) {
                Ok(p) => p,
                Err(e) => {
                    return reject(
                        400,
                        format!("workflow_engine_parameters: expected a map: {e}"),
                    );
                }
            };
        let param = |name: &str| params.get(name).and_then(Value::as_str).map(str::to_owned);
        if let Some(k) = params
            .keys()
            .find(|k| !matches!(k.as_str(), "team" | "class" | "on_error" | "key"))
        {
            return reject(
                400,
                format!(
                    "workflow_engine_parameters: unknown '{k}'; supported are team, class, on_error and key"
                ),
            );
        }
        let continue_on_error = match param("on_error").as_deref() {
            None | Some("stop") => false,
            Some("continue") => true,
            Some(other) => {
                return reject(400, format!("on_error: '{other}' must be stop or continue"));
            }
        };
        // Makes submissions idempotent: the same client and key map to the same run.
        let run = match param("key") {
            Some(key) => {
                let text = format!("{}/{key}", client.name);
                RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
            }
            None => RunId::wrapping_new(rand::random()),
        };
        let compile_request = CompileRequest {
            run,
            document: url.to_owned(),
            inputs: field("workflow_params").unwrap_or("{}").to_owned(),
            team: param("team"),
            fallback_team: client.teams.first().cloned(),
            class: param("class"),
            image: self.config.default_image.clone(),
        };
        let compiled = match self.compile_pool.compile(files, compile_request).await {
            Ok(c) => c,
            Err(e @ (CompileError::Busy | CompileError::Timeout)) => {
                return reject(503, e.to_string());
            }
            Err(CompileError::Invalid(f)) => return reject(400, f.to_string()),
        };
        if !client.teams.contains(&compiled.team) {
            return reject(
                403,
                format!(
                    "client {} may not submit for team {}",
                    client.name, compiled.team
                ),
            );
        }
        if let Some(dir) = &self.config.descriptions_dir
            && let Err(e) = publish::publish(dir, run, &compiled.tasks)
        {
            warn!(error = %e, "failed to write task descriptions");
            return reject(503, "task descriptions cannot be written at present");
        }
        let operation = Operation::Submit(SubmitRun {
            run: run.number(),
            name: url.to_owned(),
            team: compiled.team,
            owner: client.name.clone(),
            continue_on_error,
            tags: tags.into_iter().collect(),
            plan: compiled.plan,
        });
        self.controllers.call(operation, CONTROLLER_TIMEOUT).await?;
        Ok(json_response(
            200,
            &RunIdResponse {
                run_id: run.to_string(),
            },
        ))
    }

    /// Returns a run of `client` with at most `limit` steps, starting at step `from`.
    ///
    /// # Errors
    /// Returns status 404 both for an unknown run and for a run of another client, so that a client cannot
    /// probe for runs of others.
    async fn find_run(
        &self,
        client: &Client,
        run: &str,
        from: u32,
        limit: u32,
    ) -> Result<(RunId, RunInfo, proto::FlowResponse), ApiError> {
        let Some(id) = RunId::parse(run).filter(|r| r.number() > 0) else {
            return reject(404, "no such run");
        };
        let query = RunQuestion {
            run: id.number(),
            from,
            limit,
        };
        let mut response = self
            .controllers
            .call(Operation::Get(query), CONTROLLER_TIMEOUT)
            .await?;
        match response.runs.pop() {
            Some(info) if info.owner == client.name => Ok((id, info, response)),
            _ => reject(404, "no such run"),
        }
    }

    async fn status(&self, client: &Client, run: &str) -> HandlerResult {
        let (id, info, _) = self.find_run(client, run, 0, 0).await?;
        let progress = Some(Progress::from_info(&info));
        Ok(json_response(
            200,
            &RunStatus {
                run_id: id.to_string(),
                state: State::from_info(&info),
                progress,
            },
        ))
    }

    async fn log(&self, client: &Client, run: &str) -> HandlerResult {
        let (id, info, response) = self.find_run(client, run, 0, 1).await?;
        let outputs = serde_json::from_str(&response.outputs)
            .unwrap_or_else(|_| Value::Object(Default::default()));
        let system_logs = if info.reason.is_empty() {
            Vec::new()
        } else {
            vec![info.reason.clone()]
        };
        Ok(json_response(
            200,
            &RunLog {
                run_id: id.to_string(),
                state: State::from_info(&info),
                request: RunRequest {
                    workflow_type: "CWL".into(),
                    workflow_type_version: "v1.2".into(),
                    workflow_url: info.name.clone(),
                    tags: info.tags.clone().into_iter().collect(),
                    ..RunRequest::default()
                },
                run_log: Log {
                    name: info.name.clone(),
                    start_time: format_timestamp(info.submitted_us),
                    end_time: format_timestamp(info.ended_us),
                    system_logs,
                    ..Log::default()
                },
                task_logs_url: format!("{BASE_PATH}/runs/{id}/tasks"),
                outputs,
            },
        ))
    }

    async fn cancel(&self, client: &Client, run: &str) -> HandlerResult {
        let (id, _, _) = self.find_run(client, run, 0, 0).await?;
        let query = RunQuestion {
            run: id.number(),
            ..RunQuestion::default()
        };
        self.controllers
            .call(Operation::Cancel(query), CONTROLLER_TIMEOUT)
            .await?;
        Ok(json_response(
            200,
            &RunIdResponse {
                run_id: id.to_string(),
            },
        ))
    }

    /// Starts a new run that reuses the completed steps of a failed or cancelled one. Extends the published
    /// API.
    async fn resume(&self, client: &Client, run: &str) -> HandlerResult {
        let (old, _, _) = self.find_run(client, run, 0, 0).await?;
        // Derived from the old run, so that a repeated request resumes it only once.
        let new = RunId::wrapping_new(xxhash_rust::xxh3::xxh3_64(
            format!("{}/resume/{old}", client.name).as_bytes(),
        ));
        if let Some(dir) = &self.config.descriptions_dir
            && let Err(e) = publish::copy_for_resume(dir, old, new)
        {
            warn!(error = %e, "failed to copy task descriptions");
            return reject(503, "task descriptions cannot be written at present");
        }
        let resume = proto::ResumeRun {
            run: old.number(),
            new_run: new.number(),
            owner: client.name.clone(),
        };
        self.controllers
            .call(Operation::Resume(resume), CONTROLLER_TIMEOUT)
            .await?;
        Ok(json_response(
            200,
            &RunIdResponse {
                run_id: new.to_string(),
            },
        ))
    }

    async fn list(&self, client: &Client, query: &BTreeMap<String, String>) -> HandlerResult {
        let (limit, after) = parse_page(query)?;
        let operation = Operation::List(proto::RunList {
            after,
            limit,
            owner: client.name.clone(),
        });
        let response = self.controllers.call(operation, CONTROLLER_TIMEOUT).await?;
        let last = response.runs.last().map_or(after, |r| r.run);
        let runs = response
            .runs
            .iter()
            .map(|info| RunSummary {
                run_id: RunId::wrapping_new(info.run).to_string(),
                state: State::from_info(info),
                start_time: format_timestamp(info.submitted_us),
                end_time: format_timestamp(info.ended_us),
                tags: info.tags.clone().into_iter().collect(),
            })
            .collect();
        let next_page_token = if response.more {
            last.to_string()
        } else {
            String::new()
        };
        Ok(json_response(
            200,
            &RunList {
                runs,
                next_page_token,
            },
        ))
    }

    async fn tasks(
        &self,
        client: &Client,
        run: &str,
        query: &BTreeMap<String, String>,
    ) -> HandlerResult {
        let (limit, from) = parse_page(query)?;
        let from = u32::try_from(from).unwrap_or(u32::MAX);
        let (_, _, response) = self.find_run(client, run, from, limit).await?;
        let next = from.saturating_add(response.steps.len() as u32);
        let task_logs = response.steps.iter().map(task_log).collect();
        let next_page_token = if response.more {
            next.to_string()
        } else {
            String::new()
        };
        Ok(json_response(
            200,
            &TaskList {
                task_logs,
                next_page_token,
            },
        ))
    }

    async fn task(&self, client: &Client, run: &str, task: &str) -> HandlerResult {
        let ids = JobId::parse(task)
            .filter(is_step_job_id)
            .as_ref()
            .and_then(parse_job_id);
        let Some((_, step, _)) = ids.filter(|(r, ..)| r.to_string() == run) else {
            return reject(404, "no such task");
        };
        let (_, _, response) = self.find_run(client, run, step.0, 1).await?;
        match response.steps.first().filter(|s| s.job == task) {
            Some(s) => Ok(json_response(200, &task_log(s))),
            None => reject(404, "no such task"),
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

/// Returns the `page_size`, limited to [`MAX_PAGE_SIZE`], and the `page_token` of a query.
fn parse_page(query: &BTreeMap<String, String>) -> Result<(u32, u64), ApiError> {
    let number = |name: &str, default: u64| match query.get(name).filter(|t| !t.is_empty()) {
        None => Ok(default),
        Some(t) => t
            .parse()
            .map_err(|_| ApiError::new(400, format!("{name}: expected a number"))),
    };
    let limit = number("page_size", u64::from(DEFAULT_PAGE_SIZE))?;
    if limit == 0 {
        return reject(400, "page_size: must be at least 1");
    }
    Ok((
        u32::try_from(limit)
            .unwrap_or(MAX_PAGE_SIZE)
            .min(MAX_PAGE_SIZE),
        number("page_token", 0)?,
    ))
}
