//! HTTP endpoints for users: submitting, polling and cancelling jobs. Any node can serve them from the key-value store.

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
struct ErrorBody<'a> {
    error: &'a str,
}

fn error_response(status: u16, error: &str) -> Response {
    Response::msgpack(status, &ErrorBody { error })
}

/// Returns a 503 for a request whose outcome can't be determined now; the client is to retry after a second.
fn unavailable(reason: &str) -> Response {
    error_response(503, reason).retry_after(1)
}

/// Returns a 503 for a submission that admission control rejected.
fn overloaded(retry_after: RetryAfter) -> Response {
    error_response(503, "more work is offered than can be recorded").retry_after(retry_after.0)
}

/// Serves `GET /healthz`. The node is unhealthy while it alone can't reach the key-value store, so that load balancers
/// route users and agents to the other nodes.
pub(crate) fn healthz(node: &Node, request: &Request) -> Response {
    if request.method != Method::Get {
        return Response::empty(405);
    }
    if node.catalog.borrow().is_empty() {
        return error_response(503, "the machine types are not known yet");
    }
    if is_isolated(node) {
        return error_response(503, "the state service does not answer this node");
    }
    Response::empty(200)
}

/// Returns whether the key-value store has been silent towards this node for a while but answers a peer. In an outage, when
/// it answers no node, all nodes stay healthy, so that users need not be routed back afterwards.
fn is_isolated(node: &Node) -> bool {
    let min_silence = Micros::from_secs(3);
    !node.store.is_responding()
        && runtime::now() > node.store.last_response_at() + min_silence
        && node.peers.any_that_reaches_store().is_some()
}

/// Returns the part of a request's path below `/api/jobs`, without the query, and `None` for other paths. Applies to direct
/// and to forwarded requests.
pub(crate) fn path_below_jobs(path: &str) -> Option<&str> {
    path.split('?').next()?.strip_prefix("/api/jobs")
}

/// Serves a user's request within its deadline. Polls are forwarded to the leader, which knows the running tasks; a request
/// that this node can't decide is forwarded to a peer that reaches the key-value store.
pub(crate) async fn serve(node: &Rc<Node>, rest: &str, request: &Request) -> Response {
    let arrived_at = runtime::now();
    let deadline = RequestDeadline::for_request(request.method);
    let response = serve_by(node, rest, request, deadline).await;
    if response.status == 503 {
        let after_ms = (runtime::now() - arrived_at).as_millis();
        debug!(path = %request.path, after_ms, reason = %String::from_utf8_lossy(&response.body), "request answered with status 503");
    }
    response
}

async fn serve_by(
    node: &Rc<Node>,
    rest: &str,
    request: &Request,
    deadline: RequestDeadline,
) -> Response {
    if request.method == Method::Get
        && node.leadership().is_none()
        && let Some(response) = forward_to_leader(node, request, deadline).await
    {
        return response;
    }
    if !node.store.is_responding()
        && let Some(response) = forward_to_peer(node, request, deadline).await
    {
        return response;
    }
    // Fails fast instead of waiting for another timeout, and closes the connection, so that the user's next attempt can
    // reach another node.
    if !node.store.is_responding()
        && runtime::now() > node.store.last_response_at() + Micros::from_secs(1)
    {
        return unavailable("the state service does not answer this node").closing();
    }
    let local_response = serve_locally(node, rest, request, deadline).await;
    // Only while the store does not answer: a submission that admission control rejects gains nothing at a peer, which has
    // no more capacity.
    if local_response.status == 503
        && request.method == Method::Post
        && !node.store.is_responding()
        && let Some(response) = forward_to_peer(node, request, deadline).await
    {
        return response;
    }
    local_response
}

/// Forwards a poll to the leader. Returns `None` if no leader is known, too little time is left, or it did not answer.
async fn forward_to_leader(
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
    // The leader serves many polls with one read of the store; this node would need two reads for each.
    if client.is_busy() {
        let is_slow = latency > FORWARD_TO_LEADER_TIMEOUT;
        return (!is_slow).then(|| unavailable("the leader is busy"));
    }
    let timeout = leader_forward_timeout(latency, deadline.remaining(), client.reaches_store())?;
    client.forward(&node.settings.node, request, timeout).await
}

/// Forwards a request to a peer that reaches the key-value store. Returns `None` if there is none or it did not answer.
async fn forward_to_peer(
    node: &Node,
    request: &Request,
    deadline: RequestDeadline,
) -> Option<Response> {
    let client = node.peers.any_that_reaches_store()?;
    client
        .forward(&node.settings.node, request, deadline.remaining())
        .await
}

/// Serves a request on this node, without forwarding it.
pub(crate) async fn serve_locally(
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
    let (id, expected_method) = match rest.split_once('/') {
        Some((id, "withdraw")) => (id, Method::Post),
        Some(_) => return Response::empty(404),
        None => (rest, Method::Get),
    };
    // No job can have a malformed id, so it is reported as missing.
    let Some(id) = JobId::parse(id) else {
        return Response::empty(404);
    };
    if request.method != expected_method {
        return Response::empty(405);
    }
    let response = if expected_method == Method::Get {
        let response = poll(node, &id, deadline).await;
        if response.is_err() {
            records::spawn_background_lookup(node, &id);
        }
        response
    } else {
        cancel(node, &id, deadline).await
    };
    response.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "failed to access job record");
        unavailable("the state service did not answer")
    })
}

/// Returns the status of a finished job.
fn finished_response(id: &JobId, end: EndRecord) -> Response {
    let done = (end.state == JobState::Done).then_some(end.done);
    Response::msgpack(
        200,
        &JobStatusResponse {
            id: id.as_str(),
            state: end.state,
            done,
            running: done.map(|_| 0),
        },
    )
}

/// Returns the status of an unfinished job, with the running tasks if this node leads and its scheduler knows them.
fn unfinished_response(
    leadership: Option<&Leadership>,
    id: &JobId,
    record: Option<JobRecord>,
) -> Response {
    let done = record.map_or(0, |r| r.done.normalized(r.spec.tasks).count());
    let mut response = JobStatusResponse {
        id: id.as_str(),
        state: JobState::Queued,
        done: Some(done),
        running: Some(0),
    };
    if let Some(scheduler) = leadership.map(|l| l.scheduler.borrow())
        && let Some(job) = scheduler.jobs.get(id)
    {
        let running = scheduler.running_tasks(id);
        response.done = Some(job.done.count());
        response.running = Some(running);
        if running > 0 {
            response.state = JobState::Running;
        }
    }
    Response::msgpack(200, &response)
}

/// Returns the response to a poll for the outcome of a lookup.
fn job_response(node: &Node, id: &JobId, found: Lookup) -> Response {
    match found {
        Lookup::Finished(end) => finished_response(id, end),
        Lookup::Unfinished(record, _) => {
            if matches!(record, Stored::Unreadable(_)) {
                warn!(job = %id, "malformed job record");
            }
            unfinished_response(node.leadership().as_deref(), id, record.decoded())
        }
        Lookup::Unreadable => unavailable("the job's record can't be read"),
        Lookup::NotFound => error_response(404, "no such job"),
    }
}

/// Returns the status of a job. The leader answers from its scheduler once that is known to be up to date, other nodes from
/// the job's records.
async fn poll(node: &Node, id: &JobId, deadline: RequestDeadline) -> Result<Response, StoreError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(finished_response(id, end));
    }
    let client = node.store.polls().with_deadline(deadline.at());
    if let Some(leadership) = node.leadership()
        && !should_read_records_directly(&leadership, client, id)
    {
        if !has_time_for_query(node, deadline) {
            return poll_confirmed_by_peers(&leadership, id, deadline).await;
        }
        if leadership.wait_until_current(deadline.at()).await {
            // Guards the invariants `went_back` and `forgotten`: the scheduler now includes every write that preceded the poll,
            // so the answer is not older than one that another node gave before.
            if leadership.scheduler.borrow().jobs.contains_key(id) {
                return Ok(unfinished_response(Some(&leadership), id, None));
            }
            if let Some(end) = node.terminal_states.get(id) {
                return Ok(finished_response(id, end));
            }
            // The job has ended, was never accepted, or has a malformed record: only its records distinguish these.
            return Ok(job_response(
                node,
                id,
                lookup_finished(node, client, id).await?,
            ));
        }
        if !leadership.cancel.is_cancelled() {
            // Reading the records would not help: the store is overloaded or unreachable. The user polls again.
            return Ok(unavailable("the state service did not answer in time"));
        }
        // This node has stepped down meanwhile, and answers as a follower.
    }
    Ok(job_response(node, id, lookup(node, client, id).await?))
}

/// Answers a poll while the key-value store is too slow for its deadline. Succeeds only if the job is unfinished by the
/// leader's scheduler and all peers confirm it, see [`Leadership::wait_until_confirmed`].
async fn poll_confirmed_by_peers(
    leadership: &Leadership,
    id: &JobId,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let is_confirmed = leadership.has_unfinished(id)
        && leadership.wait_until_confirmed(deadline.at()).await
        && leadership.has_unfinished(id);
    if is_confirmed {
        Ok(unfinished_response(Some(leadership), id, None))
    } else {
        Err(StoreError::DeadlineExceeded)
    }
}

/// Returns whether to read a job's records without waiting for a query for recent changes first: the scheduler does not
/// know the job, so it has most likely ended, and the deadline leaves no time for both.
fn should_read_records_directly(
    leadership: &Leadership,
    client: PrioritizedClient<'_>,
    id: &JobId,
) -> bool {
    !leadership.scheduler.borrow().jobs.contains_key(id) && client.must_read_concurrently()
}

/// Returns whether, by the measured latency, the next query for recent changes is answered before the deadline.
fn has_time_for_query(node: &Node, deadline: RequestDeadline) -> bool {
    let latency = node.store.timeouts.expected_latency(RequestKind::Watch);
    latency.unwrap_or_default() + READ_BATCH_DELAY < deadline.remaining()
}

/// Serves a submission: validates the job and accepts it, unless it can never be scheduled.
async fn submit(node: &Rc<Node>, body: &[u8], deadline: RequestDeadline) -> Response {
    let spec = match JobSpec::parse(body) {
        Ok(spec) => spec,
        Err(e) => return error_response(400, &e.to_string()),
    };
    let unschedulable = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return unavailable("the machine types are not known yet");
        }
        unschedulable_reason(&spec, &types, &node.config.zones, &node.config.teams)
    };
    let id = spec.id.clone();
    let record = JobRecord::accepted(spec, runtime::unix_time().0);
    let too_long = record.check_len(node.config.max_value_bytes).err();
    let result = if let Some(reason) = unschedulable {
        refuse(node, &id, deadline, 422, &reason).await
    } else if let Some(reason) = too_long {
        refuse(node, &id, deadline, 400, &reason.to_string()).await
    } else {
        accept(node, record, deadline).await
    };
    result.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "failed to store submitted job");
        unavailable("the state service did not answer")
    })
}

/// Refuses a submission, unless the job was accepted earlier, under another catalog or other limits. Guards the invariant
/// `forgotten`.
async fn refuse(
    node: &Node,
    id: &JobId,
    deadline: RequestDeadline,
    status: u16,
    reason: &str,
) -> Result<Response, StoreError> {
    let client = node.store.submissions().with_deadline(deadline.at());
    Ok(match lookup(node, client, id).await? {
        Lookup::NotFound => error_response(status, reason),
        found => job_response(node, id, found),
    })
}

/// Accepts a job: creates its record by compare-and-swap, and answers only once that is committed. Submissions are
/// idempotent: if the record exists, the response is the job's status.
async fn accept(
    node: &Rc<Node>,
    record: JobRecord,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let id = record.spec.id.clone();
    if let Some(end) = node
        .terminal_states
        .get(&id)
        .filter(|e| !e.is_workflow_step)
    {
        return Ok(finished_response(&id, end));
    }
    if let Err(retry_after) = node.admission.admit(node, &record.spec) {
        debug!(job = %id, after_s = retry_after.0, "submission rejected by admission control");
        // Admission control does not apply to a repeated submission that can be answered without a request to the store.
        let is_known = node
            .leadership()
            .is_some_and(|l| l.scheduler.borrow().jobs.contains_key(&id));
        return if is_known {
            poll(node, &id, deadline).await
        } else {
            Ok(overloaded(retry_after))
        };
    }
    let team = record.spec.team.clone();
    let client = node.store.submissions().with_deadline(deadline.at());
    let outcome = match records::create(node, client, record, Vec::new()).await {
        Err(e @ StoreError::DeadlineExceeded) => return Err(e),
        Err(e @ StoreError::Invalid(_)) => {
            warn!(job = %id, error = %e, "key-value store rejects the record of a submitted job");
            return refuse(node, &id, deadline, 400, "the job's record can't be stored").await;
        }
        Err(e) if e.is_refusal() && node.store.is_responding() => {
            return Ok(overloaded(node.admission.reject(node, &id, &team)));
        }
        outcome => outcome?,
    };
    match outcome {
        TransactionOutcome::Applied(_) => {
            debug!(job = %id, "job accepted");
            let response = JobStatusResponse {
                id: id.as_str(),
                state: JobState::Queued,
                done: None,
                running: None,
            };
            Ok(Response::msgpack(201, &response))
        }
        TransactionOutcome::Failed(_) => match lookup(node, client, &id).await? {
            // Records are never lost, so this contradicts the failed transaction: the user is to retry.
            Lookup::NotFound => Ok(unavailable("the job's record changed meanwhile")),
            found if found.is_workflow_step() => {
                Ok(error_response(422, "the id is that of a workflow's step"))
            }
            found => Ok(job_response(node, &id, found)),
        },
    }
}

/// Cancels a job by making its record final. Responds with the final state, also if the job had ended before.
async fn cancel(
    node: &Rc<Node>,
    id: &JobId,
    deadline: RequestDeadline,
) -> Result<Response, StoreError> {
    let client = node.store.cancellations().with_deadline(deadline.at());
    Ok(match records::cancel(node, client, id).await? {
        Some(Lookup::Finished(end)) => finished_response(id, end),
        Some(found) => job_response(node, id, found),
        None => unavailable("the job's record keeps changing"),
    })
}
