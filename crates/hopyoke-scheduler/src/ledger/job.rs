//! A job in the leader's ledger, and its record in the state service.

use crate::ledger::{ImageKey, WaitReason};
use crate::resources::Resources;
use crate::task_ranges::TaskRanges;
use hopyoke_protocol::user::{JobKind, JobSpec, JobState};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, MachineId, ModRevision};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The record of an unfinished job, under `job/ID`. It outlives every attempt and every leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the user asked for.
    pub spec: Rc<JobSpec>,
    /// Time of day at which it was accepted, in microseconds.
    pub accepted_us: u64,
    /// Tasks that are done.
    #[serde(default)]
    pub done: TaskRanges,
    /// The attempt of the latest gang placement, or of another job's first start; 0: none.
    #[serde(default, rename = "term")]
    pub start_attempt: Attempt,
    /// `start_attempt` is written before the first start of any job, not of gangs alone. Records of
    /// earlier versions lack this.
    #[serde(default, rename = "marks_start")]
    pub has_start_marker: bool,
    /// It is a step of a workflow's run, and no user's. Its id is not for users.
    #[serde(default, rename = "flow", skip_serializing_if = "is_false")]
    pub is_workflow_step: bool,
}

fn is_false(b: &bool) -> bool {
    !*b
}

impl JobRecord {
    /// The record of a job that was accepted just now.
    pub fn accepted(spec: JobSpec, accepted_us: u64) -> JobRecord {
        JobRecord {
            spec: Rc::new(spec),
            accepted_us,
            done: TaskRanges::default(),
            start_attempt: Attempt::default(),
            has_start_marker: true,
            is_workflow_step: false,
        }
    }

    /// The record of a step's job.
    pub fn for_workflow_step(spec: JobSpec, accepted_us: u64) -> JobRecord {
        JobRecord {
            is_workflow_step: true,
            ..JobRecord::accepted(spec, accepted_us)
        }
    }

    /// Some leader may have commanded an agent to start one of its tasks.
    pub fn may_have_started(&self) -> bool {
        self.start_attempt.0 != 0 || !self.has_start_marker
    }
}

/// The record of a finished job, under `end/ID`; kept for good.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndRecord {
    /// How it ended.
    pub state: JobState,
    /// Tasks that were done.
    #[serde(default)]
    pub done: u32,
    /// It was a step of a workflow's run.
    #[serde(default, rename = "flow", skip_serializing_if = "is_false")]
    pub is_workflow_step: bool,
    /// A step's job that kept failing: it was cancelled by the scheduler.
    #[serde(default, skip_serializing_if = "is_false")]
    pub given_up: bool,
}

impl EndRecord {
    /// How a job ended, with so many tasks done.
    pub fn new(state: JobState, done: u32) -> EndRecord {
        EndRecord {
            state,
            done,
            is_workflow_step: false,
            given_up: false,
        }
    }
}

/// An unfinished job in the ledger.
pub struct Job {
    /// What the user asked for.
    pub spec: Rc<JobSpec>,
    /// What one task takes.
    pub task: Resources,
    /// The image of its tasks.
    pub image: ImageKey,
    /// Time of day at which it was accepted, in microseconds.
    pub accepted_us: u64,
    /// Of the record as last seen.
    pub mod_revision: ModRevision,
    /// A stale leaseholder may have started its tasks.
    pub inherited: bool,
    /// As in the record.
    pub has_start_marker: bool,
    /// It is a step of a workflow's run.
    pub is_workflow_step: bool,
    /// It kept failing and its end is to be recorded.
    pub given_up: bool,
    /// Tasks that are done.
    pub done: TaskRanges,
    /// What the record says is done: only this may be acknowledged to agents.
    pub recorded_done: TaskRanges,
    /// Attempt of the current gang placement, or of another job's first start.
    pub start_attempt: Attempt,
    /// What the record says of it.
    pub recorded_start_attempt: Attempt,
    /// Some task of the current gang placement has been seen running.
    pub gang_started: bool,
    /// The current gang placement is being stopped: all its tasks must be gone before the next.
    pub gang_failing: bool,
    /// A run of it was cut short and may have saved progress.
    pub may_have_checkpoint: bool,
    /// Attempts by task, with their machines: from their command until their proven exit.
    pub attempts: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// Machines on which a task of this job failed since one last succeeded.
    pub failed_on: BTreeSet<MachineId>,
    /// How often in a row it was held back for failing on several machines.
    pub backoff_count: u32,
    /// Not to be started before this.
    pub backoff_until: Micros,
    /// A write of its record is under way.
    pub write_in_flight: bool,
    /// First seen by this leader.
    pub first_seen_at: Micros,
    /// Why its tasks wait, for operators; `None`: none waits.
    pub wait_reason: Option<WaitReason>,
    /// The latest reason for which they waited.
    pub last_wait_reason: Option<WaitReason>,
}

impl Job {
    /// A job whose record has this revision. `inherited`: an earlier leader may have started it.
    pub fn new(record: JobRecord, mod_revision: ModRevision, inherited: bool, now: Micros) -> Job {
        let inherited = inherited && record.may_have_started();
        let done = record.done.normalized(record.spec.tasks);
        Job {
            task: Resources::of_task(&record.spec),
            image: ImageKey::of(&record.spec.image),
            accepted_us: record.accepted_us,
            mod_revision,
            inherited,
            has_start_marker: record.has_start_marker,
            is_workflow_step: record.is_workflow_step,
            given_up: false,
            recorded_done: done.clone(),
            done,
            start_attempt: record.start_attempt,
            recorded_start_attempt: record.start_attempt,
            gang_started: false,
            gang_failing: false,
            may_have_checkpoint: false,
            attempts: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            backoff_count: 0,
            backoff_until: Micros::ZERO,
            write_in_flight: false,
            first_seen_at: now,
            wait_reason: Some(WaitReason::FirstPlacement),
            last_wait_reason: None,
            spec: record.spec,
        }
    }

    /// The record to be written.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: self.spec.clone(),
            accepted_us: self.accepted_us,
            done: self.done.clone(),
            start_attempt: self.start_attempt,
            has_start_marker: self.has_start_marker,
            is_workflow_step: self.is_workflow_step,
        }
    }

    /// Tasks that are neither done nor have an attempt.
    pub fn unplaced_tasks(&self) -> u32 {
        let tasks = self.spec.tasks;
        // Of a task that is done, or that the job never had, an agent may still report an attempt.
        let beyond = self
            .attempts
            .last_key_value()
            .is_some_and(|(i, _)| *i >= tasks);
        let placed = if self.done.range_count() == 0 && !beyond {
            self.attempts.len()
        } else {
            self.attempts
                .range(..tasks)
                .filter(|(i, _)| !self.done.contains(**i))
                .count()
        };
        tasks
            .saturating_sub(self.done.count())
            .saturating_sub(placed as u32)
    }

    /// All its tasks are done; never true of services.
    pub fn is_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.count() == self.spec.tasks
    }

    /// Its end is to be recorded.
    pub fn is_finished(&self) -> bool {
        self.is_done() || self.given_up
    }

    /// Something about it is not recorded yet.
    pub fn needs_write(&self) -> bool {
        !self.write_in_flight
            && (self.done != self.recorded_done
                || self.start_attempt != self.recorded_start_attempt
                || self.given_up)
    }

    /// How it ended.
    pub fn end_record(&self) -> EndRecord {
        let state = if self.is_done() {
            JobState::Done
        } else {
            JobState::Cancelled
        };
        let given_up = self.given_up && !self.is_done();
        EndRecord {
            is_workflow_step: self.is_workflow_step,
            given_up,
            ..EndRecord::new(state, self.done.count().min(self.spec.tasks))
        }
    }

    /// The record says that this attempt may be started. (A new leader takes a job without a
    /// recorded start for one that nobody has started. Guards `ran_twice`.)
    pub fn is_start_recorded(&self, attempt: Attempt) -> bool {
        if self.is_gang() {
            self.recorded_start_attempt >= attempt
        } else {
            self.recorded_start_attempt.0 != 0
        }
    }

    /// Its tasks failed on at least `after` machines: the fault is its own most likely.
    pub fn is_crash_looping(&self, after: usize) -> bool {
        self.failed_on.len() >= after
    }

    /// Its tasks run all at once or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }
}
