//! Estimates by learned run times, and the history that they are learned from. Any node accepts the requests; the
//! leader answers them.

use crate::node::{Leadership, Node};
use crate::peers::client::proto::{HistoryRequest, HistoryResponse, WhenRequest, WhenResponse};
use crate::peers::client::{GREET_TIMEOUT, PeerClient};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobKind;
use hopyoke_scheduler::{CapacityQuery, CompletedRun};
use hopyoke_types::{JobId, Micros};
use hopyoke_workload_trace::{Run, Writer};

/// Runs in one answer.
const MAX_RUNS: usize = 256;
/// An estimate of capacity visits all running tasks, so it may take longer than a greeting.
const ANSWER_TIMEOUT: Micros = Micros(GREET_TIMEOUT.0 * 2);

/// Estimates when a job will end, or GPUs will be free.
pub(crate) async fn when(node: &Node, mut request: WhenRequest) -> WhenResponse {
    if let Some(leadership) = node.leadership() {
        return own_estimate(&leadership, request);
    }
    let refused = |error: &str| WhenResponse {
        error: error.to_owned(),
        ..WhenResponse::default()
    };
    let client = match leader(node, &request.node) {
        Ok(client) => client,
        Err(error) => return refused(error),
    };
    request.node.clone_from(&node.settings.node);
    let answer = client
        .call(ANSWER_TIMEOUT, |mut c| async move { c.when(request).await })
        .await;
    answer.unwrap_or_else(|| refused("the leader did not answer"))
}

fn own_estimate(leadership: &Leadership, request: WhenRequest) -> WhenResponse {
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
            None => Err(format!("'{}' is not a job's id", request.job)),
        }
    };
    match estimate {
        Ok(estimate) => WhenResponse {
            error: String::new(),
            p50_s: estimate.p50_s,
            p90_s: estimate.p90_s,
            basis: estimate.rests_on,
        },
        Err(error) => WhenResponse {
            error,
            ..WhenResponse::default()
        },
    }
}

/// The client of the leader, for a request that no other node has forwarded.
fn leader<'a>(node: &'a Node, forwarded_by: &str) -> Result<&'a PeerClient, &'static str> {
    if !forwarded_by.is_empty() {
        return Err("the node that was asked does not lead");
    }
    let leader = node.leader.borrow().clone();
    leader
        .as_deref()
        .and_then(|l| node.peers.by_name(l))
        .ok_or("nobody leads now")
}

/// Runs of tasks that have ended, as comma-separated values.
pub(crate) async fn history(node: &Node, mut request: HistoryRequest) -> HistoryResponse {
    if let Some(leadership) = node.leadership() {
        return own_history(&leadership, &request);
    }
    let refused = |error: &str| HistoryResponse {
        error: error.to_owned(),
        ..HistoryResponse::default()
    };
    let client = match leader(node, &request.node) {
        Ok(client) => client,
        Err(error) => return refused(error),
    };
    request.node.clone_from(&node.settings.node);
    let answer = client
        .call(
            ANSWER_TIMEOUT,
            |mut c| async move { c.history(request).await },
        )
        .await;
    answer.unwrap_or_else(|| refused("the leader did not answer"))
}

fn own_history(leadership: &Leadership, request: &HistoryRequest) -> HistoryResponse {
    let scheduler = leadership.scheduler.borrow();
    let token = scheduler.token.0;
    // Each leader numbers the runs of its own term.
    let after = if request.token == token {
        request.since
    } else {
        0
    };
    let ended = scheduler.history(after, MAX_RUNS + 1);
    let mut writer = Writer::new(false);
    for run in ended.iter().take(MAX_RUNS) {
        if let Err(error) = writer.add(&run_of(run)) {
            return HistoryResponse {
                error: error.to_string(),
                ..HistoryResponse::default()
            };
        }
    }
    let last = ended
        .iter()
        .take(MAX_RUNS)
        .next_back()
        .map_or(after, |run| run.number);
    HistoryResponse {
        error: String::new(),
        csv: writer.text(),
        token,
        last,
        more: ended.len() > MAX_RUNS,
    }
}

fn run_of(past: &CompletedRun) -> Run {
    let spec = &past.spec;
    Run {
        submitted_us: past.accepted_us,
        ended_us: past.ended_us,
        job: spec.id.to_string(),
        index: past.index,
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
        machine: past
            .machine
            .as_ref()
            .map_or(String::new(), |m| m.to_string()),
        estimate_s: spec.estimate_s,
        ran_s: past.ran_s,
    }
}
