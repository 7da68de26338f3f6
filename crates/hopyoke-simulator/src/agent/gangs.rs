//! Gang scheduling on agents: the tasks of a gang run only once all of them are ready.

use crate::Simulation;
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{ExitReason, TaskState};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};

impl Simulation {
    /// Returns the tasks of a job's attempt that have not ended, with their machines.
    pub(super) fn active_tasks(&self, job: &JobId, attempt: Attempt) -> Vec<(MachineId, TaskId)> {
        let mut tasks = Vec::new();
        for m in self.machines.values() {
            for ((t, a), status) in &m.tasks {
                if t.job == *job && *a == attempt && status.state != TaskState::Ended {
                    tasks.push((m.id.clone(), t.clone()));
                }
            }
        }
        tasks
    }

    /// Runs a gang once all its tasks are waiting.
    pub(super) fn run_gang_if_ready(&mut self, job: &JobId, attempt: Attempt) {
        let members = self.active_tasks(job, attempt);
        let Some(gang) = self.jobs.get(job) else {
            return;
        };
        let is_waiting = |sim: &Simulation, m: &MachineId, t: &TaskId| {
            sim.machines[m].tasks[&(t.clone(), attempt)].state == TaskState::Waiting
        };
        if members.len() == gang.spec.tasks as usize
            && members.iter().all(|(m, t)| is_waiting(self, m, t))
        {
            for (m, t) in members {
                let epoch = self.agent_epoch(&m);
                self.run_task(&m, epoch, &(t, attempt));
            }
        }
    }

    /// Ends the remaining tasks of a running gang that has lost one. Each notices the loss after a random delay.
    pub(crate) fn end_gang_on_member_loss(&mut self, job: &JobId, attempt: Attempt) {
        let detection_timeout = self.config.gang_peer_timeout;
        if self
            .jobs
            .get(job)
            .is_none_or(|j| j.spec.kind != JobKind::Gang)
        {
            return;
        }
        for (m, t) in self.active_tasks(job, attempt) {
            let key = (t, attempt);
            let state = self.machines[&m].tasks[&key].state;
            if matches!(state, TaskState::Running | TaskState::Saving) {
                let epoch = self.agent_epoch(&m);
                let delay = Micros(self.random(0, detection_timeout.0));
                self.schedule_on_machine(&m.clone(), delay, move |sim| {
                    if sim.active_task(&m, epoch, &key).is_some() {
                        sim.end_task(&m, &key, ExitReason::GangPeersLost, false);
                    }
                });
            }
        }
    }
}
