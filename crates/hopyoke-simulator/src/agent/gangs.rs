//! Gangs: tasks of a job that run only together.

use crate::Simulation;
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};

impl Simulation {
    /// Tasks of a job's attempt that have not ended, and their machines.
    pub(super) fn active_tasks(&self, job: &JobId, attempt: Attempt) -> Vec<(MachineId, TaskId)> {
        let mut out = Vec::new();
        for m in self.machines.values() {
            for ((t, a), status) in &m.tasks {
                if t.job == *job && *a == attempt && status.state != TaskState::Ended {
                    out.push((m.id.clone(), t.clone()));
                }
            }
        }
        out
    }

    /// Begins a gang once all its tasks wait for it.
    pub(super) fn run_gang_if_ready(&mut self, job: &JobId, attempt: Attempt) {
        let members = self.active_tasks(job, attempt);
        let Some(truth) = self.jobs.get(job) else {
            return;
        };
        let is_waiting = |sim: &Simulation, m: &MachineId, t: &TaskId| {
            sim.machines[m].tasks[&(t.clone(), attempt)].state == TaskState::Waiting
        };
        if members.len() == truth.spec.tasks as usize
            && members.iter().all(|(m, t)| is_waiting(self, m, t))
        {
            for (m, t) in members {
                let s = self.agent_epoch(&m);
                self.run_task(&m, s, &(t, attempt));
            }
        }
    }

    /// The other tasks of a running gang notice that one is gone.
    pub(crate) fn end_gang_on_member_loss(&mut self, job: &JobId, attempt: Attempt) {
        let peer = self.config.gang_peer;
        if self
            .jobs
            .get(job)
            .is_none_or(|j| j.spec.kind != JobKind::Gang)
        {
            return;
        }
        for (m, t) in self.active_tasks(job, attempt) {
            let key = (t, attempt);
            let running = self.machines[&m].tasks[&key].state;
            if matches!(running, TaskState::Running | TaskState::Saving) {
                let s = self.agent_epoch(&m);
                let wait = Micros(self.random(0, peer.0));
                self.schedule_on_machine(&m.clone(), wait, move |sim| {
                    if sim.active_task(&m, s, &key).is_some() {
                        sim.end_task(&m, &key, ExitReason::GangPeersLost, false);
                    }
                });
            }
        }
    }
}
