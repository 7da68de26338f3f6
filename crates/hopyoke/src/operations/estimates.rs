//! Completion estimates from learned run times, and the completed runs that those are learned from. Any node accepts these
//! requests and forwards them to the leader, which answers them.

use crate::node::{Leadership, Node};
use crate::peers::client::proto::{HistoryRequest, HistoryResponse, WhenRequest, WhenResponse};
use crate::peers::client::{GREET_TIMEOUT, PeerClient};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobKind;
use hopyoke_scheduler::{CapacityQuery, CompletedRun};
use hopyoke_types::{JobId, Micros};
use hopyoke_workload_trace::{Run, Writer};

/// Maximum number of runs in one answer.
const MAX_RUNS_PER_ANSWER: usize = 256;
/// Longer than the timeout of a greeting, since a capacity estimate visits all running tasks.
const CALL_TIMEOUT: Micros = Micros(GREET_TIMEOUT.0 * 2);

/// Estimates when a job will end or, if the request names no job, when GPUs will be free for a team.
pub(crate) async fn estimate_completion(node: &Node, mut request: WhenRequest) -> WhenResponse {
    if let Some(leadership) = node.leadership() {
        return estimate_locally(&leadership, request);
    }
    let failed = |error: &str| WhenResponse {
        error: error.to_owned(),
        ..WhenResponse::default()
    };
    let client = match leader_client(node, &request.node) {
        Ok(client) => client,
        Err(error) => return failed(error),
    };
    request.node.clone_from(&node.settings.node);
    let answer = client
        .call(CALL_TIMEOUT, |mut c| async move { c.when(request).await })
        .await;
    answer.unwrap_or_else(|| failed("the leader did not answer"))
}

/// Answers a request for an estimate as the leader.
fn estimate_locally(leadership: &Leadership, request: WhenRequest) -> WhenResponse {
    let scheduler = leadership.scheduler.borrow();
    let now = runtime::now();
    let estimate = if request.job.is_empty() {
        let zone = (!request.zone.is_empty()).then_some(request.zone);
        scheduler.estimate_capacity(
            &CapacityQuery {
                team: request.team,
                gpus: request.gpus,
                zone,
            },
            now,
        )
    } else {
        match JobId::parse(&request.job) {
            Some(id) => scheduler.estimate_job_end(&id, now),
            None => Err(format!("'{}' is not a valid job id", request.job)),
        }
    };
    match estimate {
        Ok(estimate) => WhenResponse {
            error: String::new(),
            p50_s: estimate.p50_s,
            p90_s: estimate.p90_s,
            basis: estimate.basis,
        },
        Err(error) => WhenResponse {
            error,
            ..WhenResponse::default()
        },
    }
}

/// Returns the client of the leader. `forwarded_by` is the node that forwarded the request, or empty.
///
/// # Errors
/// No leader is known, or the request was forwarded already: a request is forwarded once only, so that two nodes with stale
/// views of the leader can't pass it back and forth.
fn leader_client<'a>(node: &'a Node, forwarded_by: &str) -> Result<&'a PeerClient, &'static str> {
    if !forwarded_by.is_empty() {
        return Err("the node that received the forwarded request is not the leader");
    }
    let leader = node.leader.borrow().clone();
    leader
        .as_deref()
        .and_then(|l| node.peers.by_name(l))
        .ok_or("there is no leader now")
}

/// Returns completed task runs as comma-separated values, one page of at most [`MAX_RUNS_PER_ANSWER`].
pub(crate) async fn completed_runs(node: &Node, mut request: HistoryRequest) -> HistoryResponse {
    if let Some(leadership) = node.leadership() {
        return completed_runs_locally(&leadership, &request);
    }
    let failed = |error: &str| HistoryResponse {
        error: error.to_owned(),
        ..HistoryResponse::default()
    };
    let client = match leader_client(node, &request.node) {
        Ok(client) => client,
        Err(error) => return failed(error),
    };
    request.node.clone_from(&node.settings.node);
    let answer = client
        .call(
            CALL_TIMEOUT,
            |mut c| async move { c.history(request).await },
        )
        .await;
    answer.unwrap_or_else(|| failed("the leader did not answer"))
}

/// Answers a request for completed runs as the leader.
fn completed_runs_locally(leadership: &Leadership, request: &HistoryRequest) -> HistoryResponse {
    let scheduler = leadership.scheduler.borrow();
    let token = scheduler.token.0;
    // Run numbers are valid within one leader's term only, so a client of an earlier term starts over.
    let after = if request.token == token {
        request.since
    } else {
        0
    };
    let completed = scheduler.completed_runs(after, MAX_RUNS_PER_ANSWER + 1);
    let mut writer = Writer::new(false);
    for run in completed.iter().take(MAX_RUNS_PER_ANSWER) {
        if let Err(error) = writer.add(&trace_run(run)) {
            return HistoryResponse {
                error: error.to_string(),
                ..HistoryResponse::default()
            };
        }
    }
    let last = completed
        .iter()
        .take(MAX_RUNS_PER_ANSWER)
        .next_back()
        .map_or(after, |run| run.number);
    HistoryResponse {
        error: String::new(),
        csv: writer.text(),
        token,
        last,
        more: completed.len() > MAX_RUNS_PER_ANSWER,
    }
}

/// Converts a completed run to its row in a workload trace.
fn trace_run(completed: &CompletedRun) -> Run {
    let spec = &completed.spec;
    Run {
        submitted_us: completed.accepted_us,
        ended_us: completed.ended_us,
        job: spec.id.to_string(),
        index: completed.index,
        class: spec.class.clone(),
        team: spec.team.clone(),
        image: spec.image.clone(),
        tasks: if spec.kind == JobKind::Gang {
            spec.tasks
        } else {
            1
        },
        cpus: spec.cpus,
        gpus: spec.gpus,
        mem_gb: spec.memory_gb,
        machine: completed
            .machine
            .as_ref()
            .map_or(String::new(), |m| m.to_string()),
        estimate_s: spec.estimate_s,
        ran_s: completed.ran_s,
    }
}
