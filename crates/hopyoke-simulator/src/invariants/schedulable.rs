//! No job waits long though it could run.

use crate::agent::Agent;
use crate::{JobGroundTruth, Simulation};
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_protocol::worker::TaskState;
use hopyoke_scheduler::Resources;
use hopyoke_types::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Once all faults are over, no job may wait for so long though it could run.
const MAX_SCHEDULABLE_WAIT: Micros = Micros::from_secs(90);

/// A heartbeat holds so many attempts that no node puts more on the machine.
const MAX_ATTEMPTS_PER_HEARTBEAT: usize = 500;

/// Free resources of a machine on which tasks can start.
struct FreeMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    free: Resources,
}

/// Tasks of a job that hold resources.
#[derive(Default)]
struct Allocated {
    tasks: BTreeSet<u32>,
    zones: BTreeMap<String, u32>,
}

/// What is allocated and free by what is true.
#[derive(Default)]
struct Usage {
    jobs: BTreeMap<JobId, Allocated>,
    teams: BTreeMap<String, Resources>,
    free: Vec<FreeMachine>,
}

impl Simulation {
    /// Guards `waits`: once all faults are over no job waits long while it could run by what is true: on a machine
    /// that fits, is up and sound, and within its team's quota. A job could run of which no task holds resources, a
    /// service of which any task lacks them.
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
            let why = self.leader_scheduler().map_or("no leader", |c| {
                c.jobs.get(&id).map_or("unknown", |j| {
                    j.wait_reason
                        .map_or("", hopyoke_scheduler::WaitReason::as_str)
                })
            });
            self.record_violation(
                "waits",
                format!("{id} could have begun for {MAX_SCHEDULABLE_WAIT:?} ({why})"),
            );
        }
    }

    /// What is allocated and free now.
    fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for m in self.machines.values() {
            let mut free = Resources::of_type(&self.machine_type(&m.machine_type));
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

    /// One more task of a job, or all of a gang's, could begin.
    fn could_run(&self, spec: &JobSpec, allocated: &Allocated, usage: &Usage) -> bool {
        if let Some(h) = &self.hours
            && h.holds(spec)
        {
            return false;
        }
        let gang = spec.kind == JobKind::Gang;
        let task = Resources::of_task(spec);
        let tasks = if gang { spec.tasks } else { 1 };
        let taken = usage.teams.get(&spec.team).copied().unwrap_or_default();
        if !self
            .team(&spec.team)
            .allows(&(taken + task.times(f64::from(tasks))))
        {
            return false;
        }
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for r in &usage.free {
            let allowed = spec
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&r.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == r.zone)
                && (spec.spot || !r.spot);
            if allowed {
                let fitting_tasks = by_zone.entry(&r.zone).or_default();
                *fitting_tasks = fitting_tasks.saturating_add(r.free.holds(&task));
            }
        }
        let half = spec.tasks.div_ceil(2);
        for (zone, fitting_tasks) in &mut by_zone {
            let in_zone = allocated.zones.get(*zone).copied().unwrap_or(0);
            if spec.one_zone && allocated.zones.keys().any(|z| z != zone) {
                *fitting_tasks = 0;
            }
            if spec.spread {
                *fitting_tasks = (*fitting_tasks).min(half.saturating_sub(in_zone));
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

/// Tasks of a job that is open, and of which more could run, hold no resources.
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

/// A machine is up, reachable and neither faulty nor slow.
fn is_healthy(m: &Agent, now: Micros) -> bool {
    m.up && m.hangs_until <= now
        && m.responses_lost_until <= now
        && !m.is_faulty
        && m.slowdown == 1.0
}
