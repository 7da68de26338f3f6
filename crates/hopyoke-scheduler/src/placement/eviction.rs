//! Eviction of tasks that are disrupted by failures, faulty machines or preemption notices of the
//! cloud.

use crate::Scheduler;
use hopyoke_protocol::user::JobKind;
use hopyoke_types::{Attempt, JobId, MachineId};
use std::collections::BTreeSet;

/// A stop command to be issued.
struct StopRequest {
    machine: MachineId,
    job: JobId,
    index: u32,
    attempt: Attempt,
    /// Grace period for writing a checkpoint, in seconds; 0 stops the attempt immediately.
    grace_s: f64,
}

impl Scheduler {
    /// Stops gangs and service replicas that can't continue where they are.
    ///
    /// A gang is stopped as a whole if it lost a task after its start, or if one of its machines is
    /// faulty or has a preemption notice. Replicas on such machines are stopped one by one.
    /// Attempts of earlier gang placements are stopped as well.
    pub(crate) fn evict_disrupted_tasks(&mut self) {
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
                        // All tasks are stopped together, with a grace period in which they may
                        // write a checkpoint.
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

    /// Returns the stop requests for replicas, and the gangs to be moved, on machines that are
    /// faulty or have a preemption notice.
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
