//! The rules, checked against what is true.

use super::{JobGroundTruth, START_TIME_OF_DAY, Simulation};
use hopyoke_calendar::StaffedHours;
use hopyoke_protocol::user::{JobKind, JobSpec, JobState};
use hopyoke_protocol::worker::TaskState;
use hopyoke_scheduler::Resources;
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, JobId, MachineId, ModRevision, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// See PROTOCOL, and the users' word on days with troubles.
const MAX_UNANSWERED: Micros = Micros::from_secs(75);

/// After the troubles no job may wait for so long though it could run, and how often that is looked at.
const MAX_SCHEDULABLE_WAIT: Micros = Micros::from_secs(90);
const SCHEDULABLE_CHECK_INTERVAL: Micros = Micros::from_secs(2);
/// A worker's report holds so many attempts that no controller puts more on its machine.
const MAX_ATTEMPTS_PER_HEARTBEAT: usize = 500;

/// What is left of a machine on which work could begin.
struct Room {
    kind: String,
    zone: String,
    spot: bool,
    free: Resources,
}

/// What one job's tasks take, hold and have done.
#[derive(Default)]
struct Held {
    tasks: BTreeSet<u32>,
    zones: BTreeMap<String, u32>,
}

impl Simulation {
    pub(crate) fn record_violation(&mut self, rule: &str, what: String) {
        self.violations
            .push(format!("{:.3} s: {rule}: {what}", self.now.as_secs_f64()));
    }

    /// Tasks that are on a machine: from when they have their image until they exit.
    fn present(&self) -> Vec<(MachineId, TaskId, Attempt)> {
        let mut out = Vec::new();
        for m in self.machines.values() {
            for ((t, a), x) in &m.tasks {
                if !matches!(x.state, TaskState::Ended | TaskState::Fetching) {
                    out.push((m.id.clone(), t.clone(), *a));
                }
            }
        }
        out
    }

    /// At the moment a task starts on a machine.
    pub(crate) fn check_task_start(&mut self, id: &MachineId, task: &TaskId) {
        let m = &self.machines[id];
        let (zone, kind, spot) = (m.zone.clone(), m.kind.clone(), m.spot);
        let spec = self.jobs[&task.job].spec.clone();
        let present = self.present();
        if let Some((other, _, _)) = present.iter().find(|(o, t, _)| t == task && o != id) {
            self.record_violation(
                "ran_twice",
                format!("{task} starts on {id} while on {other}"),
            );
        }
        let here = |z: &String| {
            present
                .iter()
                .filter(|(o, t, _)| t.job == task.job && t != task && self.machines[o].zone == *z)
                .count()
        };
        let others = present
            .iter()
            .filter(|(_, t, _)| t.job == task.job && t != task)
            .count();
        let types_ok = spec.types.as_ref().is_none_or(|t| t.contains(&kind));
        let zone_ok = spec.zone.as_ref().is_none_or(|z| *z == zone);
        let together = !spec.one_zone || here(&zone) == others;
        let apart = !spec.spread || here(&zone) < spec.tasks.div_ceil(2) as usize;
        if !types_ok || !zone_ok || !together || !apart || (spot && !spec.spot) {
            self.record_violation(
                "wrong_place",
                format!("{task} starts on {id} ({kind}, {zone}, spot {spot})"),
            );
        }
        if let Some(h) = &self.hours {
            // By true time, and without any margin.
            let truth = StaffedHours {
                skew: Micros::ZERO,
                margin: Micros::ZERO,
                ..h.clone()
            };
            if truth.holds(&spec) && !truth.at(START_TIME_OF_DAY + self.now).staffed {
                self.record_violation(
                    "unstaffed",
                    format!("{task} starts on {id} while nobody is there"),
                );
            }
        }
        if let Some(t) = self.jobs[&task.job].cancelled_at {
            self.starts_after_cancellation.push(self.now - t);
            if self.now > t + self.cancellation_bound {
                self.record_violation("ran_cancelled", format!("{task} starts on {id}"));
            }
        }
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for t in present.iter().map(|p| &p.1).chain(std::iter::once(task)) {
            let s = &self.jobs[&t.job].spec;
            let u = used.entry(s.team.clone()).or_default();
            *u = (u.0 + s.cpus, u.1 + s.gpus);
        }
        for (name, (cpus, gpus)) in used {
            let team = self.team(&name);
            if (team.cpus_max > 0.0 && cpus > team.cpus_max + 1e-6)
                || (team.gpus_max > 0.0 && gpus > team.gpus_max + 1e-6)
            {
                self.record_violation(
                    "quota",
                    format!("team {name} uses {cpus} cpus and {gpus} gpus"),
                );
            }
        }
    }

    /// After every step.
    pub(crate) fn check_invariants(&mut self) {
        let late: Vec<TaskId> = self
            .present()
            .into_iter()
            .map(|p| p.1)
            .filter(|t| {
                self.jobs[&t.job]
                    .cancelled_at
                    .is_some_and(|c| self.now > c + self.cancellation_bound)
            })
            .collect();
        for t in late {
            self.record_violation("ran_cancelled", format!("{t} is still there"));
        }
        if self.now >= self.next_schedulable_check_at {
            self.next_schedulable_check_at = self.now + SCHEDULABLE_CHECK_INTERVAL;
            self.check_schedulable_jobs();
        }
        let mut wrong = Vec::new();
        // Once the troubles are over a job whose questions all fail for so long counts as forgotten.
        let calm = self.faults_end_at + MAX_UNANSWERED;
        if self.limits.is_none() && self.now > calm {
            let silent = |j: &JobGroundTruth| {
                j.accepted_at
                    .is_some_and(|t| self.now > t.max(j.last_answer_at) + MAX_UNANSWERED)
            };
            let lost = self
                .jobs
                .iter()
                .find(|(_, j)| silent(j))
                .map(|(id, _)| id.to_string());
            wrong.extend(lost.map(|id| ("forgotten", format!("{id} has had no answer"))));
        }
        // What is over and well is looked at again only now and then.
        self.check_count += 1;
        if self.check_count.is_multiple_of(512) {
            self.verified_jobs.clear();
        }
        let mut over = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(id, _)| !self.verified_jobs.contains(*id))
        {
            let unfinished = self.kv_store.keys.contains_key(&format!("job/{id}"));
            let end = self.end_of(id);
            if job.malformed_body.is_some() && (unfinished || end.is_some()) {
                wrong.push(("accepted_odd", id.to_string()));
            }
            if job.accepted_at.is_some() && !unfinished && end.is_none() {
                wrong.push(("forgotten", id.to_string()));
            }
            match end {
                Some(JobState::Done) if !job.done.iter().all(|d| *d) => {
                    wrong.push(("not_done", id.to_string()))
                }
                Some(JobState::Done) if job.cancelled_at.is_some() => {
                    wrong.push(("went_back", id.to_string()))
                }
                _ => {}
            }
            if job.cancelled_at.is_some() && end != Some(JobState::Cancelled) {
                wrong.push(("went_back", id.to_string()));
            }
            if end.is_some() && !unfinished {
                over.push(id.clone());
            }
        }
        if wrong.is_empty() {
            self.verified_jobs.extend(over);
        }
        for (rule, what) in wrong {
            self.record_violation(rule, what);
        }
    }

    /// Once the troubles are over no job waits long while there is room for it by what is true: a machine that fits,
    /// is up and of no trouble, and its team's limit. Of a job that none of its tasks holds a place, of a service any.
    fn check_schedulable_jobs(&mut self) {
        let now = self.now;
        if now < self.faults_end_at {
            return self.schedulable_since.clear();
        }
        let mut held: BTreeMap<JobId, Held> = BTreeMap::new();
        let mut used: BTreeMap<String, Resources> = BTreeMap::new();
        let mut rooms = Vec::new();
        for m in self.machines.values() {
            let mut free = Resources::of_type(&self.machine_type(&m.kind));
            for ((task, _), _) in m.tasks.iter().filter(|(_, t)| t.state != TaskState::Ended) {
                let spec = &self.jobs[&task.job].spec;
                let takes = Resources::of_task(spec);
                free = free - takes;
                let team = used.entry(spec.team.clone()).or_default();
                *team = *team + takes;
                let held = held.entry(task.job.clone()).or_default();
                held.tasks.insert(task.index);
                *held.zones.entry(m.zone.clone()).or_default() += 1;
            }
            let sound = m.up
                && m.hangs_until <= now
                && m.responses_lost_until <= now
                && !m.is_faulty
                && m.slowdown == 1.0;
            if sound
                && m.preemption_at.is_none()
                && m.tasks.len() < MAX_ATTEMPTS_PER_HEARTBEAT
                && free.cpus > 0.0
            {
                rooms.push(Room {
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    free,
                });
            }
        }
        let none = Held::default();
        let mut schedulable_since = BTreeMap::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(id, _)| !self.verified_jobs.contains(*id))
        {
            let open = job.accepted_at.is_some()
                && job.observed_end.is_none()
                && !job.cancel_requested
                && !job.always_fails;
            if !open || job.done_at.is_some() {
                continue;
            }
            let held = held.get(id).unwrap_or(&none);
            let service = job.spec.kind == JobKind::Service;
            let lacks = if service {
                held.tasks.len() < job.spec.tasks as usize
            } else {
                held.tasks.is_empty()
            };
            if lacks && self.could_run(&job.spec, held, &rooms, &used) {
                schedulable_since.insert(
                    id.clone(),
                    self.schedulable_since.get(id).copied().unwrap_or(now),
                );
            }
        }
        let late = schedulable_since
            .iter()
            .find(|(_, since)| now > **since + MAX_SCHEDULABLE_WAIT)
            .map(|(id, _)| id.clone());
        self.schedulable_since = schedulable_since;
        if let Some(id) = late {
            let scheduler = self
                .leader()
                .and_then(|i| self.nodes[i].leadership.as_ref())
                .map(|l| &l.scheduler);
            let why = scheduler.map_or("no leader", |c| {
                c.jobs.get(&id).map_or("unknown", |j| j.waits_for)
            });
            self.record_violation(
                "waits",
                format!("{id} could have begun for {MAX_SCHEDULABLE_WAIT:?} ({why})"),
            );
        }
    }

    /// One more task of a job, or all of a gang's, could begin.
    fn could_run(
        &self,
        spec: &JobSpec,
        held: &Held,
        rooms: &[Room],
        used: &BTreeMap<String, Resources>,
    ) -> bool {
        if let Some(h) = &self.hours
            && h.holds(spec)
        {
            return false;
        }
        let gang = spec.kind == JobKind::Gang;
        let task = Resources::of_task(spec);
        let tasks = if gang { spec.tasks } else { 1 };
        let taken = used.get(&spec.team).copied().unwrap_or_default();
        if !self
            .team(&spec.team)
            .allows(&(taken + task.times(f64::from(tasks))))
        {
            return false;
        }
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for r in rooms {
            let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&r.kind))
                && spec.zone.as_ref().is_none_or(|z| *z == r.zone)
                && (spec.spot || !r.spot);
            if allowed {
                let room = by_zone.entry(&r.zone).or_default();
                *room = room.saturating_add(r.free.holds(&task));
            }
        }
        let half = spec.tasks.div_ceil(2);
        for (zone, room) in &mut by_zone {
            let here = held.zones.get(*zone).copied().unwrap_or(0);
            if spec.one_zone && held.zones.keys().any(|z| z != zone) {
                *room = 0;
            }
            if spec.spread {
                *room = (*room).min(half.saturating_sub(here));
            }
        }
        let capacity = if spec.one_zone {
            by_zone.values().max().copied().unwrap_or(0)
        } else {
            by_zone.values().sum()
        };
        capacity >= tasks
    }

    pub(crate) fn end_of(&self, id: &JobId) -> Option<JobState> {
        Some(self.end_with_revision(id)?.0)
    }

    /// A job's final state, and the revision that made it final.
    pub(crate) fn end_with_revision(&self, id: &JobId) -> Option<(JobState, ModRevision)> {
        let entry = self.kv_store.keys.get(&format!("end/{id}"))?;
        match &entry.value {
            super::kv_store::Value::End(e) => Some((e.state, ModRevision(entry.mod_revision))),
            _ => None,
        }
    }

    /// Tasks of a job that run now.
    pub(crate) fn running(&self, id: &JobId) -> usize {
        let states = self.machines.values().flat_map(|m| m.tasks.iter());
        states
            .filter(|((t, _), x)| t.job == *id && x.state == TaskState::Running)
            .count()
    }

    pub(crate) fn done_after(&self, id: &JobId) -> Option<Micros> {
        self.jobs.get(id).and_then(|j| j.done_at)
    }
}
