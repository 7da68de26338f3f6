//! The rules, checked against what is true.

use super::{DAWN, Truth, World};
use hopyoke_calendar::Hours;
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, JobId, MachineId, Mark, TaskId};
use hopyoke_wire::user::JobState;
use hopyoke_wire::worker::TaskState;
use std::collections::BTreeMap;

/// See PROTOCOL, and the users' word on days with troubles.
const UNANSWERED: Micros = Micros::from_secs(75);

impl World {
    pub fn broke(&mut self, rule: &str, what: String) {
        self.broken.push(format!("{:.3} s: {rule}: {what}", self.now.as_secs_f64()));
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
    pub fn check_start(&mut self, id: &MachineId, task: &TaskId) {
        let m = &self.machines[id];
        let (zone, kind, spot) = (m.zone.clone(), m.kind.clone(), m.spot);
        let spec = self.jobs[&task.job].spec.clone();
        let present = self.present();
        if let Some((other, _, _)) = present.iter().find(|(o, t, _)| t == task && o != id) {
            self.broke("ran_twice", format!("{task} starts on {id} while on {other}"));
        }
        let here = |z: &String| {
            present
                .iter()
                .filter(|(o, t, _)| t.job == task.job && t != task && self.machines[o].zone == *z)
                .count()
        };
        let others = present.iter().filter(|(_, t, _)| t.job == task.job && t != task).count();
        let types_ok = spec.types.as_ref().is_none_or(|t| t.contains(&kind));
        let zone_ok = spec.zone.as_ref().is_none_or(|z| *z == zone);
        let together = !spec.one_zone || here(&zone) == others;
        let apart = !spec.spread || here(&zone) < spec.tasks.div_ceil(2) as usize;
        if !types_ok || !zone_ok || !together || !apart || (spot && !spec.spot) {
            self.broke("wrong_place", format!("{task} starts on {id} ({kind}, {zone}, spot {spot})"));
        }
        if let Some(h) = &self.hours {
            // By true time, and without any margin.
            let truth = Hours { skew: Micros::ZERO, margin: Micros::ZERO, ..h.clone() };
            if truth.holds(&spec) && !truth.at(DAWN + self.now).staffed {
                self.broke("unstaffed", format!("{task} starts on {id} while nobody is there"));
            }
        }
        if let Some(t) = self.jobs[&task.job].cancelled
            && self.now > t + self.cancel_s
        {
            self.broke("ran_cancelled", format!("{task} starts on {id}"));
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
                self.broke("quota", format!("team {name} uses {cpus} cpus and {gpus} gpus"));
            }
        }
    }

    /// After every step.
    pub fn check_rules(&mut self) {
        let late: Vec<TaskId> = self
            .present()
            .into_iter()
            .map(|p| p.1)
            .filter(|t| self.jobs[&t.job].cancelled.is_some_and(|c| self.now > c + self.cancel_s))
            .collect();
        for t in late {
            self.broke("ran_cancelled", format!("{t} is still there"));
        }
        let mut wrong = Vec::new();
        // Once the troubles are over a job whose questions all fail for so long counts as forgotten.
        let calm = self.trouble_until + UNANSWERED;
        if self.limits.is_none() && self.now > calm {
            let silent = |j: &Truth| j.accepted.is_some_and(|t| self.now > t.max(j.answered) + UNANSWERED);
            let lost = self.jobs.iter().find(|(_, j)| silent(j)).map(|(id, _)| id.to_string());
            wrong.extend(lost.map(|id| ("forgotten", format!("{id} has had no answer"))));
        }
        // What is over and well is looked at again only now and then.
        self.checks += 1;
        if self.checks.is_multiple_of(512) {
            self.settled.clear();
        }
        let mut over = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(id, _)| !self.settled.contains(*id)) {
            let unfinished = self.store.keys.contains_key(&format!("job/{id}"));
            let end = self.end_of(id);
            if job.accepted.is_some() && !unfinished && end.is_none() {
                wrong.push(("forgotten", id.to_string()));
            }
            match end {
                Some(JobState::Done) if !job.done.iter().all(|d| *d) => wrong.push(("not_done", id.to_string())),
                Some(JobState::Done) if job.cancelled.is_some() => wrong.push(("went_back", id.to_string())),
                _ => {}
            }
            if job.cancelled.is_some() && end != Some(JobState::Cancelled) {
                wrong.push(("went_back", id.to_string()));
            }
            if end.is_some() && !unfinished {
                over.push(id.clone());
            }
        }
        if wrong.is_empty() {
            self.settled.extend(over);
        }
        for (rule, what) in wrong {
            self.broke(rule, what);
        }
    }

    pub fn end_of(&self, id: &JobId) -> Option<JobState> {
        Some(self.end_with_mark(id)?.0)
    }

    /// A job's final state, and the revision that made it final.
    pub fn end_with_mark(&self, id: &JobId) -> Option<(JobState, Mark)> {
        let entry = self.store.keys.get(&format!("end/{id}"))?;
        match &entry.value {
            super::store::Value::End(e) => Some((e.state, Mark(entry.mark))),
            _ => None,
        }
    }

    /// Tasks of a job that run now.
    pub fn running(&self, id: &JobId) -> usize {
        let states = self.machines.values().flat_map(|m| m.tasks.iter());
        states.filter(|((t, _), x)| t.job == *id && x.state == TaskState::Running).count()
    }

    pub fn done_after(&self, id: &JobId) -> Option<Micros> {
        self.jobs.get(id).and_then(|j| j.done_at)
    }
}
