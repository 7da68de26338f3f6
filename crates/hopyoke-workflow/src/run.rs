//! One run as this node knows it.

use crate::messages::JobEnd;
use crate::record::Head;
use crate::step_table::StepTable;
use hopyoke_types::{JobId, ModRevision};

/// A run's phase on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Another node owns it, or none does.
    NotOwned,
    /// The claim is being written.
    Claiming,
    /// It is claimed; its records are being read.
    Reading,
    /// Its steps are submitted and followed.
    Executing,
}

/// The progress of a run, in steps.
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
    /// Steps that may be submitted.
    pub ready: u32,
}

/// A run as this node knows it.
pub(crate) struct Run {
    pub(crate) head: Head,
    pub(crate) head_revision: ModRevision,
    /// The revision of this node's claim, `flow/hold/RUN`.
    pub(crate) claim_revision: ModRevision,
    pub(crate) phase: Phase,
    /// Incremented by each read of the records and each release; outcomes of an earlier epoch are stale.
    pub(crate) epoch: u64,
    /// The latest claim by any node that is known.
    pub(crate) claimed_revision: ModRevision,
    /// The latest revision without a claim that is known.
    pub(crate) released_revision: ModRevision,
    /// The latest claim is by this node, as the watch reported; the claim's own response may be lost.
    pub(crate) claimed_by_this_node: bool,
    /// The claim at this revision is by another process, maybe of the same node.
    pub(crate) refused_revision: ModRevision,
    /// Failures in a row to claim, read or write it.
    pub(crate) failures: u32,
    /// Once the records were read.
    pub(crate) table: Option<StepTable>,
    /// In its team's queue.
    pub(crate) is_queued: bool,
    /// Steps in flight that its team's counter includes.
    pub(crate) counted_in_flight: usize,
    /// Jobs that ended while the records were being read.
    pub(crate) early_ends: Vec<(JobId, JobEnd)>,
}

impl Run {
    pub(crate) fn new(head: Head, head_revision: ModRevision) -> Run {
        Run {
            head,
            head_revision,
            claim_revision: ModRevision(0),
            phase: Phase::NotOwned,
            epoch: 0,
            claimed_revision: ModRevision(0),
            released_revision: ModRevision(0),
            claimed_by_this_node: false,
            refused_revision: ModRevision(0),
            failures: 0,
            table: None,
            is_queued: false,
            counted_in_flight: 0,
            early_ends: Vec::new(),
        }
    }

    /// Whether the run is not claimed, or claimed by this process without its knowledge.
    pub(crate) fn may_claim(&self) -> bool {
        self.claimed_revision <= self.released_revision
            || (self.claimed_by_this_node && self.claimed_revision > self.refused_revision)
    }

    /// Whether this node owns or claims it.
    pub(crate) fn is_owned(&self) -> bool {
        matches!(
            self.phase,
            Phase::Claiming | Phase::Reading | Phase::Executing
        )
    }

    /// Whether its steps may be submitted.
    pub(crate) fn may_submit(&self) -> bool {
        self.phase == Phase::Executing && self.head.state.allows_submission()
    }
}
