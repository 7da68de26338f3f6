//! The users' interface: submit, poll and cancel jobs. Any node answers by itself, from the key-value store.

use super::deadline::RequestDeadline;
use crate::node::{Leadership, Node};
use crate::store::client::{PrioritizedClient, TransactionOutcome};
use crate::store::error::StoreError;
use crate::store::records::{self, Lookup, lookup, lookup_finished};
use hopyoke_admission::RetryAfter;
use hopyoke_consistency::deadline::{FORWARD_TO_LEADER_TIMEOUT, leader_forward_timeout};
use hopyoke_consistency::latency::RequestKind;
use hopyoke_consistency::read_index::READ_BATCH_DELAY;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_protocol::state::Stored;
use hopyoke_protocol::user::{JobSpec, JobState, JobStatusResponse};
use hopyoke_scheduler::{EndRecord, JobRecord, unschedulable_reason};
use hopyoke_types::JobId;
use hopyoke_types::Micros;
use serde::Serialize;
use std::rc::Rc;
use tracing::{debug, warn};

#[derive(Serialize)]
struct Problem<'a> {
    error: &'a str,
}

fn problem(status: u16, error: &str) -> Response {
    Response::of(status, &Problem { error })
}

/// The outcome cannot be determined now: the client is to retry after a second.
fn unavailable(reason: &str) -> Response {
    problem(503, reason).retry_after(1)
}

/// Admission control rejected a submission.
fn rejected(after: RetryAfter) -> Response {
    problem(503, "more work is offered than can be recorded").retry_after(after.0)
}

/// Serves `GET /healthz`: unhealthy while this node alone cannot reach the key-value store, so that users and agents are
/// routed to other nodes.
pub(crate) fn healthz(node: &Node, request: &Request) -> Response {
    if request.method != Method::Get {
        return Response::empty(405);
    }
    if node.catalog.borrow().is_empty() {
        return problem(503, "the machine types are not known yet");
    }
    if is_isolated(node) {
        return problem(503, "the state service does not answer this node");
    }
    Response::empty(200)
}

/// The key-value store has not answered this node for a while, but answers a peer. In an outage, when it answers no node,
/// all stay healthy: users need not be routed back afterwards.
fn is_isolated(node: &Node) -> bool {
    let min_silence = Micros::from_secs(3);
    !node.store.is_responding()
        && runtime::now() > node.store.last_response_at() + min_silence
        && node.peers.any_that_reaches_store().is_some()
}

/// The part of a request's path below that of all jobs, without the query, for direct and for forwarded requests; `None`:
/// it is another path.
pub(crate) fn below_jobs(path: &str) -> Option<&str> {
    path.split('?').next()?.strip_prefix("/api/jobs")
}

/// Serves a user's request by its deadline. A poll is forwarded to the leader, which knows what runs; whatever this node
/// cannot decide is forwarded to a peer that reaches the key-value store.
pub(crate) async fn serve(node: &Rc<Node>, rest: &str, request: &Request) -> Response {
    let arrived_at = runtime::now();
    let deadline = RequestDeadline::of(request.method);
    let answer = serve_by(node, rest, request, deadline).await;
    if answer.status == 503 {
        let after_ms = (runtime::now() - arrived_at).as_millis();
        debug!(path = %request.path, after_ms, reason = %String::from_utf8_lossy(&answer.body), "not decided");
    }
    answer
}

async fn serve_by(
    node: &Rc<Node>,
    rest: &str,
    request: &Request,
    deadline: RequestDeadline,
) -> Response {
    if request.method == Method::Get
        && node.leadership().is_none()
        && let Some(r) = leaders_answer(node, request, deadline).await
    {
        return r;
    }
    if !node.store.is_responding()
        && let Some(r) = peers_answer(node, request, deadline).await
    {
        return r;
    }
    // Known not to answer: reported at once rather than after another timeout. The connection is closed, so that the
    // user's next attempt can reach another node.
    if !node.store.is_responding()
        && runtime::now() > node.store.last_response_at() + Micros::from_secs(1)
    {
        return unavailable("the state service does not answer this node").closing();
    }
    let own = own_answer(node, rest, request, deadline).await;
    // Rejected submissions are not forwarded: the peers have no more capacity.
    if own.status == 503
        && request.method == Method::Post
        && !node.store.is_responding()
        && let Some(r) = peers_answer(node, request, deadline).await
    {
        return r;
    }
    own
}

/// The leader's answer to a poll; `None`: nobody is known to lead, there is no time for it, or it had none.
async fn leaders_answer(
    node: &Node,
    request: &Request,
    deadline: RequestDeadline,
) -> Option<Response> {
    let leader = node.leader.borrow().clone();
    let client = leader.as_deref().and_then(|l| node.peers.by_name(l))?;
    if !client.leads() {
        return None;
    }
    let latency = node.store.timeouts.max_expected_latency();
    // The leader answers many polls with one read of its own; this node would need two reads for each.
    if client.is_busy() {
        let is_slow = latency > FORWARD_TO_LEADER_TIMEOUT;
        return (!is_slow).then(|| unavailable("the leader is busy"));
    }
    let timeout = leader_forward_timeout(latency, deadline.remaining(), client.reaches_store())?;
    client.forward(&node.settings.node, request, timeout).await
}

/// The answer of a peer that reaches the key-value store, if any does and has one.
async fn peers_answer(
    node: &Node,
    request: &Request,
    deadline: RequestDeadline,
) -> Option<Response> {
    let client = node.peers.any_that_reaches_store()?;
    client
        .forward(&node.settings.node, request, deadline.remaining())
        .await
}

/// Answers a request by this node itself.
pub(crate) async fn own_answer(
    node: &Rc<Node>,
    rest: &str,
    request: &Request,
    deadline: RequestDeadline,
) -> Response {
    if rest.is_empty() {
        return match request.method {
            Method::Post => submit(node, &request.body, deadline).await,
            _ => Response::empty(405),
        };
    }
    let Some(rest) = rest.strip_prefix('/') else {
        return Response::empty(404);
    };
    let (id, verb) = match rest.split_once('/') {
        Some((id, "withdraw")) => (id, Method::Post),
        Some(_) => return Response::empty(404),
        None => (rest, Method::Get),
    };
    // Whatever is no valid id cannot be that of a job.
    let Some(id) = JobId::parse(id) else {
        return Response::empty(404);
    };
    if request.method != verb {
        return Response::empty(405);
    }
    let answer = if verb == Method::Get {
        let answer = poll(node, &id, deadline).await;
        if answer.is_err() {
            records::spawn_background_lookup(node, &id);
        }
        answer
    } else {
        cancel(node, &id, deadline).await
    };
    answer.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "request not answered");
        unavailable("the state service did not answer")
    })
}

fn finished(id: &JobId, end: EndRecord) -> Response {
    let done = (end.state == JobState::Done).then_some(end.done);
    Response::of(
        200,
        &JobStatusResponse {
            id: id.as_str(),
            state: end.state,
            done,
            running: done.map(|_| 0),
        },
    )
}

/// `leadership`: that of this node, if it leads: its scheduler may know the job's running tasks.
fn unfinished(leadership: Option<&Leadership>, id: &JobId, record: Option<JobRecord>) -> Response {
    let done = record.map_or(0, |r| r.done.normalized(r.spec.tasks).count());
    let mut answer = JobStatusResponse {
        id: id.as_str(),
        state: JobState::Queued,
        done: Some(done),
        running: Some(0),
    };
    if let Some(scheduler) = leadership.map(|l| l.scheduler.borrow())
        && let Some(job) = scheduler.jobs.get(id)
    {
        let running = scheduler.running_tasks(id);
        answer.done = Some(job.done.count());
        answer.running = Some(running);
        if running > 0 {
            answer.state = JobState::Running;
        }
    }
    Response::of(200, &answer)
}

fn answer(node: &Node, id: &JobId, found: Lookup) -> Response {
    match found {
        Lookup::Finished(end) => finished(id, end),
        Lookup::Unfinished(record, _) => {
            if matches!(record, Stored::Unreadable(_)) {
                warn!(job = %id, "malformed job record");
            }
            unfinished(node.leadership().as_deref(), id, record.readable())
        }
        Lookup::Unreadable => unavailable("the job's record can't be read"),
        Lookup::NotFound => problem(404, "no such job"),
    }
}

async fn poll(node: &Node, id: &JobId, deadline: RequestDeadline) -> Result<Response, StoreError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(finished(id, end));
    }
    let client = node.store.polls().with_deadline(deadline.at());
    if let Some(leadership) = node.leadership()
        && !must_look_up(&leadership, client, id)
    {
        if !has_time_for_query(node, deadline) {
            return poll_by_peers(&leadership, id, deadline).await;
        }
        if leadership.wait_until_current(deadline.at()).await {
            // The scheduler includes whatever was written before the poll arrived. (Guards `went_back` and `forgotten`: no
            // answer is older than one that another node gave before.)
            if leadership.scheduler.borrow().jobs.contains_key(id) {
                return Ok(unfinished(Some(&leadership), id, None));
            }
            if let Some(end) = node.terminal_states.get(id) {
                return Ok(finished(id, end));
            }
            // It has ended, or was never accepted, or its record is malformed: its records tell.
            return Ok(answer(node, id, lookup_finished(node, client, id).await?));
        }
        if !leadership.cancel.is_cancelled() {
            // More reads would not help: the store is overloaded or unreachable. The user polls again.
            return Ok(unavailable("the state service did not answer in time"));
        }
        // This node has stepped down: it answers like any other.
    }
    Ok(answer(node, id, lookup(node, client, id).await?))
}

/// Answers a poll for which the key-value store is too slow: of an unfinished job, if all peers confirm it.
async fn poll_by_peers(
    leadership: &Leadership,
    id: &JobId,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let is_confirmed = leadership.has_unfinished(id)
        && leadership.wait_until_confirmed(deadline.at()).await
        && leadership.has_unfinished(id);
    if is_confirmed {
        Ok(unfinished(Some(leadership), id, None))
    } else {
        Err(StoreError::DeadlineExceeded)
    }
}

/// The job is most likely over, and there is no time for a query first and its records then: they are read at once.
fn must_look_up(leadership: &Leadership, client: PrioritizedClient<'_>, id: &JobId) -> bool {
    !leadership.scheduler.borrow().jobs.contains_key(id) && client.must_read_concurrently()
}

/// By the measured latency the next query's answer comes before the deadline.
fn has_time_for_query(node: &Node, deadline: RequestDeadline) -> bool {
    let latency = node.store.timeouts.expected_latency(RequestKind::Watch);
    latency.unwrap_or_default() + READ_BATCH_DELAY < deadline.remaining()
}

async fn submit(node: &Rc<Node>, body: &[u8], deadline: RequestDeadline) -> Response {
    let spec = match JobSpec::parse(body) {
        Ok(s) => s,
        Err(e) => return problem(400, &e.to_string()),
    };
    let never_runs_reason = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return unavailable("the machine types are not known yet");
        }
        unschedulable_reason(&spec, &types, &node.config.zones, &node.config.teams)
    };
    let id = spec.id.clone();
    let client = node.store.submissions().with_deadline(deadline.at());
    let result = match never_runs_reason {
        // An accepted job stays accepted, whatever the catalog says now.
        Some(reason) => match lookup(node, client, &id).await {
            Ok(Lookup::NotFound) => Ok(problem(422, &reason)),
            Ok(found) => Ok(answer(node, &id, found)),
            Err(e) => Err(e),
        },
        None => accept(node, spec, deadline).await,
    };
    result.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "submission not answered");
        unavailable("the state service did not answer")
    })
}

/// Accepts a job: writes its record on the condition that there is none, and answers only once that is committed.
async fn accept(
    node: &Rc<Node>,
    spec: JobSpec,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let id = spec.id.clone();
    if let Some(end) = node
        .terminal_states
        .get(&id)
        .filter(|e| !e.is_workflow_step)
    {
        return Ok(finished(&id, end));
    }
    if let Err(after) = node.admission.admit(node, &spec) {
        debug!(job = %id, after_s = after.0, "submission rejected");
        // A repeated submission of an accepted job is answered all the same, where that needs no request to the store.
        let known = node
            .leadership()
            .is_some_and(|l| l.scheduler.borrow().jobs.contains_key(&id));
        return if known {
            poll(node, &id, deadline).await
        } else {
            Ok(rejected(after))
        };
    }
    let team = spec.team.clone();
    let record = JobRecord::accepted(spec, runtime::time_of_day().0);
    let client = node.store.submissions().with_deadline(deadline.at());
    let end = match records::create(node, client, record, Vec::new()).await {
        Err(e @ StoreError::DeadlineExceeded) => return Err(e),
        Err(e) if e.is_refusal() && node.store.is_responding() => {
            return Ok(rejected(node.admission.reject(node, &id, &team)));
        }
        end => end?,
    };
    match end {
        TransactionOutcome::Applied(_) => {
            debug!(job = %id, "job accepted");
            let answer = JobStatusResponse {
                id: id.as_str(),
                state: JobState::Queued,
                done: None,
                running: None,
            };
            Ok(Response::of(201, &answer))
        }
        TransactionOutcome::Failed(_) => match lookup(node, client, &id).await? {
            // A record cannot vanish: the user is to retry.
            Lookup::NotFound => Ok(unavailable("the job's record changed meanwhile")),
            found if found.is_workflow_step() => {
                Ok(problem(422, "the id is that of a workflow's step"))
            }
            found => Ok(answer(node, &id, found)),
        },
    }
}

/// Cancels a job: its record becomes a final one. Answers with the final state, also if the job had one before.
async fn cancel(
    node: &Rc<Node>,
    id: &JobId,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let client = node.store.cancellations().with_deadline(deadline.at());
    Ok(match records::cancel(node, client, id).await? {
        Some(Lookup::Finished(end)) => finished(id, end),
        Some(found) => answer(node, id, found),
        None => unavailable("the job's record keeps changing"),
    })
}
