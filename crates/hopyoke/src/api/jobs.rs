//! What users ask: submit, poll, cancel. Any node answers by itself, from the state service.

use crate::node::{Leadership, Node};
use crate::peers::client::{FORWARD_TO_LEADER_TIMEOUT, FORWARD_TO_PEER_TIMEOUT};
use crate::store::client::TransactionOutcome;
use crate::store::error::StateError;
use crate::store::records::{self, Lookup, lookup, lookup_ended};
use hopyoke_admission::RetryAfter;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_protocol::state::Stored;
use hopyoke_protocol::user::{JobSpec, JobState, JobStatusResponse};
use hopyoke_scheduler::{EndRecord, JobRecord, never_runs};
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

/// Undecidable now: said at once, with when to come back.
fn later(why: &str) -> Response {
    problem(503, why).retry_after(1)
}

/// No room now: said at once, with when there will be.
fn no_room(after: RetryAfter) -> Response {
    problem(503, "more work is offered than can be recorded").retry_after(after.0)
}

/// Users and workers go elsewhere while this node alone can't reach the state service.
pub fn healthz(node: &Node, request: &Request) -> Response {
    if request.method != Method::Get {
        return Response::empty(405);
    }
    if node.catalog.borrow().is_empty() {
        return problem(503, "the machine types are not known yet");
    }
    if alone(node) {
        return problem(503, "the state service does not answer this node");
    }
    Response::empty(200)
}

/// The state service has not answered us for a while, but answers a peer. In an outage, when it
/// answers nobody, staying healthy spares users the way back.
fn alone(node: &Node) -> bool {
    let quiet = Micros::from_secs(3);
    !node.store.answers()
        && runtime::now() > node.store.last_answer_at() + quiet
        && node.peers.any_that_reaches_store().is_some()
}

/// What of a request's path follows that of all jobs; a query says nothing. Asked directly or by way of a peer, a
/// path means the same.
pub fn below_jobs(path: &str) -> Option<&str> {
    path.split('?').next()?.strip_prefix("/api/jobs")
}

/// A user's request: a poll is best answered by the leader, which knows what runs; whatever we
/// cannot decide is passed to a peer that reaches the state service.
pub async fn jobs(node: &Rc<Node>, rest: &str, request: &Request) -> Response {
    if request.method == Method::Get && node.leadership().is_none() {
        let leader = node.leader.borrow().clone();
        if let Some(link) = leader.as_deref().and_then(|l| node.peers.by_name(l))
            && link.leads()
        {
            // The leader answers many with one question of its own; our own would be two for each.
            if link.is_busy() {
                return later("the leader is busy");
            }
            if let Some(r) = link
                .forward(&node.settings.node, request, FORWARD_TO_LEADER_TIMEOUT)
                .await
            {
                return r;
            }
        }
    }
    if !node.store.answers()
        && let Some(link) = node.peers.any_that_reaches_store()
        && let Some(r) = link
            .forward(&node.settings.node, request, FORWARD_TO_PEER_TIMEOUT)
            .await
    {
        return r;
    }
    // Known not to answer: said at once rather than after another try has run out. The connection
    // is closed, so that the user's next try can reach another node.
    if !node.store.answers() && runtime::now() > node.store.last_answer_at() + Micros::from_secs(1)
    {
        return later("the state service does not answer this node").closing();
    }
    let own = own_answer(node, rest, request).await;
    // What found no room here is not passed on: the others have no more.
    if own.status == 503
        && request.method == Method::Post
        && !node.store.answers()
        && let Some(link) = node.peers.any_that_reaches_store()
        && let Some(r) = link
            .forward(&node.settings.node, request, FORWARD_TO_PEER_TIMEOUT)
            .await
    {
        return r;
    }
    own
}

/// What this node itself answers.
pub async fn own_answer(node: &Rc<Node>, rest: &str, request: &Request) -> Response {
    if rest.is_empty() {
        return match request.method {
            Method::Post => submit(node, &request.body).await,
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
    // No job can have another form of id.
    let Some(id) = JobId::parse(id) else {
        return Response::empty(404);
    };
    if request.method != verb {
        return Response::empty(405);
    }
    let answer = if verb == Method::Get {
        poll(node, &id).await
    } else {
        cancel(node, &id).await
    };
    answer.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "not decidable now");
        later("the state service did not answer")
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

/// `leadership`: the leadership whose core may know how much of it runs.
fn unfinished(leadership: Option<&Leadership>, id: &JobId, record: Option<JobRecord>) -> Response {
    let done = record.map_or(0, |r| r.done.tidy(r.spec.tasks).count());
    let mut answer = JobStatusResponse {
        id: id.as_str(),
        state: JobState::Queued,
        done: Some(done),
        running: Some(0),
    };
    if let Some(scheduler) = leadership.map(|l| l.scheduler.borrow())
        && let Some(job) = scheduler.jobs.get(id)
    {
        let running = scheduler.running(id);
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
                warn!(job = %id, "unreadable record");
            }
            unfinished(node.leadership().as_deref(), id, record.readable())
        }
        Lookup::Unreadable => later("the job's record can't be read"),
        Lookup::Missing => problem(404, "no such job"),
    }
}

async fn poll(node: &Node, id: &JobId) -> Result<Response, StateError> {
    if let Some(end) = node.terminal_states.get(id) {
        return Ok(finished(id, end));
    }
    if let Some(leadership) = node.leadership() {
        if leadership.wait_until_current().await {
            // Whatever was written before the poll arrived is in the core now. (Guards `went_back` and
            // `forgotten`; an older answer than another node's is not possible.)
            if leadership.scheduler.borrow().jobs.contains_key(id) {
                return Ok(unfinished(Some(&leadership), id, None));
            }
            if let Some(end) = node.terminal_states.get(id) {
                return Ok(finished(id, end));
            }
            // Over, or never accepted, or its record can't be read: its own records tell.
            return Ok(answer(node, id, lookup_ended(node, id).await?));
        }
        if !leadership.cancel.is_cancelled() {
            // More reads would not help: it is busy, or away. The user polls again.
            return Ok(later("the state service did not answer in time"));
        }
        // We lead no more: answered as by any other node.
    }
    Ok(answer(
        node,
        id,
        lookup(node, node.store.polling(), id).await?,
    ))
}

async fn submit(node: &Rc<Node>, body: &[u8]) -> Response {
    let spec = match JobSpec::parse(body) {
        Ok(s) => s,
        Err(e) => return problem(400, &e.to_string()),
    };
    let never = {
        let types = node.catalog.borrow();
        if types.is_empty() {
            return later("the machine types are not known yet");
        }
        never_runs(&spec, &types, &node.config.zones, &node.config.teams)
    };
    let id = spec.id.clone();
    let result = match never {
        // An accepted job stays accepted, whatever the catalog says now.
        Some(why) => match lookup(node, node.store.accepting(), &id).await {
            Ok(Lookup::Missing) => Ok(problem(422, &why)),
            Ok(found) => Ok(answer(node, &id, found)),
            Err(e) => Err(e),
        },
        None => accept(node, spec).await,
    };
    result.unwrap_or_else(|e| {
        debug!(job = %id, error = %e, "not accepted now");
        later("the state service did not answer")
    })
}

/// Accepts a job: a write on the condition that there is no record of it, answered only once it
/// is committed.
async fn accept(node: &Rc<Node>, spec: JobSpec) -> Result<Response, StateError> {
    let id = spec.id.clone();
    if let Some(end) = node.terminal_states.get(&id).filter(|e| !e.flow) {
        return Ok(finished(&id, end));
    }
    if let Err(after) = node.admission.admit(node, &spec) {
        debug!(job = %id, after_s = after.0, "refused at the door");
        // A repeated submission of what is accepted gets its answer all the same, where that costs
        // nothing of its own.
        let known = node
            .leadership()
            .is_some_and(|l| l.scheduler.borrow().jobs.contains_key(&id));
        return if known {
            poll(node, &id).await
        } else {
            Ok(no_room(after))
        };
    }
    let team = spec.team.clone();
    let record = JobRecord::accepted(spec, runtime::time_of_day().0);
    let end = match records::accept(node, record, Vec::new()).await {
        Err(e) if e.is_refusal() && node.store.answers() => {
            return Ok(no_room(node.admission.reject(node, &id, &team)));
        }
        end => end?,
    };
    match end {
        TransactionOutcome::Applied(_) => {
            debug!(job = %id, "accepted");
            let answer = JobStatusResponse {
                id: id.as_str(),
                state: JobState::Queued,
                done: None,
                running: None,
            };
            Ok(Response::of(201, &answer))
        }
        TransactionOutcome::Failed(_) => match lookup(node, node.store.accepting(), &id).await? {
            // It can't have vanished: the user is to ask again.
            Lookup::Missing => Ok(later("the job's record changed meanwhile")),
            found if found.is_workflow_step() => {
                Ok(problem(422, "the id is that of a workflow's step"))
            }
            found => Ok(answer(node, &id, found)),
        },
    }
}

/// Cancels a job: its record moves to its final place, or the final state that it has is told.
async fn cancel(node: &Rc<Node>, id: &JobId) -> Result<Response, StateError> {
    Ok(match records::cancel(node, id).await? {
        Some(Lookup::Finished(end)) => finished(id, end),
        Some(found) => answer(node, id, found),
        None => later("the job's record keeps changing"),
    })
}
