//! The three-way check before any start: the recorded previous attempt against agents' heartbeats.

use crate::Scheduler;
use crate::ledger::Job;

/// What is to be done about a task that is not recorded as done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartDecision {
    /// An attempt runs, or may: stay connected to it.
    Reconnect,
    /// An agent reported it as done: take its result; nothing is started.
    AcceptResult,
    /// Nobody has reported it, and not every machine that could run it is accounted for.
    Unknown,
    /// No attempt is left anywhere: it may be started anew.
    Restart,
}

impl Scheduler {
    /// What is to be done about task `index` of a job.
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
