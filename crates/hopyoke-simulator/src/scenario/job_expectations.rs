//! Expectations about one job, and about the leader's predictions for jobs, capacity and classes.

use super::expectations::check;
use super::parser::{Words, next_word, number, seconds};
use super::workload::build_job;
use crate::Simulation;
use hopyoke_protocol::user::JobState;
use hopyoke_scheduler::CapacityQuery;
use hopyoke_types::JobId;
use std::collections::BTreeMap;

/// `expect JOB done [by SECONDS]|told STATE|unfinished|cancelled|running N|starts most|least N`.
pub(super) fn expect_job(
    sim: &Simulation,
    id: &JobId,
    property: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let job = sim.jobs.get(id).ok_or("no such job")?;
    match property {
        "done" => expect_done(sim, id, words),
        "told" => {
            let expected = next_word(words);
            let observed = match job.observed_end {
                None => "unfinished",
                Some(JobState::Done) => "done",
                Some(_) => "cancelled",
            };
            check(observed == expected, || {
                format!("its user observed: {observed}")
            })
        }
        "unfinished" => check(sim.terminal_state(id).is_none(), || "it has ended".into()),
        "cancelled" => check(sim.terminal_state(id) == Some(JobState::Cancelled), || {
            "not cancelled".into()
        }),
        "running" => {
            let expected = number(next_word(words)) as usize;
            let running = sim.running_task_count(id);
            check(running == expected, || {
                format!("{running} of its tasks are running")
            })
        }
        "starts" => {
            let bound = next_word(words);
            let n = number(next_word(words)) as u32;
            let is_met = if bound == "most" {
                job.start_count <= n
            } else {
                job.start_count >= n
            };
            check(is_met, || format!("{} task starts", job.start_count))
        }
        other => Err(format!("unknown expectation {other}")),
    }
}

/// `expect JOB done [by SECONDS]`: the job is recorded as done, and its last task ended by then.
fn expect_done(sim: &Simulation, id: &JobId, words: &mut Words<'_>) -> Result<(), String> {
    let job = sim.jobs.get(id).ok_or("no such job")?;
    if sim.terminal_state(id) != Some(JobState::Done) {
        let done = job.done.iter().filter(|d| **d).count();
        return Err(format!(
            "not recorded as done; {done} of {} tasks are",
            job.spec.tasks
        ));
    }
    if let (Some(&"by"), Some(t)) = (words.next(), words.next()) {
        let at = sim.completed_at(id).unwrap_or_default();
        return check(at <= seconds(t), || {
            format!("done at {:.1} s", at.as_secs_f64())
        });
    }
    Ok(())
}

/// `expect when JOB LOW HIGH`, `expect when TEAM GPUS ZONE|any LOW HIGH`: the median wait that the leader predicts, in
/// seconds; `... error WORD`: the prediction fails with an error that contains WORD.
pub(super) fn expect_when(
    sim: &Simulation,
    subject: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let leader = sim.current_leadership().ok_or("no node leads")?;
    let found = if subject.starts_with("req-") {
        leader
            .scheduler
            .estimate_job_end(&JobId::new(subject), sim.now)
    } else {
        let (gpus, zone) = (number(next_word(words)), next_word(words));
        let zone = (zone != "any").then(|| zone.to_owned());
        leader.scheduler.estimate_capacity(
            &CapacityQuery {
                team: subject.to_owned(),
                gpus,
                zone,
            },
            sim.now,
        )
    };
    let (first, second) = (next_word(words), next_word(words));
    match found {
        Err(e) if first == "error" && e.contains(second) => Ok(()),
        Err(e) => Err(e),
        Ok(estimate) => {
            let is_met = (number(first)..=number(second)).contains(&estimate.p50_s)
                && estimate.p90_s >= estimate.p50_s;
            check(is_met, || {
                format!(
                    "p50 {:.1} s, p90 {:.1} s, {}",
                    estimate.p50_s, estimate.p90_s, estimate.basis
                )
            })
        }
    }
}

/// `expect class NAME p50 LOW HIGH`: the median run time that the leader has learned for the class without the owner's
/// estimate, in seconds; `expect class NAME runs N`: it was learned from at least N ended tasks.
pub(super) fn expect_class(
    sim: &Simulation,
    class: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let leader = sim.current_leadership().ok_or("no node leads")?;
    let pairs = BTreeMap::from([("class", class)]);
    let mut spec = (*build_job(&JobId::new("req-0"), "array", &pairs).spec).clone();
    spec.estimate_s = 0.0;
    let found = leader.scheduler.estimate_run_time(&spec);
    match next_word(words) {
        "p50" => {
            let (low, high) = (number(next_word(words)), number(next_word(words)));
            let p50 = found.distribution.quantile(0.5);
            check((low..=high).contains(&p50), || format!("p50 is {p50:.2} s"))
        }
        _ => {
            let bound = number(next_word(words)) as u32;
            let runs = found.basis.class_runs;
            check(runs >= bound, || format!("learned from {runs} runs"))
        }
    }
}
