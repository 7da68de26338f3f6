//! Check that no job waits long although it could run.

use crate::agent::Agent;
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::TaskState;
use hopyoke_scheduler::Resources;
use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time for which a job that could run may wait once all faults are over.
const MAX_SCHEDULABLE_WAIT: Micros = Micros::from_secs(90);

/// Maximum number of attempts on a machine. Nodes place no more, as a heartbeat could not hold them.
const MAX_ATTEMPTS_PER_HEARTBEAT: usize = 500;

/// A machine on which tasks can start, with its free resources.
struct FreeMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    free: Resources,
}

/// Tasks of a job that hold resources, and their number by zone.
#[derive(Default)]
struct Allocated {
    tasks: BTreeSet<u32>,
    zones: BTreeMap<String, u32>,
}

/// True allocation of resources to jobs and teams, and free machines.
#[derive(Default)]
struct Usage {
    jobs: BTreeMap<JobId, Allocated>,
    teams: BTreeMap<String, Resources>,
    free: Vec<FreeMachine>,
}

impl Simulation {
    /// Guards the invariant `waits`: once all faults are over no job waits long while, by the ground truth, it could
    /// run on healthy machines with enough free resources and within its team's quota. A job waits while none of its
    /// tasks holds resources, a service while any of its tasks does not.
    pub(super) fn check_schedulable_jobs(&mut self) {
        let now = self.now;
        if now < self.faults_end_at {
            return self.schedulable_since.clear();
        }
        let usage = self.usage();
        let none = Allocated::default();
        let mut schedulable_since = BTreeMap::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(id, _)| !self.verified_jobs.contains(*id))
        {
            let allocated = usage.jobs.get(id).unwrap_or(&none);
            if lacks_tasks(job, allocated) && self.could_run(&job.spec, allocated, &usage) {
                schedulable_since.insert(
                    id.clone(),
                    self.schedulable_since.get(id).copied().unwrap_or(now),
                );
            }
        }
        let overdue = schedulable_since
            .iter()
            .find(|(_, since)| now > **since + MAX_SCHEDULABLE_WAIT)
            .map(|(id, _)| id.clone());
        self.schedulable_since = schedulable_since;
        if let Some(id) = overdue {
            let wait_reason = self.leader_scheduler().map_or("no leader", |scheduler| {
                scheduler.jobs.get(&id).map_or("unknown", |j| {
                    j.wait_reason
                        .map_or("", hopyoke_scheduler::WaitReason::as_str)
                })
            });
            self.record_violation(
                "waits",
                format!("{id} could run but has waited over {MAX_SCHEDULABLE_WAIT:?}, reported reason: {wait_reason:?}"),
            );
        }
    }

    /// Returns the current allocation and the free machines.
    fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for m in self.machines.values() {
            let mut free = Resources::of_machine_type(&self.machine_type(&m.machine_type));
            for ((task, _), _) in m.tasks.iter().filter(|(_, t)| t.state != TaskState::Ended) {
                let spec = &self.jobs[&task.job].spec;
                let required = Resources::of_task(spec);
                free = free - required;
                let team = usage.teams.entry(spec.team.clone()).or_default();
                *team = *team + required;
                let allocated = usage.jobs.entry(task.job.clone()).or_default();
                allocated.tasks.insert(task.index);
                *allocated.zones.entry(m.zone.clone()).or_default() += 1;
            }
            if is_healthy(m, self.now)
                && m.preemption_at.is_none()
                && m.tasks.len() < MAX_ATTEMPTS_PER_HEARTBEAT
                && free.cpus > 0.0
            {
                usage.free.push(FreeMachine {
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    free,
                });
            }
        }
        usage
    }

    /// Returns whether one more task of a job, or all tasks of a gang, could start.
    fn could_run(&self, spec: &JobSpec, allocated: &Allocated, usage: &Usage) -> bool {
        if let Some(h) = &self.hours
            && h.holds(spec)
        {
            return false;
        }
        let is_gang = spec.kind == JobKind::Gang;
        let task = Resources::of_task(spec);
        let tasks = if is_gang { spec.tasks } else { 1 };
        let used = usage.teams.get(&spec.team).copied().unwrap_or_default();
        if !self
            .team(&spec.team)
            .is_within_limit(&(used + task.times(f64::from(tasks))))
        {
            return false;
        }
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for machine in &usage.free {
            let allowed = spec
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&machine.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
                && (spec.spot || !machine.spot);
            if allowed {
                let fitting_tasks = by_zone.entry(&machine.zone).or_default();
                *fitting_tasks = fitting_tasks.saturating_add(machine.free.max_tasks(&task));
            }
        }
        // A spread job may have at most half of its tasks in a zone.
        let max_in_zone = spec.tasks.div_ceil(2);
        for (zone, fitting_tasks) in &mut by_zone {
            let in_zone = allocated.zones.get(*zone).copied().unwrap_or(0);
            if spec.one_zone && allocated.zones.keys().any(|z| z != zone) {
                *fitting_tasks = 0;
            }
            if spec.spread {
                *fitting_tasks = (*fitting_tasks).min(max_in_zone.saturating_sub(in_zone));
            }
        }
        let capacity = if spec.one_zone {
            by_zone.values().max().copied().unwrap_or(0)
        } else {
            by_zone.values().sum()
        };
        capacity >= tasks
    }
}

/// Returns whether a job should be running but lacks tasks that hold resources: it is accepted, unfinished, not being
/// cancelled and not bound to fail.
fn lacks_tasks(job: &JobGroundTruth, allocated: &Allocated) -> bool {
    let is_open = job.accepted_at.is_some()
        && job.observed_end.is_none()
        && !job.cancel_requested
        && !job.always_fails;
    if !is_open || job.done_at.is_some() {
        return false;
    }
    if job.spec.kind == JobKind::Service {
        allocated.tasks.len() < job.spec.tasks as usize
    } else {
        allocated.tasks.is_empty()
    }
}

/// Returns whether a machine is up, reachable and neither faulty nor slow.
fn is_healthy(m: &Agent, now: Micros) -> bool {
    m.up && m.hangs_until <= now
        && m.responses_lost_until <= now
        && !m.is_faulty
        && m.slowdown == 1.0
}
