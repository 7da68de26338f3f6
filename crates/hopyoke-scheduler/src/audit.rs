//! Checks of incrementally kept sums against a full recount; for scenarios.

use crate::Scheduler;
use crate::ledger::{Job, Machine};
use hopyoke_types::JobId;

impl Scheduler {
    /// Differences between the sums that are kept up to date with the changes and the same sums counted anew.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for machine in self.machines.values() {
            self.audit_machine(machine, &mut faults);
        }
        for (id, job) in &self.jobs {
            self.audit_job(id, job, &mut faults);
        }
        faults
    }

    fn audit_machine(&self, m: &Machine, faults: &mut Vec<String>) {
        if let Some(kept) = m.cached_load()
            && *kept != m.compute_load(&self.cfg.teams)
        {
            faults.push(format!("sums of {} are stale: {kept:?}", m.id));
        }
        if m.is_registered && !self.registry.contains(&m.id) {
            faults.push(format!("{} counts as registered but is on no page", m.id));
        }
    }

    fn audit_job(&self, id: &JobId, job: &Job, faults: &mut Vec<String>) {
        if job.needs_write() && !self.writes.is_dirty(id) {
            faults.push(format!("{id} has something to write that nobody noted"));
        }
        let open = job
            .done
            .missing(job.spec.tasks)
            .filter(|i| !job.attempts.contains_key(i))
            .count();
        if open as u32 != job.unplaced_tasks() {
            faults.push(format!(
                "{id} has {open} tasks without a place, not {}",
                job.unplaced_tasks()
            ));
        }
    }
}
