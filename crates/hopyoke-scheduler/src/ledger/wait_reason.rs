//! Reasons for which tasks of a job are not placed.

use std::fmt;

/// Why tasks of a job wait for placement, as shown to operators.
///
/// `Display` yields the text of the status page and of the log; it completes "waits for ...".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No scheduling cycle has considered the job yet.
    FirstPlacement,
    /// The scheduler cancelled the job because it kept failing; its end record is not written yet.
    EndRecord,
    /// The job is held until staffed hours.
    StaffedHours,
    /// The job failed on several machines and is in backoff.
    Backoff,
    /// Reconciliation after a failover has not yet accounted for all earlier attempts.
    Reconciliation,
    /// Its team's quota of CPUs or GPUs is exhausted.
    TeamLimit,
    /// No machine has enough free resources, and no instance can be requested.
    Machines,
    /// All its tasks fit, some of them on machines that are still being provisioned.
    Provisioning,
    /// Tasks of a gang's previous attempt have not exited yet.
    PreviousAttempt,
    /// The job is crash-looping: one task at a time is tried.
    SingleTaskTrial,
    /// Running tasks are expected to free enough resources shortly.
    EndingTasks,
}

impl WaitReason {
    /// Returns the text shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::FirstPlacement => "its first placement",
            WaitReason::EndRecord => "its end to be recorded",
            WaitReason::StaffedHours => "staffed hours",
            WaitReason::Backoff => "its backoff",
            WaitReason::Reconciliation => "recovery",
            WaitReason::TeamLimit => "its team's limit",
            WaitReason::Machines => "machines",
            WaitReason::Provisioning => "machines to boot",
            WaitReason::PreviousAttempt => "its old attempt to end",
            WaitReason::SingleTaskTrial => "a trial of one task",
            WaitReason::EndingTasks => "running tasks that end soon",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
