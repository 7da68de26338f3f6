//! The in-memory state of one run on this node.

use crate::messages::JobEnd;
use crate::record::Head;
use crate::step_table::StepTable;
use hopyoke_types::{JobId, ModRevision};

/// The phase of a run on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Another node owns the run, or none does.
    NotOwned,
    /// The claim is being written.
    Claiming,
    /// The run is claimed; its records are being read, or are to be read.
    Reading,
    /// The records have been read; steps are submitted and tracked.
    Executing,
}

/// The progress of a run, in numbers of steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// All steps.
    pub steps: u32,
    /// Steps that are done.
    pub done: u32,
    /// Steps whose job is submitted, or being submitted or cancelled.
    pub in_flight: u32,
    /// Steps that failed.
    pub failed: u32,
    /// Steps that are ready to be submitted.
    pub ready: u32,
}

/// The state of a run that has not ended, as known to this node.
pub(crate) struct Run {
    pub(crate) head: Head,
    pub(crate) head_revision: ModRevision,
    /// The revision of this node's claim, `flow/hold/RUN`.
    pub(crate) claim_revision: ModRevision,
    pub(crate) phase: Phase,
    /// Incremented by each read of the records and each release. Outcomes of an earlier epoch are stale.
    pub(crate) epoch: u64,
    /// The revision of the latest known claim by any node.
    pub(crate) latest_claim_revision: ModRevision,
    /// The latest revision at which the run is known to have been unclaimed.
    pub(crate) latest_unclaimed_revision: ModRevision,
    /// Whether the watch reported the latest claim as this node's own. The response to the claim itself may be lost.
    pub(crate) is_latest_claim_own: bool,
    /// The revision of the latest claim by another process, which may be an earlier one of this node.
    pub(crate) foreign_claim_revision: ModRevision,
    /// Consecutive failures to claim, read or write the run.
    pub(crate) failures: u32,
    /// The steps, or `None` until the records are first read.
    pub(crate) table: Option<StepTable>,
    /// Whether the run is in its team's queue.
    pub(crate) is_queued: bool,
    /// The number of the run's steps that its team's in-flight counter includes.
    pub(crate) counted_in_flight: usize,
    /// Jobs that ended while the records were being read.
    pub(crate) buffered_job_ends: Vec<(JobId, JobEnd)>,
}

impl Run {
    pub(crate) fn new(head: Head, head_revision: ModRevision) -> Run {
        Run {
            head,
            head_revision,
            claim_revision: ModRevision(0),
            phase: Phase::NotOwned,
            epoch: 0,
            latest_claim_revision: ModRevision(0),
            latest_unclaimed_revision: ModRevision(0),
            is_latest_claim_own: false,
            foreign_claim_revision: ModRevision(0),
            failures: 0,
            table: None,
            is_queued: false,
            counted_in_flight: 0,
            buffered_job_ends: Vec::new(),
        }
    }

    /// Returns whether the run is unclaimed, or may be claimed by this process although the response to the claim was
    /// lost.
    pub(crate) fn may_claim(&self) -> bool {
        self.latest_claim_revision <= self.latest_unclaimed_revision
            || (self.is_latest_claim_own
                && self.latest_claim_revision > self.foreign_claim_revision)
    }

    /// Returns whether this node owns the run or is claiming it.
    pub(crate) fn is_owned(&self) -> bool {
        matches!(
            self.phase,
            Phase::Claiming | Phase::Reading | Phase::Executing
        )
    }

    /// Returns whether steps of the run may be submitted.
    pub(crate) fn may_submit(&self) -> bool {
        self.phase == Phase::Executing && self.head.state.allows_submission()
    }
}
