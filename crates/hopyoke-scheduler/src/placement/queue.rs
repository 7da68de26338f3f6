//! The queue of one cycle: jobs with unplaced tasks, by class of importance, priority and age.

use super::queue_order::{self, WaitingJob};
use super::starvation;
use crate::resources::Resources;
use crate::{Job, Scheduler};
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::{JobId, Micros};
use std::collections::BTreeMap;

/// Stands in place of the time of acceptance: before all others of the same importance.
const STARVING_GANG_ACCEPTED_US: u64 = 0;
/// Stands in place of the time of acceptance: after starving gangs alone, which need their team's limit at once.
const STARVING_ARRAY_ACCEPTED_US: u64 = 1;

/// A job's sort key in the queue; entries are ordered by their fields from first to last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    /// Class of importance, the most important first: see `importance`.
    pub(super) tier: u8,
    pub(super) priority: Priority,
    /// Time of acceptance in microseconds, or one of the constants above.
    pub(super) accepted_us: u64,
    pub(super) job: JobId,
}

/// A job whose turn it is.
pub(super) struct QueueItem {
    pub(super) job: JobId,
    /// Only the first task of a starving array is placed; the array has another item at its regular position.
    pub(super) first_task_only: bool,
}

/// Jobs that change positions among themselves: of one team and class of work, with equal importance.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Tenant<'a> {
    tier: u8,
    priority: Priority,
    team: &'a str,
    work_class: &'a str,
}

/// The class of importance; work within its team's guarantee comes right after production work.
fn priority_tier(priority: Priority, within_guarantee: bool) -> u8 {
    match (priority, within_guarantee) {
        (Priority::Production, _) => 0,
        (_, true) => 1,
        (Priority::High, _) => 2,
        (Priority::Normal, _) => 3,
        (Priority::Low, _) => 4,
    }
}

impl Scheduler {
    /// Jobs with unplaced tasks, in the order in which they get room. Clears the wait reason of the others.
    pub(super) fn queue(&mut self, now: Micros) -> Vec<QueueItem> {
        let (mut entries, placed_jobs) = self.queue_entries(now);
        entries.sort_unstable();
        self.order_within_tenants(&mut entries, now);
        if self.tuning.use_for_deadlines {
            self.order_by_latest_start(&mut entries);
        }
        for id in placed_jobs {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.wait_reason = None;
            }
        }
        entries
            .into_iter()
            .map(|entry| QueueItem {
                first_task_only: entry.accepted_us == STARVING_ARRAY_ACCEPTED_US,
                job: entry.job,
            })
            .collect()
    }

    /// Entries of all jobs with unplaced tasks, and the jobs without any that still have a wait reason. A team's
    /// guarantee is used up by its jobs in the order of their acceptance.
    fn queue_entries(&self, now: Micros) -> (Vec<QueueEntry>, Vec<JobId>) {
        let mut by_acceptance: Vec<(u64, &JobId)> = self
            .jobs
            .iter()
            .map(|(id, j)| (j.accepted_us, id))
            .collect();
        by_acceptance.sort_unstable();
        let mut claimed_by_team = vec![Resources::default(); self.cfg.teams.len()];
        let mut entries = Vec::new();
        let mut placed_jobs = Vec::new();
        for (accepted_us, id) in by_acceptance {
            let job = &self.jobs[id];
            let spec = &job.spec;
            let unfinished = f64::from(spec.tasks - job.done.count().min(spec.tasks));
            let within_guarantee = self.team_index(&spec.team).is_some_and(|t| {
                claimed_by_team[t] = claimed_by_team[t] + job.task.times(unfinished);
                self.cfg.teams[t].guarantees(&claimed_by_team[t])
            });
            if job.unplaced_tasks() == 0 {
                if job.wait_reason.is_some() {
                    placed_jobs.push(id.clone());
                }
                continue;
            }
            let entry = |accepted_us| QueueEntry {
                tier: priority_tier(spec.priority, within_guarantee),
                priority: spec.priority,
                accepted_us,
                job: id.clone(),
            };
            if spec.kind == JobKind::Array && self.is_array_starving(job, now) {
                entries.push(entry(STARVING_ARRAY_ACCEPTED_US));
            }
            let is_starving = job.is_gang() && self.is_gang_starving(job, now);
            entries.push(entry(if is_starving {
                STARVING_GANG_ACCEPTED_US
            } else {
                accepted_us
            }));
        }
        (entries, placed_jobs)
    }

    /// Arrays and gangs of one tenant change positions among themselves, so that most of them are served when the
    /// tenant offers more than it can get. (Guards against a day on which less than half of a class ends although
    /// its team's limit was used all day; scenario burst_mostly_served.)
    fn order_within_tenants(&self, entries: &mut [QueueEntry], now: Micros) {
        let mut tenants: BTreeMap<Tenant<'_>, usize> = BTreeMap::new();
        let (mut positions, mut waiting) = (Vec::new(), Vec::new());
        for (position, entry) in entries.iter().enumerate() {
            let is_reordered = |j: &&Job| {
                j.spec.kind != JobKind::Service && entry.accepted_us > STARVING_ARRAY_ACCEPTED_US
            };
            let Some(job) = self.jobs.get(&entry.job).filter(is_reordered) else {
                continue;
            };
            let spec = &job.spec;
            let next = tenants.len();
            let tenant = Tenant {
                tier: entry.tier,
                priority: entry.priority,
                team: &spec.team,
                work_class: &spec.class,
            };
            positions.push(position);
            waiting.push(WaitingJob {
                tenant: *tenants.entry(tenant).or_insert(next),
                work_s: f64::from(job.unplaced_tasks()) * spec.estimate_s.max(1.0),
                waited: self.ago(entry.accepted_us, now),
            });
        }
        let order = queue_order::order_within_tenants(&waiting);
        let reordered: Vec<QueueEntry> = order
            .into_iter()
            .map(|i| entries[positions[i]].clone())
            .collect();
        for (position, entry) in positions.into_iter().zip(reordered) {
            entries[position] = entry;
        }
    }

    /// A gang that regular queue order does not serve, for it needs much of its team's limit at once.
    fn is_gang_starving(&self, job: &Job, now: Micros) -> bool {
        let Some(team) = self.team(&job.spec.team) else {
            return false;
        };
        let request = job.task.times(f64::from(job.unplaced_tasks()));
        let share = |request: f64, limit: f64| if limit > 0.0 { request / limit } else { 0.0 };
        let share = share(request.cpus, team.cpus_max).max(share(request.gpus, team.gpus_max));
        starvation::is_gang_starving(share, self.ago(job.accepted_us, now))
    }

    /// An array without any started task that has waited so long that one task goes before all others of its
    /// importance. (Scenario largest_arrays_begin.)
    fn is_array_starving(&self, job: &Job, now: Micros) -> bool {
        let has_started = !job.attempts.is_empty() || job.done.count() > 0;
        !has_started && starvation::is_array_starving(self.ago(job.accepted_us, now))
    }
}
