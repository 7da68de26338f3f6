//! What goes into and out of the engine: actions to carry out, and their outcomes.

use crate::ids::{RunId, StepNo};
use crate::plan::Plan;
use crate::record::{Head, StepPage};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros, ModRevision};

/// What the engine wants done. Outcomes carry run and epoch back, so that stale ones are recognized.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write `flow/hold/RUN` on this node's lease, on the condition that the run is not claimed.
    Claim {
        /// The run to claim.
        run: RunId,
    },
    /// Read the run's records, in this order: head, plan (unless it is known), pages, unfinished jobs, ended jobs. A
    /// job's record only moves from unfinished to ended, so none is missed.
    Read {
        /// The run to read.
        run: RunId,
        /// For [`crate::Engine::read_finished`].
        epoch: u64,
        /// Whether the plan is to be read, too.
        with_plan: bool,
    },
    /// Accept this job, on the condition that it is not known, that the run's head has this revision, and that its
    /// claim stands.
    Submit {
        /// The run of the step.
        run: RunId,
        /// For [`crate::Engine::submission_finished`].
        epoch: u64,
        /// The step whose job it is.
        step: StepNo,
        /// The job.
        spec: JobSpec,
        /// The revision that the claim must have.
        claim_revision: ModRevision,
        /// The revision that the head must have.
        head_revision: ModRevision,
    },
    /// Cancel this job.
    Cancel {
        /// The run of the step.
        run: RunId,
        /// For [`crate::Engine::cancellation_finished`].
        epoch: u64,
        /// The step whose job it is.
        step: StepNo,
        /// The job.
        job: JobId,
    },
    /// Write pages and the head in one transaction, on the condition that the claim stands.
    Write {
        /// The run.
        run: RunId,
        /// For [`crate::Engine::write_finished`].
        epoch: u64,
        /// The revision that the claim must have.
        claim_revision: ModRevision,
        /// Pages by number, with the revisions that they must have (0: none yet).
        pages: Vec<(u32, ModRevision, StepPage)>,
        /// The head, with the revision that it must have, if it changes.
        head: Option<(ModRevision, Head)>,
        /// Delete the claim in the same transaction.
        release: bool,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All its tasks succeeded.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its tasks failed so often that the scheduler gave it up.
    Failed,
}

/// How a submission or a cancellation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job is accepted now.
    Accepted,
    /// It is this step's job, accepted earlier, and not over.
    AlreadyAccepted,
    /// It is this step's job, and over.
    Ended(JobEnd),
    /// The id belongs to another submitter's job.
    IdTaken,
    /// It can never run; says why.
    Invalid(String),
    /// Certainly not executed; to be retried, but not before this time has passed.
    RetryAfter(Micros),
    /// The head or the claim has another revision: certainly not executed.
    Stale,
    /// It may have been executed, or may yet be.
    Unknown,
    /// Of a cancellation alone: no such job is known.
    NotFound,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written, at this revision.
    Applied(ModRevision),
    /// A record had another revision than required: certainly not written.
    Conflict,
    /// Certainly not written, for another reason.
    Rejected,
    /// It may have been written, or may yet be.
    Unknown,
}

/// A run's records as they were read.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRecords {
    /// The head.
    pub head: Head,
    /// The head's revision.
    pub head_revision: ModRevision,
    /// The revision of the run's claim, whoever owns it.
    pub claim_revision: Option<ModRevision>,
    /// `None` if it was not to be read.
    pub plan: Option<Plan>,
    /// Pages of steps' states by number, with their revisions.
    pub pages: Vec<(u32, ModRevision, StepPage)>,
    /// Unfinished jobs under the run's ids, and whether they are its own.
    pub unfinished_jobs: Vec<(JobId, bool)>,
    /// Ended jobs under the run's ids, and whether they are its own.
    pub ended_jobs: Vec<(JobId, JobEnd, bool)>,
}
