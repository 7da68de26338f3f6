//! Attempts that must end before anything else is placed.

use crate::Scheduler;
use hopyoke_protocol::user::JobKind;
use hopyoke_types::{Attempt, JobId, MachineId};
use std::collections::BTreeSet;

/// A stop command to be given.
struct StopRequest {
    machine: MachineId,
    job: JobId,
    index: u32,
    attempt: Attempt,
    /// Seconds for a checkpoint; 0: at once.
    grace_s: f64,
}

impl Scheduler {
    /// Stops gangs that lost a task after they started or that must move, as a whole; and replicas on machines that
    /// are faulty or have a preemption notice.
    pub(crate) fn stop_finished(&mut self) {
        let (mut stops, moving_gangs) = self.evictions();
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
            let is_moving = moving_gangs.contains(id);
            for (&index, attempts) in &job.attempts {
                for (machine, attempt) in attempts {
                    let grace_s = if job.gang_failing || *attempt != job.start_attempt {
                        0.0
                    } else if is_moving {
                        // Graceful: all tasks are stopped together and may write a checkpoint.
                        job.spec.checkpoint_save_s + 1.0
                    } else {
                        continue;
                    };
                    stops.push(StopRequest {
                        machine: machine.clone(),
                        job: id.clone(),
                        index,
                        attempt: *attempt,
                        grace_s,
                    });
                }
            }
        }
        for stop in stops {
            self.stop_allocation(
                &stop.machine,
                &stop.job,
                stop.index,
                stop.attempt,
                stop.grace_s,
            );
        }
    }

    /// Replicas to be stopped and gangs to be moved, for their machines are faulty or about to be preempted.
    fn evictions(&self) -> (Vec<StopRequest>, BTreeSet<JobId>) {
        let mut stops = Vec::new();
        let mut moving_gangs = BTreeSet::new();
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
                    JobKind::Service => stops.push(StopRequest {
                        machine: m.id.clone(),
                        job: task.job.clone(),
                        index: task.index,
                        attempt: *attempt,
                        grace_s: job.spec.checkpoint_save_s,
                    }),
                    JobKind::Gang => {
                        moving_gangs.insert(task.job.clone());
                    }
                    JobKind::Array => {}
                }
            }
        }
        (stops, moving_gangs)
    }
}
