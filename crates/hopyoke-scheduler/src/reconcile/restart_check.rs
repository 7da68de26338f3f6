//! The check before any start of a task: compares the job's record, the attempts that agents reported, and
//! the progress of reconciliation.

use crate::Scheduler;
use crate::ledger::Job;

/// What to do about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartDecision {
    /// An attempt runs, or may run: keep it.
    Reconnect,
    /// It is completed: keep its result and start nothing.
    AcceptResult,
    /// No agent has reported it, but a machine that is not yet accounted for may run it.
    Unknown,
    /// No attempt of it is left on any machine: it may be started.
    Restart,
}

impl Scheduler {
    /// Returns what to do about task `index` of a job.
    pub fn restart_decision(&self, job: &Job, index: u32) -> RestartDecision {
        if job.done.contains(index) {
            RestartDecision::AcceptResult
        } else if job.attempts.get(&index).is_some_and(|p| !p.is_empty()) {
            RestartDecision::Reconnect
        } else if job.inherited && self.is_reconciling() {
            RestartDecision::Unknown
        } else {
            RestartDecision::Restart
        }
    }
}
