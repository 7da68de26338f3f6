//! Expectations about the shares of users' jobs that were accepted, started and served.

use super::expectations::check;
use super::parser::{Words, key_values, next_word, number, seconds};
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::JobKind;
use hopyoke_types::JobId;
use std::collections::BTreeMap;

/// `expect began all`: every accepted job that its user has not cancelled has begun.
pub(super) fn expect_begun(sim: &Simulation) -> Result<(), String> {
    let is_waiting = |j: &JobGroundTruth| {
        j.accepted_at.is_some()
            && j.cancelled_at.is_none()
            && j.observed_end.is_none()
            && j.start_count == 0
    };
    let scheduler = sim.current_leadership().map(|l| &l.scheduler);
    let reason = |id: &JobId| {
        scheduler.map_or("no leader", |scheduler| {
            scheduler.jobs.get(id).map_or("unknown", |j| {
                j.wait_reason
                    .map_or("", hopyoke_scheduler::WaitReason::as_str)
            })
        })
    };
    let waiting: Vec<String> = sim
        .jobs
        .iter()
        .filter(|(_, j)| is_waiting(j))
        .map(|(id, _)| format!("{id} ({})", reason(id)))
        .collect();
    check(waiting.is_empty(), || {
        format!("jobs that never began: {}", waiting.join(" "))
    })
}

/// `expect accepted least N`: jobs accepted by now; `expect accepted from SECONDS to SECONDS`: all jobs first submitted
/// in that period are.
pub(super) fn expect_accepted(
    sim: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    if comparison == "from" {
        let (first, last) = (
            seconds(next_word(words)),
            seconds(words.nth(1).copied().expect("`to T`")),
        );
        let submitted = |j: &&JobGroundTruth| {
            j.first_submitted_at
                .is_some_and(|t| (first..=last).contains(&t))
        };
        let jobs: Vec<&JobGroundTruth> = sim.jobs.values().filter(submitted).collect();
        let waiting = jobs.iter().filter(|j| j.accepted_at.is_none()).count();
        return check(waiting == 0, || {
            format!("{waiting} of {} jobs are not accepted", jobs.len())
        });
    }
    let accepted = sim
        .jobs
        .values()
        .filter(|j| j.accepted_at.is_some())
        .count();
    let is_met = comparison == "least" && accepted >= number(next_word(words)) as usize;
    check(is_met, || {
        format!("{accepted} of {} jobs are accepted", sim.jobs.len())
    })
}

/// Served jobs and all jobs of a tenant.
#[derive(Default)]
struct ServedCount {
    served: u32,
    all: u32,
}

impl ServedCount {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.all.max(1))
    }
}

/// `expect served least SHARE`: for each tenant (a team with a class), the share of its jobs that have started;
/// `expect ended least SHARE`: for each team and for each class, the share of its jobs that are done, without services.
///
/// Shares are of all submitted jobs that are not cancelled, accepted or not.
pub(super) fn expect_served(
    sim: &Simulation,
    ended: bool,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let mut tenants: BTreeMap<(String, String), ServedCount> = BTreeMap::new();
    for job in sim
        .jobs
        .values()
        .filter(|j| j.cancelled_at.is_none() && j.malformed_body.is_none())
    {
        let served = match job.spec.kind {
            JobKind::Service if ended => continue,
            _ if ended => job.done_at.is_some(),
            _ => job.start_count > 0,
        };
        // Ended jobs count once for their team and once for their class.
        let (team, class) = (job.spec.team.clone(), job.spec.class.clone());
        let counted_tenants = if ended {
            vec![(team, "any".into()), ("any".into(), class)]
        } else {
            vec![(team, class)]
        };
        for tenant in counted_tenants {
            let count = tenants.entry(tenant).or_default();
            count.served += u32::from(served);
            count.all += 1;
        }
    }
    let lowest = tenants
        .iter()
        .min_by(|a, b| a.1.share().total_cmp(&b.1.share()));
    let ((team, class), count) = lowest.ok_or("no jobs")?;
    let is_met = comparison == "least" && count.share() >= number(next_word(words));
    check(is_met, || {
        format!(
            "team {team}, class {class}: {} of {} jobs are served",
            count.served, count.all
        )
    })
}

/// `expect largest least SHARE within SECONDS`: of the largest quarter of each class's jobs that were not cancelled,
/// that share began within SECONDS after their users first submitted them.
pub(super) fn expect_largest(
    sim: &Simulation,
    comparison: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let (share, within) = (
        number(next_word(words)),
        seconds(key_values(words)["within"]),
    );
    let mut classes: BTreeMap<&str, Vec<&JobGroundTruth>> = BTreeMap::new();
    for job in sim
        .jobs
        .values()
        .filter(|j| j.cancelled_at.is_none() && j.malformed_body.is_none())
    {
        classes.entry(&job.spec.class).or_default().push(job);
    }
    for (class, mut jobs) in classes {
        jobs.sort_by_key(|j| std::cmp::Reverse(j.spec.tasks));
        jobs.truncate(jobs.len().div_ceil(4));
        let in_time = |j: &&&JobGroundTruth| {
            j.first_started_at
                .zip(j.first_submitted_at)
                .is_some_and(|(started, submitted)| started <= submitted + within)
        };
        let served = jobs.iter().filter(in_time).count();
        if comparison != "least" || (served as f64) < share * jobs.len() as f64 {
            return Err(format!(
                "class {class}: {served} of its {} largest jobs began in time",
                jobs.len()
            ));
        }
    }
    Ok(())
}
