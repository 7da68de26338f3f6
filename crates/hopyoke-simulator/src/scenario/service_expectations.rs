//! Expectations about how many of the users' jobs were accepted, begun and served.

use super::expectations::met;
use super::parser::{Words, key_values, next_word, number, seconds};
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::JobKind;
use hopyoke_types::JobId;
use std::collections::BTreeMap;

/// `expect began all`: every accepted job whose user has not cancelled it has begun, the largest ones too.
pub(super) fn expect_begun(w: &Simulation) -> Result<(), String> {
    let is_waiting = |j: &JobGroundTruth| {
        j.accepted_at.is_some()
            && j.cancelled_at.is_none()
            && j.observed_end.is_none()
            && j.start_count == 0
    };
    let scheduler = w.current_leadership().map(|l| &l.scheduler);
    let reason = |id: &JobId| {
        scheduler.map_or("no leader", |c| {
            c.jobs.get(id).map_or("unknown", |j| {
                j.wait_reason
                    .map_or("", hopyoke_scheduler::WaitReason::as_str)
            })
        })
    };
    let waiting: Vec<String> = w
        .jobs
        .iter()
        .filter(|(_, j)| is_waiting(j))
        .map(|(id, _)| format!("{id} ({})", reason(id)))
        .collect();
    met(waiting.is_empty(), || {
        format!("never begun: {}", waiting.join(" "))
    })
}

/// `expect accepted least N` jobs; `expect accepted from S to S`: all whose users first submitted them then.
pub(super) fn expect_accepted(
    w: &Simulation,
    what: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    if what == "from" {
        let (first, last) = (
            seconds(next_word(words)),
            seconds(words.nth(1).copied().expect("`to T`")),
        );
        let submitted = |j: &&JobGroundTruth| {
            j.first_submitted_at
                .is_some_and(|t| (first..=last).contains(&t))
        };
        let jobs: Vec<&JobGroundTruth> = w.jobs.values().filter(submitted).collect();
        let waiting = jobs.iter().filter(|j| j.accepted_at.is_none()).count();
        return met(waiting == 0, || {
            format!("{waiting} of {} jobs are not accepted", jobs.len())
        });
    }
    let n = w.jobs.values().filter(|j| j.accepted_at.is_some()).count();
    let is_met = what == "least" && n >= number(next_word(words)) as usize;
    met(is_met, || {
        format!("{n} of {} jobs are accepted", w.jobs.len())
    })
}

/// Jobs of a tenant.
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

/// `expect served least SHARE`: of the jobs of each tenant (a team with a class) so many have started,
/// of those that were submitted, accepted or not, and not cancelled; `expect ended least SHARE`: of the
/// jobs of each team and of each class so many are done, services aside.
pub(super) fn expect_served(
    w: &Simulation,
    ended: bool,
    what: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let mut tenants: BTreeMap<(String, String), ServedCount> = BTreeMap::new();
    for job in w
        .jobs
        .values()
        .filter(|j| j.cancelled_at.is_none() && j.malformed_body.is_none())
    {
        let served = match job.spec.kind {
            JobKind::Service if ended => continue,
            _ if ended => job.done_at.is_some(),
            _ => job.start_count > 0,
        };
        // The users count classes and teams, each for itself.
        let (team, class) = (job.spec.team.clone(), job.spec.class.clone());
        let counted = if ended {
            vec![(team, "any".into()), ("any".into(), class)]
        } else {
            vec![(team, class)]
        };
        for tenant in counted {
            let count = tenants.entry(tenant).or_default();
            count.served += u32::from(served);
            count.all += 1;
        }
    }
    let lowest = tenants
        .iter()
        .min_by(|a, b| a.1.share().total_cmp(&b.1.share()));
    let ((team, class), count) = lowest.ok_or("no jobs")?;
    let is_met = what == "least" && count.share() >= number(next_word(words));
    met(is_met, || {
        format!(
            "of team {team}, class {class} {} of {} are served",
            count.served, count.all
        )
    })
}

/// `expect largest least SHARE within SECONDS`: of the largest quarter of each class's jobs that were not cancelled
/// that share began so soon after their users first submitted them.
pub(super) fn expect_largest(
    w: &Simulation,
    what: &str,
    words: &mut Words<'_>,
) -> Result<(), String> {
    let (share, within) = (
        number(next_word(words)),
        seconds(key_values(words)["within"]),
    );
    let mut classes: BTreeMap<&str, Vec<&JobGroundTruth>> = BTreeMap::new();
    for job in w
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
        if what != "least" || (served as f64) < share * jobs.len() as f64 {
            return Err(format!(
                "of class {class} {served} of its {} largest jobs began in time",
                jobs.len()
            ));
        }
    }
    Ok(())
}
