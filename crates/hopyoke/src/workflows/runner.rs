//! Carrying runs of workflows: the engine's events come from two watches and a lease, its actions
//! go to the state service, a few at a time.

use crate::node::{Flows, Node};
use crate::store::client::TransactionOutcome;
use crate::store::error::StateError;
use crate::store::keys::{
    WORKFLOW_HEADS, WORKFLOW_HOLDERS, WORKFLOWS, workflow_end_key, workflow_head_key,
    workflow_holder_key, workflow_page_key, workflow_page_prefix, workflow_plan_prefix,
};
use crate::store::records::{self, Lookup, lookup};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::state::{Compare, KeyValue, Mutation, Stored, WatchResponse};
use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_scheduler::{EndRecord, JobRecord, unschedulable_reason};
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Action, Head, JobEnd, JobOutcome, Plan, PlanPage, RESERVED_JOB_PREFIX, RunClaim, RunId,
    RunRecords, StepPage, WriteOutcome, job_prefix,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;
use tracing::{debug, warn};

/// Actions under way at once: requests to the state service share a bounded pool with all else.
const MOST_BUSY: usize = 8;
/// Longest wait of a watch.
const WATCH: Micros = Micros::from_secs(10);
/// How long a carrier's grants outlive it.
const TTL: Micros = Micros::from_secs(8);

/// What is under `flow/`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum Value {
    Head(Box<Head>),
    RunClaim(RunClaim),
    Page(StepPage),
    Plan(PlanPage),
}

/// Starts the routines, if this node takes part.
pub(crate) fn start(node: &Rc<Node>) {
    if node.flows.is_some() {
        runtime::spawn_until(node.cancel.clone(), keep_lease_alive(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_runs(node.clone()));
        runtime::spawn_until(node.cancel.clone(), watch_ends(node.clone()));
        runtime::spawn_until(node.cancel.clone(), drive(node.clone()));
    }
}

/// Every routine of this module runs only where runs are carried.
fn of(node: &Node) -> &Flows {
    node.flows.as_ref().expect("started only with it")
}

/// Hands the engine's actions out.
async fn drive(node: Rc<Node>) {
    let flows = of(&node);
    loop {
        let now = runtime::now();
        flows.engine.borrow_mut().tick(now);
        while flows.running_actions.get() < MOST_BUSY {
            let Some(action) = flows.engine.borrow_mut().next_action() else {
                break;
            };
            flows.running_actions.set(flows.running_actions.get() + 1);
            let node = node.clone();
            runtime::spawn_until(node.cancel.clone(), async move {
                execute(&node, action).await;
                let flows = of(&node);
                flows.running_actions.set(flows.running_actions.get() - 1);
                flows.wakeup.notify();
            });
        }
        let due = flows
            .engine
            .borrow()
            .next_due(now)
            .max(now + Micros::from_millis(1));
        flows.wakeup.wait_until(due).await;
    }
}

/// Keeps the lease on which this node's grants are.
async fn keep_lease_alive(node: Rc<Node>) {
    let flows = of(&node);
    loop {
        match flows.lease.get() {
            None => match node.store.critical().grant(TTL).await {
                Ok(lease) => flows.lease.set(Some(lease)),
                Err(e) => debug!(error = %e, "no lease for runs"),
            },
            Some(lease) => match node.store.critical().renew(lease).await {
                Ok(()) => {}
                Err(StateError::Gone) => {
                    warn!("the lease on which this node carries runs is gone");
                    flows.lease.set(None);
                    flows.engine.borrow_mut().lease_lost(runtime::now());
                    flows.wakeup.notify();
                    continue;
                }
                Err(e) => debug!(error = %e, "lease for runs not renewed"),
            },
        }
        runtime::sleep(Micros(TTL.0 / 4)).await;
    }
}

fn run_of(key: &str, prefix: &str) -> Option<RunId> {
    RunId::parse(key.strip_prefix(prefix)?)
}

/// Learns of runs, cancellations and grants.
async fn watch_runs(node: Rc<Node>) {
    let flows = of(&node);
    let mut since = None;
    loop {
        let Some(from) = since else {
            match node.store.background().list::<Value>(WORKFLOWS).await {
                Ok(listing) => {
                    all_seen(&node, listing.pairs, ModRevision(listing.revision));
                    since = Some(listing.revision);
                }
                Err(e) => {
                    debug!(error = %e, "runs not listed");
                    runtime::sleep(Micros::from_millis(700)).await;
                }
            }
            continue;
        };
        let result: Result<WatchResponse<Value>, _> =
            node.store.background().watch(WORKFLOWS, from, WATCH).await;
        match result {
            Ok(events) => {
                since = Some(events.revision.max(from));
                let any = !events.events.is_empty();
                for e in events.events {
                    if let Some(key) = e.deleted {
                        dropped(&node, &key, e.mod_revision);
                    } else if let (Some(key), Some(Stored::Value(value))) = (e.put, e.value) {
                        seen(&node, &key, value, e.mod_revision);
                    }
                }
                if any {
                    flows.wakeup.notify();
                }
            }
            Err(StateError::Gone) => since = None,
            Err(e) => {
                debug!(error = %e, "watch of runs failed");
                runtime::sleep(Micros::from_millis(300)).await;
            }
        }
    }
}

fn seen(node: &Node, key: &str, value: Value, mod_revision: ModRevision) {
    let now = runtime::now();
    let mut engine = of(node).engine.borrow_mut();
    match value {
        Value::Head(head) => {
            if let Some(run) = run_of(key, WORKFLOW_HEADS) {
                engine.head_changed(run, *head, mod_revision, now);
            }
        }
        Value::RunClaim(hold) => {
            if let Some(run) = run_of(key, WORKFLOW_HOLDERS) {
                engine.claim_changed(run, &hold.node, mod_revision, now);
            }
        }
        _ => warn!(key, "neither a run's head nor a grant"),
    }
}

fn dropped(node: &Node, key: &str, mod_revision: ModRevision) {
    let mut engine = of(node).engine.borrow_mut();
    if let Some(run) = run_of(key, WORKFLOW_HOLDERS) {
        engine.claim_deleted(run, mod_revision, runtime::now());
    } else if let Some(run) = run_of(key, WORKFLOW_HEADS) {
        engine.head_deleted(run, mod_revision);
    }
}

/// All runs and grants as of a revision: what is not among them is gone.
fn all_seen(node: &Node, pairs: Vec<KeyValue<Value>>, revision: ModRevision) {
    let mut heads = BTreeSet::new();
    let mut holds = BTreeSet::new();
    for p in pairs {
        heads.extend(run_of(&p.key, WORKFLOW_HEADS));
        holds.extend(run_of(&p.key, WORKFLOW_HOLDERS));
        match p.value {
            Stored::Value(v) => seen(node, &p.key, v, p.mod_revision),
            Stored::Unreadable(_) => warn!(key = %p.key, "unreadable record of a run"),
        }
    }
    let flows = of(node);
    let mut engine = flows.engine.borrow_mut();
    let known: Vec<RunId> = engine.runs().map(|(run, ..)| run).collect();
    for run in known {
        if !heads.contains(&run) {
            engine.head_deleted(run, revision);
        } else if !holds.contains(&run) {
            engine.claim_deleted(run, revision, runtime::now());
        }
    }
    engine.watch_interrupted(runtime::now());
    flows.wakeup.notify();
}

/// Learns of the ends of steps' jobs, and of no others.
async fn watch_ends(node: Rc<Node>) {
    let flows = of(&node);
    let prefix = format!("end/{RESERVED_JOB_PREFIX}");
    let mut since: Option<u64> = None;
    loop {
        let from = match since {
            Some(s) => s,
            // What came before is read with each run's records.
            None => match node
                .store
                .background()
                .page::<EndRecord>(&prefix, None, 1)
                .await
            {
                Ok(page) => {
                    flows.engine.borrow_mut().watch_interrupted(runtime::now());
                    page.revision
                }
                Err(_) => {
                    runtime::sleep(Micros::from_millis(700)).await;
                    continue;
                }
            },
        };
        since = Some(from);
        let result: Result<WatchResponse<EndRecord>, _> = node
            .store
            .background()
            .watch(&prefix, from.max(1), WATCH)
            .await;
        match result {
            Ok(events) => {
                since = Some(events.revision.max(from));
                let now = runtime::now();
                let mut engine = flows.engine.borrow_mut();
                for e in events.events {
                    if let (Some(key), Some(Stored::Value(end))) = (e.put, e.value)
                        && let Some(job) = key.strip_prefix("end/").and_then(JobId::parse)
                        && end.flow
                    {
                        engine.job_ended(&job, how(end), now);
                    }
                }
                drop(engine);
                flows.wakeup.notify();
            }
            Err(StateError::Gone) => since = None,
            Err(_) => runtime::sleep(Micros::from_millis(300)).await,
        }
    }
}

fn how(end: EndRecord) -> JobEnd {
    match end.state {
        JobState::Done => JobEnd::Done,
        _ if end.given_up => JobEnd::GivenUp,
        _ => JobEnd::Cancelled,
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "to be split with the rest of this module, see docs/ROADMAP.md"
)]
async fn execute(node: &Rc<Node>, action: Action) {
    let flows = of(node);
    match &action {
        Action::Claim { run } => {
            let result = claim(node, *run).await;
            flows
                .engine
                .borrow_mut()
                .claim_finished(*run, result, runtime::now());
        }
        Action::Read {
            run,
            epoch,
            with_plan,
        } => {
            let fetched = match fetch(node, *run, *with_plan).await {
                Ok(f) => f,
                Err(e) => {
                    debug!(%run, error = %e, "records not read");
                    None
                }
            };
            flows
                .engine
                .borrow_mut()
                .read_finished(*run, *epoch, fetched, runtime::now());
        }
        Action::Submit {
            run,
            epoch,
            step,
            spec,
            claim_revision,
            head,
        } => {
            let outcome = submit(node, *run, spec, *claim_revision, *head)
                .await
                .unwrap_or_else(|e| not_known(&e));
            flows.engine.borrow_mut().submission_finished(
                *run,
                *epoch,
                *step,
                outcome,
                runtime::now(),
            );
        }
        Action::Cancel {
            run,
            epoch,
            step,
            job,
        } => {
            let outcome = match records::cancel(node, node.store.cancelling(), job).await {
                Ok(Some(Lookup::Finished(end))) if end.flow => JobOutcome::Ended(how(end)),
                Ok(Some(Lookup::Missing)) => JobOutcome::Missing,
                Ok(Some(Lookup::Finished(_))) => JobOutcome::Taken,
                Ok(_) => JobOutcome::Unknown,
                Err(e) => not_known(&e),
            };
            flows.engine.borrow_mut().cancellation_finished(
                *run,
                *epoch,
                *step,
                outcome,
                runtime::now(),
            );
        }
        Action::Write {
            run,
            epoch,
            claim_revision,
            pages,
            head,
            release,
        } => {
            let written = write(node, *run, *claim_revision, pages, head.as_ref(), *release).await;
            flows.engine.borrow_mut().write_finished(
                *run,
                *epoch,
                &action,
                written,
                runtime::now(),
            );
        }
    }
}

fn not_known(e: &StateError) -> JobOutcome {
    match e {
        StateError::Refused(_) | StateError::RateLimited => {
            JobOutcome::Later(Micros::from_millis(500))
        }
        _ => JobOutcome::Unknown,
    }
}

async fn claim(node: &Node, run: RunId) -> Result<ModRevision, Option<ModRevision>> {
    let Some(lease) = of(node).lease.get() else {
        return Err(None);
    };
    let hold = RunClaim {
        node: node.settings.node.clone(),
        lease,
    };
    let key = workflow_holder_key(run);
    // A run that is over is not claimed: its head must still be there.
    let head = match node
        .store
        .background()
        .get::<Value>(&workflow_head_key(run))
        .await
    {
        Ok(Some((_, mod_revision))) => mod_revision,
        _ => return Err(None),
    };
    let conditions = vec![
        Compare {
            key: key.clone(),
            mod_revision: ModRevision(0),
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head,
        },
    ];
    let changes = vec![Mutation::Put {
        key: key.clone(),
        value: hold.clone(),
        lease: Some(lease),
    }];
    match node.store.background().txn(conditions, changes).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => Ok(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => {
            match node.store.background().get::<RunClaim>(&key).await {
                // An earlier try of this very process went through.
                Ok(Some((Stored::Value(h), mod_revision))) if h == hold => Ok(mod_revision),
                Ok(Some((_, mod_revision))) => Err(Some(mod_revision)),
                _ => Err(None),
            }
        }
        Err(_) => Err(None),
    }
}

/// Reads a run's head, wherever it is: a head only ever moves from `flow/head/` to `flowend/`.
pub(crate) async fn head_of(
    node: &Node,
    run: RunId,
) -> Result<Option<(Head, ModRevision)>, StateError> {
    for key in [workflow_head_key(run), workflow_end_key(run)] {
        match node.store.background().get::<Head>(&key).await? {
            Some((Stored::Value(head), mod_revision)) => return Ok(Some((head, mod_revision))),
            Some((Stored::Unreadable(_), _)) => {
                warn!(%run, "unreadable head");
                return Err(StateError::Malformed("a run's head".into()));
            }
            None => {}
        }
    }
    Ok(None)
}

/// The pages of a run's progress.
pub(crate) async fn pages_of(
    node: &Node,
    run: RunId,
) -> Result<Vec<(u32, ModRevision, StepPage)>, StateError> {
    let prefix = workflow_page_prefix(run);
    let pairs = node
        .store
        .background()
        .list::<StepPage>(&prefix)
        .await?
        .pairs;
    let page = |p: KeyValue<StepPage>| {
        let number = p.key.strip_prefix(&prefix)?.parse().ok()?;
        // An unreadable page is no knowledge; the jobs' own records tell.
        Some((
            number,
            p.mod_revision,
            p.value.readable().unwrap_or_default(),
        ))
    };
    Ok(pairs.into_iter().filter_map(page).collect())
}

/// A run's plan, if all its pages can be read.
pub(crate) async fn plan_of(
    node: &Node,
    run: RunId,
    head: &Head,
) -> Result<Option<Plan>, StateError> {
    let pairs = node
        .store
        .background()
        .list::<PlanPage>(&workflow_plan_prefix(head.plan_of.unwrap_or(run)))
        .await?
        .pairs;
    let pages: Option<Vec<PlanPage>> = pairs.into_iter().map(|p| p.value.readable()).collect();
    Ok(pages
        .filter(|p| p.len() == head.plan_pages as usize)
        .map(Plan::from_pages))
}

async fn fetch(node: &Node, run: RunId, plan: bool) -> Result<Option<RunRecords>, StateError> {
    let grant = node
        .store
        .background()
        .get::<RunClaim>(&workflow_holder_key(run))
        .await?
        .map(|(_, mod_revision)| mod_revision);
    let Some((head, head_revision)) = head_of(node, run).await? else {
        return Ok(None);
    };
    let plan = if plan && !head.state.is_final() {
        match plan_of(node, run, &head).await? {
            Some(plan) => Some(plan),
            None => return Ok(None),
        }
    } else {
        None
    };
    let pages = pages_of(node, run).await?;
    // Unfinished jobs first: a record only ever moves to the ended ones.
    let prefix = job_prefix(run);
    let jobs = node
        .store
        .background()
        .list::<JobRecord>(&format!("job/{prefix}"))
        .await?
        .pairs;
    let ends = node
        .store
        .background()
        .list::<EndRecord>(&format!("end/{prefix}"))
        .await?
        .pairs;
    let id = |key: &str| JobId::parse(key.split_once('/')?.1);
    Ok(Some(RunRecords {
        head,
        head_revision,
        claim_revision: grant,
        plan,
        pages,
        jobs: jobs
            .iter()
            .filter_map(|p| Some((id(&p.key)?, matches!(&p.value, Stored::Value(r) if r.flow))))
            .collect(),
        ends: ends
            .iter()
            .filter_map(|p| match &p.value {
                Stored::Value(e) => Some((id(&p.key)?, how(*e), e.flow)),
                Stored::Unreadable(_) => None,
            })
            .collect(),
    }))
}

/// Accepts a step's job as a user's is accepted, and on the condition that its run goes on.
async fn submit(
    node: &Rc<Node>,
    run: RunId,
    spec: &JobSpec,
    grant: ModRevision,
    head: ModRevision,
) -> Result<JobOutcome, StateError> {
    let never = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return Ok(JobOutcome::Later(Micros::from_secs(1)));
        }
        unschedulable_reason(spec, &types, &node.config.zones, &node.config.teams)
    };
    if let Some(why) = never {
        // An accepted job stays accepted, whatever the catalog says now.
        return Ok(
            match lookup(node, node.store.background(), &spec.id).await? {
                Lookup::Missing => JobOutcome::Never(why),
                found => known(&found),
            },
        );
    }
    let record = JobRecord::of_flow(spec.clone(), runtime::time_of_day().0);
    let more = vec![
        Compare {
            key: workflow_holder_key(run),
            mod_revision: grant,
        },
        Compare {
            key: workflow_head_key(run),
            mod_revision: head,
        },
    ];
    Ok(
        match records::accept(node, node.store.accepting(), record, more).await? {
            TransactionOutcome::Applied(_) => JobOutcome::Accepted,
            // The three-way check: what does the job's own record say?
            TransactionOutcome::Failed(_) => {
                match lookup(node, node.store.background(), &spec.id).await? {
                    Lookup::Missing => JobOutcome::Stale,
                    found => known(&found),
                }
            }
        },
    )
}

fn known(found: &Lookup) -> JobOutcome {
    match found {
        Lookup::Finished(end) if end.flow => JobOutcome::Ended(how(*end)),
        Lookup::Unfinished(Stored::Value(r), _) if r.flow => JobOutcome::Known,
        Lookup::Missing | Lookup::Unreadable | Lookup::Unfinished(Stored::Unreadable(_), _) => {
            JobOutcome::Unknown
        }
        _ => JobOutcome::Taken,
    }
}

async fn write(
    node: &Node,
    run: RunId,
    grant: ModRevision,
    pages: &[(u32, ModRevision, StepPage)],
    head: Option<&(ModRevision, Head)>,
    release: bool,
) -> WriteOutcome {
    let mut conditions = vec![Compare {
        key: workflow_holder_key(run),
        mod_revision: grant,
    }];
    let mut changes = Vec::new();
    for (page, mod_revision, value) in pages {
        let key = workflow_page_key(run, *page);
        conditions.push(Compare {
            key: key.clone(),
            mod_revision: *mod_revision,
        });
        changes.push(Mutation::Put {
            key,
            value: Value::Page(value.clone()),
            lease: None,
        });
    }
    if let Some((mod_revision, head)) = head {
        conditions.push(Compare {
            key: workflow_head_key(run),
            mod_revision: *mod_revision,
        });
        let mut head = head.clone();
        let key = if head.state.is_final() {
            head.ended_us = runtime::time_of_day().0;
            changes.push(Mutation::Delete {
                key: workflow_head_key(run),
            });
            workflow_end_key(run)
        } else {
            workflow_head_key(run)
        };
        changes.push(Mutation::Put {
            key,
            value: Value::Head(Box::new(head)),
            lease: None,
        });
    }
    if release {
        changes.push(Mutation::Delete {
            key: workflow_holder_key(run),
        });
    }
    match node.store.background().txn(conditions, changes).await {
        Ok(TransactionOutcome::Applied(mod_revision)) => WriteOutcome::Applied(mod_revision),
        Ok(TransactionOutcome::Failed(_)) => WriteOutcome::Conflict,
        Err(e) if e.is_refusal() => WriteOutcome::Refused,
        Err(_) => WriteOutcome::Unknown,
    }
}
