//! Clients' calls about runs of workflows. Any node answers, from the state service; what it was
//! told is written before it is answered.

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
use crate::workflows::records::{Value, head_of, pages_of, plan_of};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, Mutation, Stored};
use hopyoke_scheduler::{JobRecord, unschedulable_reason};
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Head, OnError, Plan, PlanPage, RunId, RunState, StepNo, StepState, job_id, job_prefix, parts_of,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, info};

/// One call writes pages for so long; a repeated one goes on from there.
const WRITING: Micros = Micros::from_secs(12);
/// Bytes of a transaction's changes.
const MOST_TXN: usize = 56 * 1024;
const MOST_LISTED: u32 = 200;
const MOST_STEPS_TOLD: u32 = 2000;

/// Why a call is not answered with what it asked for.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("{1}")]
    Status(u32, String),
    #[error("the state service did not answer: {0}")]
    State(#[from] StoreError),
}

type Answer<T = FlowResponse> = Result<T, Refusal>;

fn refuse<T>(status: u32, why: impl Into<String>) -> Answer<T> {
    Err(Refusal::Status(status, why.into()))
}

pub(crate) async fn answer(node: &Rc<Node>, request: FlowRequest) -> FlowResponse {
    let Some(flows) = &node.workflows else {
        return failed(
            501,
            "this node takes no runs: `flows` is off in its settings".into(),
        );
    };
    let answer = match request.operation {
        Some(Operation::Submit(r)) => submit(node, flows, r).await,
        Some(Operation::Get(q)) => get(node, flows, q).await,
        Some(Operation::List(l)) => list(node, flows, l).await,
        Some(Operation::Cancel(q)) => cancel(node, q).await,
        Some(Operation::Resume(r)) => resume(node, flows, r).await,
        None => refuse(400, "nothing is asked"),
    };
    match answer {
        Ok(a) => a,
        Err(Refusal::Status(status, why)) => failed(status, why),
        Err(e @ Refusal::State(_)) => {
            debug!(error = %e, "call about runs not answered");
            failed(503, e.to_string())
        }
    }
}

fn failed(status: u32, error: String) -> FlowResponse {
    let retry_after_s = if status == 503 { 1 } else { 0 };
    FlowResponse {
        status,
        error,
        retry_after_s,
        ..FlowResponse::default()
    }
}

fn run_id(number: u64) -> Answer<RunId> {
    match RunId::new(number) {
        Some(run) if number > 0 => Ok(run),
        _ => refuse(400, format!("{number} is no run's id: 1 to 999999999999")),
    }
}

fn told(head: &Head, run: RunId, in_flight: u32, done: u32) -> RunInfo {
    RunInfo {
        run: run.number(),
        name: head.name.clone(),
        team: head.team.clone(),
        owner: head.owner.clone(),
        state: state_word(head.state).to_owned(),
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

fn state_word(state: RunState) -> &'static str {
    match state {
        RunState::Running => "running",
        RunState::Failing => "failing",
        RunState::Cancelling => "cancelling",
        RunState::Done => "done",
        RunState::Failed => "failed",
        RunState::Cancelled => "cancelled",
    }
}

fn one(status: u32, info: RunInfo) -> FlowResponse {
    FlowResponse {
        status,
        runs: vec![info],
        ..FlowResponse::default()
    }
}

async fn submit(node: &Rc<Node>, flows: &WorkflowExecution, r: SubmitRun) -> Answer {
    let run = run_id(r.run)?;
    let plan: Plan = match serde_json::from_slice(&r.plan) {
        Ok(p) => p,
        Err(e) => return refuse(400, format!("the plan can't be read: {e}")),
    };
    if let Err(e) = plan.check(&r.team) {
        return refuse(422, e.to_string());
    }
    if r.name.len() > 400
        || r.owner.len() > 200
        || r.tags.iter().any(|(k, v)| k.len() + v.len() > 1000)
    {
        return refuse(400, "name, owner or a tag is too long");
    }
    if let Some((head, _)) = head_of(node, run).await? {
        return if head.digest == plan.digest() && head.owner == r.owner {
            Ok(one(200, told(&head, run, 0, 0)))
        } else {
            refuse(409, format!("run {run} is another one"))
        };
    }
    possible(node, &plan)?;
    if flows.engine.borrow().runs().count()
        >= flows.engine.borrow().limits.max_owned_runs * node.peers.all().len().max(1) * 2
    {
        return refuse(503, "too many runs are waiting");
    }
    let pages = match plan.pages(node.config.value_bytes) {
        Ok(p) => p,
        Err(e) => return refuse(422, e.to_string()),
    };
    let on_error = if r.continue_on_error {
        OnError::Continue
    } else {
        OnError::Stop
    };
    let head = Head {
        on_error,
        tags: r.tags.into_iter().collect(),
        ..Head::new(
            &r.name,
            &r.team,
            &r.owner,
            &plan,
            pages.len() as u32,
            runtime::time_of_day().0,
        )
    };
    if serde_json::to_string(&head).map_or(usize::MAX, |t| t.len()) > node.config.value_bytes {
        return refuse(400, "name, owner and tags are too long together");
    }
    write_plan(node, flows, run, &pages).await?;
    begin(node, run, head).await
}

/// Every job could run at all.
fn possible(node: &Node, plan: &Plan) -> Answer<()> {
    let types = node.catalog.borrow();
    if types.is_empty() {
        return refuse(503, "the machine types are not known yet");
    }
    for (i, step) in plan.steps.iter().enumerate() {
        let Some(spec) = plan.spec(StepNo(i as u32), JobId::new("req-0")) else {
            continue;
        };
        if let Some(why) =
            unschedulable_reason(&spec, &types, &node.config.zones, &node.config.teams)
        {
            return refuse(422, format!("step {}: {why}", step.path));
        }
    }
    Ok(())
}

/// Writes a plan's pages, at the pace that runs may take. Pages that are there already are left: so
/// a repeated call goes on from where the last one stopped.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn write_plan(
    node: &Node,
    flows: &WorkflowExecution,
    run: RunId,
    pages: &[PlanPage],
) -> Answer<()> {
    let until = runtime::now() + WRITING;
    let there = node
        .store
        .background()
        .list::<PlanPage>(&workflow_plan_prefix(run))
        .await?
        .pairs;
    let mut known = BTreeSet::new();
    for p in there {
        let number = p.key.rsplit('/').next().and_then(|n| n.parse::<u32>().ok());
        match (number, p.value) {
            (Some(n), Stored::Value(page)) if pages.get(n as usize) == Some(&page) => {
                known.insert(n)
            }
            _ => return refuse(409, format!("run {run} is another one")),
        };
    }
    let missing: Vec<u32> = (0..pages.len() as u32)
        .filter(|n| !known.contains(n))
        .collect();
    let rate = flows.engine.borrow().limits.max_writes_per_s.max(0.5);
    let value = node.config.value_bytes.max(1);
    let at_once = (MOST_TXN / value).clamp(1, node.config.txn_ops.max(1));
    for chunk in missing.chunks(at_once) {
        let now = runtime::now();
        let from = flows.next_plan_write_at.get().max(now);
        if from > until {
            return refuse(
                503,
                format!(
                    "the plan is being written: {} of {} pages",
                    known.len(),
                    pages.len()
                ),
            );
        }
        flows
            .next_plan_write_at
            .set(from + Micros::from_secs_f64(chunk.len() as f64 / rate));
        runtime::sleep_until(from).await;
        let conditions = chunk
            .iter()
            .map(|n| Compare {
                key: workflow_plan_key(run, *n),
                mod_revision: ModRevision(0),
            })
            .collect();
        let changes = chunk
            .iter()
            .map(|n| Mutation::Put {
                key: workflow_plan_key(run, *n),
                value: Value::Plan(pages[*n as usize].clone()),
                lease: None,
            })
            .collect();
        match node.store.background().txn(conditions, changes).await? {
            TransactionOutcome::Applied(_) => known.extend(chunk),
            // An earlier try of this call may have been executed late.
            TransactionOutcome::Failed(_) => {
                return refuse(503, "the plan's pages changed meanwhile");
            }
        }
    }
    Ok(())
}

/// Writes a run's head, from which on it runs.
async fn begin(node: &Node, run: RunId, head: Head) -> Answer {
    let info = told(&head, run, 0, 0);
    let digest = head.digest;
    let conditions = vec![
        Compare {
            key: workflow_head_key(run),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: workflow_end_key(run),
            mod_revision: ModRevision(0),
        },
    ];
    let change = Mutation::Put {
        key: workflow_head_key(run),
        value: Value::Head(Box::new(head)),
        lease: None,
    };
    match node
        .store
        .background()
        .txn(conditions, vec![change])
        .await?
    {
        TransactionOutcome::Applied(_) => {
            info!(%run, name = info.name, team = info.team, steps = info.steps, "run accepted");
            Ok(one(201, info))
        }
        TransactionOutcome::Failed(_) => match head_of(node, run).await? {
            Some((head, _)) if head.digest == digest && head.owner == info.owner => {
                Ok(one(200, told(&head, run, 0, 0)))
            }
            _ => refuse(409, format!("run {run} is another one")),
        },
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn get(node: &Node, flows: &WorkflowExecution, q: RunQuestion) -> Answer {
    let run = run_id(q.run)?;
    let Some((head, _)) = head_of(node, run).await? else {
        return refuse(404, "no such run");
    };
    let carried = flows.engine.borrow().progress(run);
    if q.limit == 0 {
        let p = carried.unwrap_or_default();
        return Ok(one(200, told(&head, run, p.in_flight, p.done)));
    }
    let pages = pages_of(node, run).await?;
    let Some(plan) = plan_of(node, run, &head).await? else {
        return refuse(503, "the plan can't be read now");
    };
    let mut marks = vec![(StepState::Open, 0); plan.steps.len()];
    for (page, _, value) in &pages {
        for (step, mod_revision, tries) in value.read(*page) {
            if let Some(m) = marks.get_mut(step.0 as usize) {
                *m = (mod_revision, tries);
            }
        }
    }
    let mut submitted = BTreeSet::new();
    if !head.state.is_final() {
        let jobs = node
            .store
            .background()
            .list::<JobRecord>(&format!("job/{}", job_prefix(run)))
            .await?
            .pairs;
        let ours = jobs
            .iter()
            .filter(|p| matches!(&p.value, Stored::Value(r) if r.is_workflow_step));
        submitted.extend(ours.filter_map(|p| Some(parts_of(&job_id_from_key(&p.key)?)?.1)));
    }
    let done = marks.iter().filter(|m| m.0 == StepState::Done).count() as u32;
    let word = |step: StepNo, mod_revision: StepState| match mod_revision {
        StepState::Done => "done",
        StepState::Failed => "failed",
        StepState::Cancelled => "withdrawn",
        StepState::Skipped => "skipped",
        StepState::Open if submitted.contains(&step) => "submitted",
        StepState::Open => "waiting",
    };
    let most = q.limit.min(MOST_STEPS_TOLD);
    let steps = (0..)
        .map(StepNo)
        .zip(plan.steps.iter().zip(&marks))
        .skip(q.from as usize)
        .take(most as usize);
    let steps: Vec<StepInfo> = steps
        .map(|(no, (step, (mod_revision, tries)))| StepInfo {
            number: no.0,
            path: step.path.clone(),
            tasks: step.tasks,
            state: word(no, *mod_revision).to_owned(),
            job: step
                .shape
                .map_or(String::new(), |_| job_id(run, no, *tries).to_string()),
        })
        .collect();
    let more = (q.from as usize).saturating_add(steps.len()) < plan.steps.len();
    let outputs = if head.state == RunState::Done {
        plan.outputs.clone()
    } else {
        String::new()
    };
    let info = told(&head, run, submitted.len() as u32, done);
    Ok(FlowResponse {
        steps,
        more,
        outputs,
        ..one(200, info)
    })
}

/// Runs by id: unfinished and ended ones together.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn list(node: &Node, flows: &WorkflowExecution, l: RunList) -> Answer {
    let most = l.limit.clamp(1, MOST_LISTED) as usize;
    let mut after = RunId::folded(l.after);
    let mut runs = Vec::new();
    // Owners' runs may lie far apart: one call reads a bounded number of pages.
    for _ in 0..8 {
        let mut found: Vec<(RunId, Head)> = Vec::new();
        let mut limit = None;
        let mut more = false;
        for prefix in [WORKFLOW_HEAD_PREFIX, WORKFLOW_END_PREFIX] {
            let since = format!("{prefix}{after}");
            let page = node
                .store
                .background()
                .read_page::<Head>(prefix, Some(&since), MOST_LISTED)
                .await?;
            let last = page
                .pairs
                .last()
                .and_then(|p| RunId::parse(p.key.strip_prefix(prefix)?));
            if page.more {
                // Beyond this one the other list may have runs that this page does not reach.
                more = true;
                limit = match (limit, last) {
                    (None, l) => l,
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
        found.retain(|(run, _)| limit.is_none_or(|l| *run <= l));
        // A run that ended between the two reads is in both.
        found.sort_by_key(|(run, head)| (*run, !head.state.is_final()));
        found.dedup_by_key(|(run, _)| *run);
        for (run, head) in found {
            after = run;
            if !l.owner.is_empty() && head.owner != l.owner {
                continue;
            }
            if runs.len() == most {
                return Ok(FlowResponse {
                    status: 200,
                    runs,
                    more: true,
                    ..FlowResponse::default()
                });
            }
            let p = flows.engine.borrow().progress(run).unwrap_or_default();
            runs.push(told(&head, run, p.in_flight, p.done));
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

/// Cancels a run: once that is written, no step of it starts.
async fn cancel(node: &Node, q: RunQuestion) -> Answer {
    let run = run_id(q.run)?;
    for _ in 0..4 {
        let Some((head, mod_revision)) = head_of(node, run).await? else {
            return refuse(404, "no such run");
        };
        if head.state.is_final() || head.state == RunState::Cancelling {
            return Ok(one(200, told(&head, run, 0, 0)));
        }
        let head = Head {
            state: RunState::Cancelling,
            ..head
        };
        let change = Mutation::Put {
            key: workflow_head_key(run),
            value: Value::Head(Box::new(head.clone())),
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
                vec![change],
            )
            .await?
        {
            TransactionOutcome::Applied(_) => {
                info!(%run, "run cancelled");
                return Ok(one(200, told(&head, run, 0, 0)));
            }
            // Its carrier changed it meanwhile.
            TransactionOutcome::Failed(_) => {}
        }
    }
    refuse(503, "the run's record keeps changing")
}

/// A new run that goes on from what a failed one had done. The old one stays as it ended.
#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn resume(node: &Node, flows: &WorkflowExecution, r: ResumeRun) -> Answer {
    let (old, run) = (run_id(r.run)?, run_id(r.new_run)?);
    let Some((head, _)) = head_of(node, old).await? else {
        return refuse(404, "no such run");
    };
    if !r.owner.is_empty() && r.owner != head.owner {
        return refuse(404, "no such run");
    }
    if !matches!(head.state, RunState::Failed | RunState::Cancelled) {
        return refuse(
            409,
            format!(
                "run {old} is {}; only one that failed or was cancelled goes on",
                state_word(head.state)
            ),
        );
    }
    let new = Head {
        state: RunState::Running,
        submitted_us: runtime::time_of_day().0,
        ended_us: 0,
        reason: String::new(),
        done: 0,
        resumes: Some(old),
        plan_of: Some(head.plan_of.unwrap_or(old)),
        ..head
    };
    if let Some((there, _)) = head_of(node, run).await? {
        return if there.resumes == Some(old) {
            Ok(one(200, told(&there, run, 0, 0)))
        } else {
            refuse(409, format!("run {run} is another one"))
        };
    }
    // What is done stays done: its marks are the new run's before it begins.
    let rate = flows.engine.borrow().limits.max_writes_per_s.max(0.5);
    for (page, _, value) in pages_of(node, old).await? {
        let key = workflow_page_key(run, page);
        let change = Mutation::Put {
            key: key.clone(),
            value: Value::Page(value.only_done()),
            lease: None,
        };
        let conditions = vec![
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
            .txn(conditions, vec![change])
            .await?
        {
            return refuse(503, "the run changed meanwhile");
        }
        runtime::sleep(Micros::from_secs_f64(1.0 / rate)).await;
    }
    begin(node, run, new).await
}
