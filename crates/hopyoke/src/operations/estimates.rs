//! Operators' questions about learned run times. Any node takes them; the leader answers.

use crate::node::Node;
use crate::peers::client::proto::{HistoryAnswer, HistoryRequest, WhenAnswer, WhenRequest};
use crate::peers::client::{GREET_TIMEOUT, PeerClient};
use hopyoke_event_loop as runtime;
use hopyoke_protocol::user::JobKind;
use hopyoke_scheduler::{CapacityQuery, CompletedRun};
use hopyoke_types::{JobId, Micros};
use hopyoke_workload_trace::{Run, Writer};

/// Runs in one answer.
const MOST_RUNS: usize = 256;
/// An answer about capacity looks at all running tasks.
const ANSWER: Micros = Micros(GREET_TIMEOUT.0 * 2);

/// When a job will be over, or GPUs will be free.
pub async fn when(node: &Node, mut request: WhenRequest) -> WhenAnswer {
    if let Some(leadership) = node.leadership() {
        let scheduler = leadership.scheduler.borrow();
        let now = runtime::now();
        let found = if request.job.is_empty() {
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
        return match found {
            Ok(w) => WhenAnswer {
                error: String::new(),
                p50_s: w.p50_s,
                p90_s: w.p90_s,
                rests_on: w.rests_on,
            },
            Err(error) => WhenAnswer {
                error,
                ..WhenAnswer::default()
            },
        };
    }
    let refused = |error: &str| WhenAnswer {
        error: error.to_owned(),
        ..WhenAnswer::default()
    };
    let link = match leader(node, &request.node) {
        Ok(l) => l,
        Err(why) => return refused(why),
    };
    request.node.clone_from(&node.settings.node);
    let answer = link
        .call(ANSWER, |mut c| async move { c.when(request).await })
        .await;
    answer.unwrap_or_else(|| refused("the leader did not answer"))
}

/// The node that leads, for a question that nobody has passed on yet.
fn leader<'a>(node: &'a Node, passed_on_by: &str) -> Result<&'a PeerClient, &'static str> {
    if !passed_on_by.is_empty() {
        return Err("the node that was asked does not lead");
    }
    let leader = node.leader.borrow().clone();
    leader
        .as_deref()
        .and_then(|l| node.peers.by_name(l))
        .ok_or("nobody leads now")
}

/// Runs that have ended.
pub async fn history(node: &Node, mut request: HistoryRequest) -> HistoryAnswer {
    if let Some(leadership) = node.leadership() {
        let scheduler = leadership.scheduler.borrow();
        let token = scheduler.token.0;
        // Another leader counts its runs anew.
        let since = if request.token == token {
            request.since
        } else {
            0
        };
        let past = scheduler.history(since, MOST_RUNS + 1);
        let mut writer = Writer::new(false);
        for p in past.iter().take(MOST_RUNS) {
            if let Err(error) = writer.add(&run_of(p)) {
                return HistoryAnswer {
                    error: error.to_string(),
                    ..HistoryAnswer::default()
                };
            }
        }
        let last = past
            .iter()
            .take(MOST_RUNS)
            .next_back()
            .map_or(since, |p| p.number);
        let more = past.len() > MOST_RUNS;
        return HistoryAnswer {
            error: String::new(),
            csv: writer.text(),
            token,
            last,
            more,
        };
    }
    let refused = |error: &str| HistoryAnswer {
        error: error.to_owned(),
        ..HistoryAnswer::default()
    };
    let link = match leader(node, &request.node) {
        Ok(l) => l,
        Err(why) => return refused(why),
    };
    request.node.clone_from(&node.settings.node);
    let answer = link
        .call(ANSWER, |mut c| async move { c.history(request).await })
        .await;
    answer.unwrap_or_else(|| refused("the leader did not answer"))
}

fn run_of(p: &CompletedRun) -> Run {
    let spec = &p.spec;
    Run {
        submitted_us: p.accepted_us,
        ended_us: p.ended_us,
        job: spec.id.to_string(),
        index: p.index,
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
        machine: p.machine.as_ref().map_or(String::new(), |m| m.to_string()),
        estimate_s: spec.estimate_s,
        ran_s: p.ran_s,
    }
}
