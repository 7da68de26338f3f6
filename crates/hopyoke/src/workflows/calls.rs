//! Serves the RPCs by which clients submit, query, list, cancel and resume workflow runs. Any node that executes workflows
//! answers from the key-value store; a change is committed before it is acknowledged.

use crate::node::{Node, WorkflowExecution};
use crate::peers::client::proto::flow_request::Operation;
use crate::peers::client::proto::{
    FlowRequest, FlowResponse, ResumeRun, RunInfo, RunList, RunQuestion, StepInfo, SubmitRun,
};
use crate::store::client::TransactionOutcome;
use crate::store::error::StoreError;
use crate::store::keys::{
    WORKFLOW_END_PREFIX, WORKFLOW_HEAD_PREFIX, workflow_end_key, workflow_head_key,
    workflow_page_key, workflow_plan_key, workflow_plan_prefix,
};
use crate::store::watch::job_id_from_key;
use crate::workflows::records::{WorkflowRecord, read_head, read_plan, read_step_pages};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_scheduler::{JobRecord, unschedulable_reason};
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Head, OnError, Plan, PlanPage, RunId, RunState, StepNo, StepState, job_id, job_id_prefix,
    parse_job_id,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, info};

/// How long one call writes pages of a plan; the client repeats the call to continue.
const PLAN_WRITE_TIMEOUT: Micros = Micros::from_secs(12);
/// Size limit of the mutations of one transaction.
const MAX_TXN_BYTES: usize = 56 * 1024;
/// Maximum number of runs in one answer, and of records in one page read for it.
const MAX_LISTED_RUNS: u32 = 200;
/// Maximum number of steps in one answer.
const MAX_LISTED_STEPS: u32 = 2000;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// An answer with this status, as in HTTP, and this error text.
    #[error("{1}")]
    Rejected(u32, String),
    /// A request to the key-value store failed; answered with status 503.
    #[error("the key-value store did not answer: {0}")]
    Store(#[from] StoreError),
}

type CallResult<T = FlowResponse> = Result<T, CallError>;

/// Fails a call with a status and an error text.
fn reject<T>(status: u32, reason: impl Into<String>) -> CallResult<T> {
    Err(CallError::Rejected(status, reason.into()))
}

/// Serves one call.
pub(crate) async fn serve(node: &Rc<Node>, request: FlowRequest) -> FlowResponse {
    let Some(workflows) = &node.workflows else {
        return error_answer(
            501,
            "this node does not execute workflows: `flows` is off in its settings".into(),
        );
    };
    let answer = match request.operation {
        Some(Operation::Submit(request)) => submit(node, workflows, request).await,
        Some(Operation::Get(query)) => get(node, workflows, query).await,
        Some(Operation::List(request)) => list(node, workflows, request).await,
        Some(Operation::Cancel(query)) => cancel(node, query).await,
        Some(Operation::Resume(request)) => resume(node, workflows, request).await,
        None => reject(400, "the request is empty"),
    };
    match answer {
        Ok(answer) => answer,
        Err(CallError::Rejected(status, reason)) => error_answer(status, reason),
        Err(e @ CallError::Store(_)) => {
            debug!(error = %e, "call about workflow runs failed");
            error_answer(503, e.to_string())
        }
    }
}

/// Returns an answer with an error status; after a 503 the client is to retry after a second.
fn error_answer(status: u32, error: String) -> FlowResponse {
    let retry_after_s = if status == 503 { 1 } else { 0 };
    FlowResponse {
        status,
        error,
        retry_after_s,
        ..FlowResponse::default()
    }
}

/// Parses a run's id.
///
/// # Errors
/// Status 400 if it is out of range.
fn parse_run_id(number: u64) -> CallResult<RunId> {
    match RunId::new(number) {
        Some(run) if number > 0 => Ok(run),
        _ => reject(
            400,
            format!("{number} is not a valid run id: expected 1 to 999999999999"),
        ),
    }
}

/// Describes a run by its head. `in_flight` and `done` are numbers of steps as this node knows them.
fn run_info(head: &Head, run: RunId, in_flight: u32, done: u32) -> RunInfo {
    RunInfo {
        run: run.number(),
        name: head.name.clone(),
        team: head.team.clone(),
        owner: head.owner.clone(),
        state: state_name(head.state).to_owned(),
        submitted_us: head.submitted_us,
        ended_us: head.ended_us,
        steps: head.steps,
        done: head.done.max(done),
        in_flight,
        reason: head.reason.clone(),
        resumed_run: head.resumes.map_or(0, RunId::number),
        tags: head.tags.clone().into_iter().collect(),
    }
}

fn state_name(state: RunState) -> &'static str {
    match state {
        RunState::Running => "running",
        RunState::Failing => "failing",
        RunState::Cancelling => "cancelling",
        RunState::Done => "done",
        RunState::Failed => "failed",
        RunState::Cancelled => "cancelled",
    }
}

/// Returns an answer that holds one run.
fn run_answer(status: u32, info: RunInfo) -> FlowResponse {
    FlowResponse {
        status,
        runs: vec![info],
        ..FlowResponse::default()
    }
}

/// Submits a run. Idempotent: repeated with the same id, plan and owner, it returns the existing run.
async fn submit(node: &Rc<Node>, workflows: &WorkflowExecution, request: SubmitRun) -> CallResult {
    let run = parse_run_id(request.run)?;
    let plan: Plan = match serde_json::from_slice(&request.plan) {
        Ok(p) => p,
        Err(e) => return reject(400, format!("malformed plan: {e}")),
    };
    if let Err(e) = plan.check(&request.team) {
        return reject(422, e.to_string());
    }
    if request.name.len() > 400
        || request.owner.len() > 200
        || request.tags.iter().any(|(k, v)| k.len() + v.len() > 1000)
    {
        return reject(400, "name, owner or a tag is too long");
    }
    if let Some((head, _)) = read_head(node, run).await? {
        return if head.digest == plan.digest() && head.owner == request.owner {
            Ok(run_answer(200, run_info(&head, run, 0, 0)))
        } else {
            reject(409, format!("run id {run} is taken by another run"))
        };
    }
    check_schedulable(node, &plan)?;
    if workflows.engine.borrow().runs().count()
        >= workflows.engine.borrow().limits.max_owned_runs * node.peers.all().len().max(1) * 2
    {
        return reject(503, "too many unfinished runs");
    }
    let pages = match plan.pages(node.config.max_value_bytes) {
        Ok(p) => p,
        Err(e) => return reject(422, e.to_string()),
    };
    let on_error = if request.continue_on_error {
        OnError::Continue
    } else {
        OnError::Stop
    };
    let head = Head {
        on_error,
        tags: request.tags.into_iter().collect(),
        ..Head::new(
            &request.name,
            &request.team,
            &request.owner,
            &plan,
            pages.len() as u32,
            runtime::unix_time().0,
        )
    };
    if head.max_len() > node.config.max_value_bytes {
        return reject(400, "name, owner and tags together are too long");
    }
    write_plan(node, workflows, run, &pages).await?;
    create_run(node, run, head).await
}

/// Checks that some machine type and quota allow each step's job to run at all.
fn check_schedulable(node: &Node, plan: &Plan) -> CallResult<()> {
    let types = node.catalog.borrow();
    if types.is_empty() {
        return reject(503, "the machine types are not known yet");
    }
    for (i, step) in plan.steps.iter().enumerate() {
        let Some(spec) = plan.job_spec(StepNo(i as u32), JobId::new("req-0")) else {
            continue;
        };
        if let Some(reason) =
            unschedulable_reason(&spec, &types, &node.config.zones, &node.config.teams)
        {
            return reject(422, format!("step {}: {reason}", step.path));
        }
    }
    Ok(())
}

/// Writes a plan's pages within the rate limit on workflows' writes. Existing pages are kept, so that a repeated call
/// continues where the last one stopped.
///
/// # Errors
/// Status 409 if there are pages of another plan, and 503 if not all pages could be written in [`PLAN_WRITE_TIMEOUT`].
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn write_plan(
    node: &Node,
    workflows: &WorkflowExecution,
    run: RunId,
    pages: &[PlanPage],
) -> CallResult<()> {
    let write_until = runtime::now() + PLAN_WRITE_TIMEOUT;
    let existing = node
        .store
        .background()
        .list::<PlanPage>(&workflow_plan_prefix(run))
        .await?
        .pairs;
    let mut written = BTreeSet::new();
    for pair in existing {
        let number = pair
            .key
            .rsplit('/')
            .next()
            .and_then(|n| n.parse::<u32>().ok());
        match (number, pair.value) {
            (Some(n), Stored::Value(page)) if pages.get(n as usize) == Some(&page) => {
                written.insert(n)
            }
            _ => return reject(409, format!("run id {run} is taken by another run")),
        };
    }
    let missing: Vec<u32> = (0..pages.len() as u32)
        .filter(|n| !written.contains(n))
        .collect();
    let rate = workflows.engine.borrow().limits.max_writes_per_s.max(0.5);
    let page_bytes = node.config.max_value_bytes.max(1);
    let pages_per_txn = (MAX_TXN_BYTES / page_bytes).clamp(1, node.config.max_txn_ops.max(1));
    for chunk in missing.chunks(pages_per_txn) {
        let now = runtime::now();
        let write_at = workflows.next_plan_write_at.get().max(now);
        if write_at > write_until {
            return reject(
                503,
                format!(
                    "the plan is being written: {} of {} pages",
                    written.len(),
                    pages.len()
                ),
            );
        }
        workflows
            .next_plan_write_at
            .set(write_at + Micros::from_secs_f64(chunk.len() as f64 / rate));
        runtime::sleep_until(write_at).await;
        let compares = chunk
            .iter()
            .map(|n| Compare {
                key: workflow_plan_key(run, *n),
                mod_revision: ModRevision(0),
            })
            .collect();
        let mutations = chunk
            .iter()
            .map(|n| Mutation::Put {
                key: workflow_plan_key(run, *n),
                value: WorkflowRecord::Plan(pages[*n as usize].clone()),
                lease: None,
            })
            .collect();
        match node.store.background().txn(compares, mutations).await? {
            TransactionOutcome::Applied(_) => written.extend(chunk),
            // A delayed transaction of an earlier attempt may have written the same pages.
            TransactionOutcome::Failed(_) => {
                return reject(503, "pages of the plan were written concurrently");
            }
        }
    }
    Ok(())
}

/// Creates a run by writing its head, after which nodes may claim and execute it. If the head exists with the same plan and
/// owner, returns that run.
async fn create_run(node: &Node, run: RunId, head: Head) -> CallResult {
    let info = run_info(&head, run, 0, 0);
    let digest = head.digest;
    let compares = vec![
        Compare {
            key: workflow_head_key(run),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: workflow_end_key(run),
            mod_revision: ModRevision(0),
        },
    ];
    let mutation = Mutation::Put {
        key: workflow_head_key(run),
        value: WorkflowRecord::Head(Box::new(head)),
        lease: None,
    };
    match node
        .store
        .background()
        .txn(compares, vec![mutation])
        .await?
    {
        TransactionOutcome::Applied(_) => {
            info!(%run, name = info.name, team = info.team, steps = info.steps, "workflow run accepted");
            Ok(run_answer(201, info))
        }
        TransactionOutcome::Failed(_) => match read_head(node, run).await? {
            Some((head, _)) if head.digest == digest && head.owner == info.owner => {
                Ok(run_answer(200, run_info(&head, run, 0, 0)))
            }
            _ => reject(409, format!("run id {run} is taken by another run")),
        },
    }
}

/// Returns a run and, if the query asks for any, a page of its steps.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn get(node: &Node, workflows: &WorkflowExecution, query: RunQuestion) -> CallResult {
    let run = parse_run_id(query.run)?;
    let Some((head, _)) = read_head(node, run).await? else {
        return reject(404, "no such run");
    };
    let progress = workflows.engine.borrow().progress(run);
    if query.limit == 0 {
        let progress = progress.unwrap_or_default();
        return Ok(run_answer(
            200,
            run_info(&head, run, progress.in_flight, progress.done),
        ));
    }
    let pages = read_step_pages(node, run).await?;
    let Some(plan) = read_plan(node, run, &head).await? else {
        return reject(503, "the plan can't be read now");
    };
    let mut states = vec![(StepState::Open, 0); plan.steps.len()];
    for (page, _, value) in &pages {
        for (step, state, attempts) in value.decode(*page) {
            if let Some(entry) = states.get_mut(step.0 as usize) {
                *entry = (state, attempts);
            }
        }
    }
    let mut submitted = BTreeSet::new();
    if !head.state.is_final() {
        let jobs = node
            .store
            .background()
            .list::<JobRecord>(&format!("job/{}", job_id_prefix(run)))
            .await?
            .pairs;
        let step_jobs = jobs
            .iter()
            .filter(|p| matches!(&p.value, Stored::Value(record) if record.is_workflow_step));
        submitted
            .extend(step_jobs.filter_map(|p| Some(parse_job_id(&job_id_from_key(&p.key)?)?.1)));
    }
    let done = states.iter().filter(|s| s.0 == StepState::Done).count() as u32;
    let step_state_name = |step: StepNo, state: StepState| match state {
        StepState::Done => "done",
        StepState::Failed => "failed",
        StepState::Cancelled => "withdrawn",
        StepState::Skipped => "skipped",
        StepState::Open if submitted.contains(&step) => "submitted",
        StepState::Open => "waiting",
    };
    let max_steps = query.limit.min(MAX_LISTED_STEPS);
    let steps = (0..)
        .map(StepNo)
        .zip(plan.steps.iter().zip(&states))
        .skip(query.from as usize)
        .take(max_steps as usize);
    let steps: Vec<StepInfo> = steps
        .map(|(step_no, (step, (state, attempts)))| StepInfo {
            number: step_no.0,
            path: step.path.clone(),
            tasks: step.tasks,
            state: step_state_name(step_no, *state).to_owned(),
            job: step.job_template.map_or(String::new(), |_| {
                job_id(run, step_no, *attempts).to_string()
            }),
        })
        .collect();
    let more = (query.from as usize).saturating_add(steps.len()) < plan.steps.len();
    let outputs = if head.state == RunState::Done {
        plan.outputs.clone()
    } else {
        String::new()
    };
    let info = run_info(&head, run, submitted.len() as u32, done);
    Ok(FlowResponse {
        steps,
        more,
        outputs,
        ..run_answer(200, info)
    })
}

/// Lists runs in the order of their ids, unfinished and finished ones merged.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn list(node: &Node, workflows: &WorkflowExecution, request: RunList) -> CallResult {
    let max_runs = request.limit.clamp(1, MAX_LISTED_RUNS) as usize;
    let mut after = RunId::wrapping_new(request.after);
    let mut runs = Vec::new();
    // An owner's runs may be sparse among all runs, so one call reads a bounded number of pages.
    for _ in 0..8 {
        let mut found: Vec<(RunId, Head)> = Vec::new();
        let mut limit = None;
        let mut more = false;
        for prefix in [WORKFLOW_HEAD_PREFIX, WORKFLOW_END_PREFIX] {
            let since = format!("{prefix}{after}");
            let page = node
                .store
                .background()
                .read_page::<Head>(prefix, Some(&since), MAX_LISTED_RUNS)
                .await?;
            let last = page
                .pairs
                .last()
                .and_then(|p| RunId::parse(p.key.strip_prefix(prefix)?));
            if page.more {
                // The merge is complete only up to the end of this page, past which this list has runs that were not read.
                more = true;
                limit = match (limit, last) {
                    (None, last) => last,
                    (Some(a), Some(b)) => Some(std::cmp::min::<RunId>(a, b)),
                    (a, None) => a,
                };
            }
            for p in page.pairs {
                if let (Some(run), Stored::Value(head)) =
                    (p.key.strip_prefix(prefix).and_then(RunId::parse), p.value)
                {
                    found.push((run, head));
                }
            }
        }
        found.retain(|(run, _)| limit.is_none_or(|last| *run <= last));
        // A run that ended between the two reads is in both lists: its final head is kept.
        found.sort_by_key(|(run, head)| (*run, !head.state.is_final()));
        found.dedup_by_key(|(run, _)| *run);
        for (run, head) in found {
            after = run;
            if !request.owner.is_empty() && head.owner != request.owner {
                continue;
            }
            if runs.len() == max_runs {
                return Ok(FlowResponse {
                    status: 200,
                    runs,
                    more: true,
                    ..FlowResponse::default()
                });
            }
            let progress = workflows.engine.borrow().progress(run).unwrap_or_default();
            runs.push(run_info(&head, run, progress.in_flight, progress.done));
        }
        if !more {
            return Ok(FlowResponse {
                status: 200,
                runs,
                ..FlowResponse::default()
            });
        }
        after = limit.unwrap_or(after);
    }
    Ok(FlowResponse {
        status: 200,
        runs,
        more: true,
        ..FlowResponse::default()
    })
}

/// Cancels a run. Once its head is changed no step of it starts, since submissions are conditional on the head.
async fn cancel(node: &Node, query: RunQuestion) -> CallResult {
    let run = parse_run_id(query.run)?;
    for _ in 0..4 {
        let Some((head, mod_revision)) = read_head(node, run).await? else {
            return reject(404, "no such run");
        };
        if head.state.is_final() || head.state == RunState::Cancelling {
            return Ok(run_answer(200, run_info(&head, run, 0, 0)));
        }
        let head = Head {
            state: RunState::Cancelling,
            ..head
        };
        let mutation = Mutation::Put {
            key: workflow_head_key(run),
            value: WorkflowRecord::Head(Box::new(head.clone())),
            lease: None,
        };
        match node
            .store
            .background()
            .txn(
                vec![Compare {
                    key: workflow_head_key(run),
                    mod_revision,
                }],
                vec![mutation],
            )
            .await?
        {
            TransactionOutcome::Applied(_) => {
                info!(%run, "workflow run cancelled");
                return Ok(run_answer(200, run_info(&head, run, 0, 0)));
            }
            // The node that executes the run changed its head concurrently.
            TransactionOutcome::Failed(_) => {}
        }
    }
    reject(503, "the run's record keeps changing")
}

/// Creates a new run that continues a failed or cancelled one: it has the same plan, and the steps that were done stay done.
/// The old run is left as it is.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn resume(node: &Node, workflows: &WorkflowExecution, request: ResumeRun) -> CallResult {
    let (old_run, run) = (parse_run_id(request.run)?, parse_run_id(request.new_run)?);
    let Some((head, _)) = read_head(node, old_run).await? else {
        return reject(404, "no such run");
    };
    if !request.owner.is_empty() && request.owner != head.owner {
        return reject(404, "no such run");
    }
    if !matches!(head.state, RunState::Failed | RunState::Cancelled) {
        return reject(
            409,
            format!(
                "run {old_run} is {}; only failed or cancelled runs can be resumed",
                state_name(head.state)
            ),
        );
    }
    let new_head = Head {
        state: RunState::Running,
        submitted_us: runtime::unix_time().0,
        ended_us: 0,
        reason: String::new(),
        done: 0,
        resumes: Some(old_run),
        plan_source: Some(head.plan_source.unwrap_or(old_run)),
        ..head
    };
    if let Some((existing, _)) = read_head(node, run).await? {
        return if existing.resumes == Some(old_run) {
            Ok(run_answer(200, run_info(&existing, run, 0, 0)))
        } else {
            reject(409, format!("run id {run} is taken by another run"))
        };
    }
    // The states of done steps are copied before the new run's head is written, from which on it is executed.
    let rate = workflows.engine.borrow().limits.max_writes_per_s.max(0.5);
    for (page, _, value) in read_step_pages(node, old_run).await? {
        let key = workflow_page_key(run, page);
        let mutation = Mutation::Put {
            key: key.clone(),
            value: WorkflowRecord::Page(value.for_resumed_run()),
            lease: None,
        };
        let compares = vec![
            Compare {
                key: workflow_head_key(run),
                mod_revision: ModRevision(0),
            },
            Compare {
                key: workflow_end_key(run),
                mod_revision: ModRevision(0),
            },
        ];
        if let TransactionOutcome::Failed(_) = node
            .store
            .background()
            .txn(compares, vec![mutation])
            .await?
        {
            return reject(503, "the run was created concurrently");
        }
        runtime::sleep(Micros::from_secs_f64(1.0 / rate)).await;
    }
    create_run(node, run, new_head).await
}
