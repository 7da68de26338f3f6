//! The engine's actions and their outcomes.

use crate::ids::{RunId, StepNo};
use crate::plan::Plan;
use crate::record::{Head, StepPage};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros, ModRevision};

/// An action that the engine requests. Its outcome is reported with the same run and epoch, so that the engine can
/// discard stale ones.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Create `flow/hold/RUN` with this node's lease, provided that the run is not claimed.
    Claim {
        /// The run to claim.
        run: RunId,
    },
    /// Read the run's records in this order: head, plan (if requested), pages, unfinished jobs, ended jobs. A job's
    /// record only ever moves from unfinished to ended, so this order misses none.
    Read {
        /// The run to read.
        run: RunId,
        /// The epoch to pass to [`crate::Engine::read_finished`].
        epoch: u64,
        /// Whether to read the plan, too.
        with_plan: bool,
    },
    /// Create this job's record, provided that none exists under its id and that the run's head and claim have these
    /// revisions.
    Submit {
        /// The run of the step.
        run: RunId,
        /// The epoch to pass to [`crate::Engine::submission_finished`].
        epoch: u64,
        /// The step whose job it is.
        step: StepNo,
        /// The job's specification.
        spec: JobSpec,
        /// The expected revision of the claim.
        claim_revision: ModRevision,
        /// The expected revision of the head.
        head_revision: ModRevision,
    },
    /// Cancel this job.
    Cancel {
        /// The run of the step.
        run: RunId,
        /// The epoch to pass to [`crate::Engine::cancellation_finished`].
        epoch: u64,
        /// The step whose job it is.
        step: StepNo,
        /// The job's id.
        job: JobId,
    },
    /// Write pages and the head in one transaction, provided that the claim and the written records have these
    /// revisions.
    Write {
        /// The run.
        run: RunId,
        /// The epoch to pass to [`crate::Engine::write_finished`].
        epoch: u64,
        /// The expected revision of the claim.
        claim_revision: ModRevision,
        /// Pages with their numbers and expected revisions (0: the page does not exist yet).
        pages: Vec<(u32, ModRevision, StepPage)>,
        /// The new head with the expected revision of the old one, if the head changes.
        head: Option<(ModRevision, Head)>,
        /// Whether to delete the claim in the same transaction.
        release: bool,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks succeeded.
    Done,
    /// The job was cancelled.
    Cancelled,
    /// The scheduler stopped retrying its tasks.
    Failed,
}

/// The outcome of a submission or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was accepted.
    Accepted,
    /// This step's job was accepted earlier and has not ended.
    AlreadyAccepted,
    /// This step's job was accepted earlier and has ended.
    Ended(JobEnd),
    /// Another submitter's job has the id.
    IdTaken,
    /// The job can never be scheduled, for this reason.
    Invalid(String),
    /// The request was not executed and is to be retried after this delay.
    RetryAfter(Micros),
    /// The head or the claim has another revision; the request was not executed.
    Stale,
    /// The request may have been executed, or may still be.
    Unknown,
    /// No such job exists. Only a cancellation has this outcome.
    NotFound,
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The records were written at this revision.
    Applied(ModRevision),
    /// A record had another revision than expected; nothing was written.
    Conflict,
    /// Nothing was written, for another reason.
    Rejected,
    /// The records may have been written, or may still be.
    Unknown,
}

/// The records of a run, as read from the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRecords {
    /// The head.
    pub head: Head,
    /// The head's revision.
    pub head_revision: ModRevision,
    /// The revision of the run's claim, by whichever node, or `None` if the run is not claimed.
    pub claim_revision: Option<ModRevision>,
    /// The plan, or `None` if it was not requested.
    pub plan: Option<Plan>,
    /// Pages of step states with their numbers and revisions.
    pub pages: Vec<(u32, ModRevision, StepPage)>,
    /// Unfinished jobs with ids of this run, and whether the run submitted them.
    pub unfinished_jobs: Vec<(JobId, bool)>,
    /// Ended jobs with ids of this run, how they ended, and whether the run submitted them.
    pub ended_jobs: Vec<(JobId, JobEnd, bool)>,
}
