//! Attempts that must end before anything else is placed.

use crate::Scheduler;
use hopyoke_protocol::user::JobKind;
use hopyoke_types::{Attempt, JobId, MachineId};
use std::collections::BTreeSet;

impl Scheduler {
    /// Gangs that lost a task after they started, or that are to move, must end altogether first;
    /// services leave machines that are about to be taken.
    pub(crate) fn stop_finished(&mut self) {
        let mut stops: Vec<(MachineId, JobId, u32, Attempt, f64)> = Vec::new();
        let mut moving: BTreeSet<JobId> = BTreeSet::new();
        for m in self
            .machines
            .values()
            .filter(|m| m.preemption_notice_at.is_some() || m.faulty)
        {
            for ((task, attempt), _) in m.allocations().iter().filter(|(_, s)| s.is_live()) {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                match job.spec.kind {
                    JobKind::Service => {
                        stops.push((
                            m.id.clone(),
                            task.job.clone(),
                            task.index,
                            *attempt,
                            job.spec.save_s,
                        ));
                    }
                    JobKind::Gang => {
                        moving.insert(task.job.clone());
                    }
                    JobKind::Array => {}
                }
            }
        }
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| j.is_gang()) {
            let placed = job.attempts.len() as u32;
            if placed == 0 {
                job.gang_failing = false;
                job.gang_started = false;
                continue;
            }
            if job.gang_started && placed < job.spec.tasks {
                job.gang_failing = true;
            }
            let moved = moving.contains(id);
            for (&index, attempts) in &job.attempts {
                for (m, attempt) in attempts {
                    if job.gang_failing || *attempt != job.start_attempt {
                        stops.push((m.clone(), id.clone(), index, *attempt, 0.0));
                    } else if moved {
                        // Orderly stop: all are told at once and may save.
                        stops.push((
                            m.clone(),
                            id.clone(),
                            index,
                            *attempt,
                            job.spec.save_s + 1.0,
                        ));
                    }
                }
            }
        }
        for (machine, job, index, attempt, grace) in stops {
            self.stop_allocation(&machine, &job, index, attempt, grace);
        }
    }
}
