//! Consistency checks of incrementally maintained state, for tests.

use crate::Scheduler;
use crate::ledger::{Job, Machine};
use hopyoke_types::JobId;

impl Scheduler {
    /// Compares incrementally maintained state with a full recomputation. Returns a description of each
    /// difference.
    pub fn audit(&self) -> Vec<String> {
        let mut differences = Vec::new();
        for machine in self.machines.values() {
            self.audit_machine(machine, &mut differences);
        }
        for (id, job) in &self.jobs {
            self.audit_job(id, job, &mut differences);
        }
        differences
    }

    fn audit_machine(&self, m: &Machine, differences: &mut Vec<String>) {
        if let Some(cached) = m.cached_load()
            && *cached != m.compute_load(&self.cfg.teams)
        {
            differences.push(format!("cached load of {} is stale: {cached:?}", m.id));
        }
        if m.is_registered && !self.registry.contains(&m.id) {
            differences.push(format!(
                "{} is marked as registered but is on no registry page",
                m.id
            ));
        }
    }

    fn audit_job(&self, id: &JobId, job: &Job, differences: &mut Vec<String>) {
        if job.needs_write() && !self.writes.is_dirty(id) {
            differences.push(format!("{id} needs a write but is not marked dirty"));
        }
        let unplaced = job
            .done
            .missing(job.spec.tasks)
            .filter(|i| !job.attempts.contains_key(i))
            .count();
        if unplaced as u32 != job.unplaced_tasks() {
            differences.push(format!(
                "{id} has {unplaced} unplaced tasks, but {} are counted",
                job.unplaced_tasks()
            ));
        }
    }
}
