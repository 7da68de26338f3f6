//! Bookkeeping of attempts, which the ledger holds by machine (allocations) and by job.

use crate::Scheduler;
use crate::ledger::{AllocationState, Job, Machine, StopRequest};
use hopyoke_protocol::user::JobSpec;
use hopyoke_run_times::RunOutcome;
use hopyoke_types::{Attempt, JobId, MachineId, TaskId};
use std::rc::Rc;

impl Scheduler {
    /// Removes all allocations of a machine, none of which exists any more. Returns the number of live ones.
    pub(crate) fn clear_allocations(&mut self, id: &MachineId) -> usize {
        let Some(m) = self.machines.get_mut(id) else {
            return 0;
        };
        let allocations = std::mem::take(m.allocations_mut());
        // Running tasks are assumed to have run until the machine's last status.
        let last_seen_at = m.last_seen;
        self.commands_due.remove(id);
        let mut live_attempts = 0;
        for ((task, attempt), allocation) in allocations {
            if allocation.is_live() {
                live_attempts += 1;
                if allocation.running_since.is_some() {
                    self.record_run_end(id, &task, attempt, RunOutcome::Censored, last_seen_at);
                }
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                forget_attempt(job, &task, id, attempt);
            }
        }
        if live_attempts > 0 {
            self.placement_schedule.request();
        }
        live_attempts
    }

    /// Assigns allocations that agents reported before the job was in the ledger to the job.
    pub(crate) fn adopt_allocations(&mut self, id: &JobId, spec: &Rc<JobSpec>) {
        let mut found = Vec::new();
        let orphaned = |m: &Machine| {
            m.allocations()
                .iter()
                .any(|((t, _), s)| t.job == *id && s.spec.is_none())
        };
        for m in self.machines.values_mut().filter(|m| orphaned(m)) {
            let machine = m.id.clone();
            for ((task, attempt), allocation) in m.allocations_mut() {
                if task.job == *id && allocation.spec.is_none() {
                    allocation.spec = Some(spec.clone());
                    if allocation.is_live() {
                        found.push((machine.clone(), task.clone(), *attempt));
                    }
                }
            }
        }
        for (machine, task, attempt) in found {
            self.add_attempt(&machine, &task, attempt);
        }
    }

    pub(crate) fn add_attempt(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.attempts
                .entry(task.index)
                .or_default()
                .push((id.clone(), attempt));
        }
    }

    pub(crate) fn remove_attempt(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            forget_attempt(job, task, id, attempt);
        }
    }

    /// Requests the stop of an attempt, with a grace period in seconds. An attempt whose start command was
    /// never sent is removed immediately.
    pub(crate) fn stop_allocation(
        &mut self,
        id: &MachineId,
        job: &JobId,
        index: u32,
        attempt: Attempt,
        grace_s: f64,
    ) {
        let key = (
            TaskId {
                job: job.clone(),
                index,
            },
            attempt,
        );
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(allocation) = m.allocations().get(&key) else {
            return;
        };
        if allocation.state == AllocationState::Unconfirmed
            && allocation.start_sent_with.is_none()
            && !allocation.push_in_flight
            && !allocation.outcome_unknown
        {
            m.allocations_mut().remove(&key);
            self.placement_schedule.request();
            return self.remove_attempt(id, &key.0, attempt);
        }
        let stop = StopRequest { grace_s };
        // A later stop may only shorten the grace period.
        if allocation.is_live()
            && allocation.stop.is_none_or(|s| grace_s < s.grace_s)
            && let Some(allocation) = m.allocations_mut().get_mut(&key)
        {
            allocation.stop = Some(stop);
            self.commands_due.insert(id.clone());
        }
    }
}

pub(crate) fn forget_attempt(job: &mut Job, task: &TaskId, id: &MachineId, attempt: Attempt) {
    if let Some(attempts) = job.attempts.get_mut(&task.index) {
        attempts.retain(|(m, a)| !(m == id && *a == attempt));
        if attempts.is_empty() {
            job.attempts.remove(&task.index);
        }
    }
}
