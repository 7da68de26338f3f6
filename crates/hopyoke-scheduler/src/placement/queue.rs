//! The job queue of one cycle: jobs with unplaced tasks, ordered by tier, priority and age.

use super::queue_order::{self, WaitingJob};
use super::starvation;
use crate::resources::Resources;
use crate::{Job, Scheduler};
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::{JobId, Micros};
use std::collections::BTreeMap;

/// Substitute for the acceptance time of a starving gang, which sorts before all jobs of the same
/// tier and priority.
const STARVING_GANG_ACCEPTED_US: u64 = 0;
/// Substitute for the acceptance time of a starving array, which sorts directly after starving
/// gangs: these need their team's limit all at once.
const STARVING_ARRAY_ACCEPTED_US: u64 = 1;

/// Sort key of a job in the queue, compared field by field.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    /// Priority tier, 0 being the highest; see [`priority_tier`].
    pub(super) tier: u8,
    pub(super) priority: Priority,
    /// Acceptance time in microseconds, or one of the substitutes for starving jobs.
    pub(super) accepted_us: u64,
    pub(super) job: JobId,
}

/// A job to be placed, in queue order.
pub(super) struct QueueItem {
    pub(super) job: JobId,
    /// Whether to place only the first task of a starving array. The array has a second item at its
    /// regular position.
    pub(super) first_task_only: bool,
}

/// Key of jobs that may be reordered among each other: same team, class of work, tier and priority.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Tenant<'a> {
    tier: u8,
    priority: Priority,
    team: &'a str,
    work_class: &'a str,
}

/// Returns the priority tier. Work within its team's guarantee ranks directly after production
/// work.
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
    /// Returns the jobs with unplaced tasks in placement order, and clears the wait reason of all
    /// others.
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

    /// Returns the entries of all jobs with unplaced tasks, and the fully placed jobs that still
    /// have a wait reason.
    ///
    /// A team's guarantee is allotted to its jobs in order of acceptance.
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
                claimed_by_team[t] = claimed_by_team[t] + job.task_resources.times(unfinished);
                self.cfg.teams[t].is_within_guarantee(&claimed_by_team[t])
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

    /// Reorders the arrays and gangs of each tenant, so that most of them are served when the
    /// tenant submits more work than its limit allows.
    ///
    /// Guards against days on which less than half of a class's jobs end although the team's limit
    /// is fully used. (Scenario `burst_mostly_served`.)
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
                waited: self.elapsed_since(entry.accepted_us, now),
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

    /// Returns whether the gang is starving because it needs a large part of its team's limit at
    /// once.
    fn is_gang_starving(&self, job: &Job, now: Micros) -> bool {
        let Some(team) = self.team(&job.spec.team) else {
            return false;
        };
        let request = job.task_resources.times(f64::from(job.unplaced_tasks()));
        let share = |request: f64, limit: f64| if limit > 0.0 { request / limit } else { 0.0 };
        let share = share(request.cpus, team.cpus_max).max(share(request.gpus, team.gpus_max));
        starvation::is_gang_starving(share, self.elapsed_since(job.accepted_us, now))
    }

    /// Returns whether no task of the array has started and it has waited long enough for one task
    /// to go first. (Scenario `largest_arrays_begin`.)
    fn is_array_starving(&self, job: &Job, now: Micros) -> bool {
        let has_started = !job.attempts.is_empty() || job.done.count() > 0;
        !has_started && starvation::is_array_starving(self.elapsed_since(job.accepted_us, now))
    }
}
