//! Why tasks of a job have no allocation.

use std::fmt;

/// Why tasks of a job wait, as shown to operators.
///
/// `Display` gives the text of the status page and of the log; it completes "waits for ...".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No plan has considered the job yet.
    FirstPlacement,
    /// The job was given up; its terminal record is not written yet.
    EndRecord,
    /// It is held outside staffed hours.
    StaffedHours,
    /// It failed on several machines and is backed off.
    Backoff,
    /// Reconciliation after a failover has not accounted for all earlier attempts.
    Reconciliation,
    /// Its team's limit of CPUs or GPUs is used up.
    TeamLimit,
    /// No machine has room, and no instance can be requested for it.
    Machines,
    /// All its tasks have room, some of it on machines that are still being provisioned.
    Provisioning,
    /// Tasks of a gang's previous attempt have not exited yet.
    PreviousAttempt,
    /// It is crash-looping: one task at a time is tried.
    SingleTaskTrial,
    /// Running tasks are expected to make room shortly.
    EndingTasks,
}

impl WaitReason {
    /// The text shown to operators.
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
