//! Unfinished jobs in the leader's ledger, and job records in the key-value store.

use crate::config::MIN_WINDOW;
use crate::ledger::{ImageKey, WaitReason};
use crate::resources::Resources;
use crate::task_ranges::{RANGE_CHARS, TaskRanges};
use hopyoke_protocol::user::{JobKind, JobSpec, JobState};
use hopyoke_stored_form::{json_len, machine_types};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, MachineId, ModRevision};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Stored record of an unfinished job, under `job/ID`. It persists across attempts and leaders.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Spec as submitted, in its stored form.
    pub spec: Rc<JobSpec>,
    /// Wall-clock time of acceptance, in microseconds since the Unix epoch.
    pub accepted_us: u64,
    /// Completed tasks.
    #[serde(default)]
    pub done: TaskRanges,
    /// For a gang, the attempt of its latest placement; for other jobs, that of their first start. 0 if
    /// there is none.
    #[serde(default, rename = "term")]
    pub start_attempt: Attempt,
    /// True if `start_attempt` is written before the first start of the job regardless of its kind. Records
    /// of earlier versions lack this field: they have the attempt for gangs only.
    #[serde(default, rename = "marks_start")]
    pub has_start_marker: bool,
    /// True for the job of a workflow step. It was not submitted by a user, and users don't see its id.
    #[serde(default, rename = "flow", skip_serializing_if = "is_false")]
    pub is_workflow_step: bool,
}

/// Room that every record leaves for its completed tasks, in characters: that of the smallest window of placement.
const MIN_DONE_CHARS: usize = MIN_WINDOW as usize * RANGE_CHARS;

/// Why a job can't be stored. The message is returned to the user, so it names the field as users write it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{field}: the job's description takes {bytes} bytes as JSON, of at most {max_bytes} that can be kept"
)]
pub struct RecordTooLong {
    /// Name of the longest field on the wire.
    pub field: &'static str,
    /// Size of the record in JSON, in bytes.
    pub bytes: usize,
    /// Largest size that can be stored.
    pub max_bytes: usize,
}

fn is_false(b: &bool) -> bool {
    !*b
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub fn accepted(spec: JobSpec, accepted_us: u64) -> JobRecord {
        JobRecord {
            spec: Rc::new(machine_types::stored_form(spec)),
            accepted_us,
            done: TaskRanges::default(),
            start_attempt: Attempt::default(),
            has_start_marker: true,
            is_workflow_step: false,
        }
    }

    /// Creates the record of a newly accepted job of a workflow step.
    pub fn for_workflow_step(spec: JobSpec, accepted_us: u64) -> JobRecord {
        JobRecord {
            is_workflow_step: true,
            ..JobRecord::accepted(spec, accepted_us)
        }
    }

    /// Returns the record with its spec in the stored form. Earlier versions stored specs as submitted.
    fn in_stored_form(mut self) -> JobRecord {
        if !machine_types::is_stored_form(&self.spec) {
            self.spec = Rc::new(machine_types::stored_form(Rc::unwrap_or_clone(self.spec)));
        }
        self
    }

    /// Returns an upper bound of the size of the stored form in JSON, in any state and without the completed tasks.
    pub fn max_len_without_done(&self) -> usize {
        json_len(&JobRecord {
            spec: self.spec.clone(),
            done: TaskRanges::default(),
            start_attempt: Attempt(u64::MAX),
            ..*self
        })
    }

    /// Checks that the record has room, in any state, in a value of `max_value_bytes` bytes of JSON.
    ///
    /// # Errors
    /// Names the field that takes most.
    pub fn check_len(&self, max_value_bytes: usize) -> Result<(), RecordTooLong> {
        let max_bytes = max_value_bytes.saturating_sub(MIN_DONE_CHARS);
        let bytes = self.max_len_without_done();
        if bytes <= max_bytes {
            return Ok(());
        }
        let spec = &self.spec;
        let fields = [
            ("berth", json_len(&spec.class)),
            ("crew", json_len(&spec.team)),
            ("cargo", json_len(&spec.image)),
            ("basin", json_len(&spec.zone)),
            ("rigs", json_len(&spec.machine_types)),
        ];
        let longest = fields.into_iter().max_by_key(|(_, len)| *len);
        Err(RecordTooLong {
            field: longest.map_or("", |(field, _)| field),
            bytes,
            max_bytes,
        })
    }

    /// Returns true if some leader may have sent a start command for one of its tasks.
    pub fn may_have_started(&self) -> bool {
        self.start_attempt.0 != 0 || !self.has_start_marker
    }
}

/// Stored record of a finished job, under `end/ID`. It is never deleted.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndRecord {
    /// Final state.
    pub state: JobState,
    /// Number of completed tasks.
    #[serde(default)]
    pub done: u32,
    /// True for the job of a workflow step.
    #[serde(default, rename = "flow", skip_serializing_if = "is_false")]
    pub is_workflow_step: bool,
    /// True if the scheduler cancelled a workflow step's job because it kept failing.
    #[serde(default, rename = "given_up", skip_serializing_if = "is_false")]
    pub cancelled_by_scheduler: bool,
}

impl EndRecord {
    /// Creates the record of a user's job that ended in `state` with `done` completed tasks.
    pub fn new(state: JobState, done: u32) -> EndRecord {
        EndRecord {
            state,
            done,
            is_workflow_step: false,
            cancelled_by_scheduler: false,
        }
    }
}

/// An unfinished job in the ledger.
pub struct Job {
    /// Spec as submitted, in its stored form.
    pub spec: Rc<JobSpec>,
    /// Resources of one task.
    pub task_resources: Resources,
    /// Image of its tasks.
    pub image: ImageKey,
    /// Wall-clock time of acceptance, in microseconds since the Unix epoch.
    pub accepted_us: u64,
    /// Revision of the record as last read or written.
    pub mod_revision: ModRevision,
    /// An earlier leader may have started its tasks.
    pub inherited: bool,
    /// See [`JobRecord::has_start_marker`].
    pub has_start_marker: bool,
    /// True for the job of a workflow step.
    pub is_workflow_step: bool,
    /// It kept failing and is cancelled by the scheduler; its end record is yet to be written.
    pub cancelled_by_scheduler: bool,
    /// Completed tasks.
    pub done: TaskRanges,
    /// Size of the record without the completed tasks, in bytes of JSON, in any state.
    pub len_without_done: usize,
    /// Largest size that the record's set of completed tasks may have, in characters.
    pub max_done_chars: usize,
    /// Completed tasks according to the stored record. Only these may be acknowledged to agents.
    pub recorded_done: TaskRanges,
    /// For a gang, the attempt of its current placement; for other jobs, that of their first start.
    pub start_attempt: Attempt,
    /// `start_attempt` according to the stored record.
    pub recorded_start_attempt: Attempt,
    /// A task of the current gang placement has been reported as running.
    pub gang_started: bool,
    /// The current gang placement is being stopped: all its tasks must have exited before the next.
    pub gang_failing: bool,
    /// An attempt ended early and may have saved a checkpoint.
    pub may_have_checkpoint: bool,
    /// Attempts by task index, with their machines, from the decision to start until the proven exit.
    pub attempts: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// Machines on which a task of this job failed since one last completed.
    pub failed_on: BTreeSet<MachineId>,
    /// Consecutive backoffs for failing on several machines.
    pub backoff_count: u32,
    /// No task is started before this time.
    pub backoff_until: Micros,
    /// A write or reload of its record is in flight.
    pub write_in_flight: bool,
    /// When this leader first read its record.
    pub first_seen_at: Micros,
    /// Why its tasks wait, shown to operators. `None` if none waits.
    pub wait_reason: Option<WaitReason>,
    /// Most recent reason for which its tasks waited.
    pub last_wait_reason: Option<WaitReason>,
}

impl Job {
    /// Creates a job from its record, which may take `max_value_bytes` in the store. `inherited` is true if an earlier
    /// leader may have read the record.
    pub fn new(
        record: JobRecord,
        mod_revision: ModRevision,
        inherited: bool,
        max_value_bytes: usize,
        now: Micros,
    ) -> Job {
        let inherited = inherited && record.may_have_started();
        let record = record.in_stored_form();
        let len_without_done = record.max_len_without_done();
        let spec = record.spec;
        let done = record.done.normalized(spec.tasks);
        Job {
            len_without_done,
            max_done_chars: max_value_bytes.saturating_sub(len_without_done),
            task_resources: Resources::of_task(&spec),
            image: ImageKey::of(&spec.image),
            accepted_us: record.accepted_us,
            mod_revision,
            inherited,
            has_start_marker: record.has_start_marker,
            is_workflow_step: record.is_workflow_step,
            cancelled_by_scheduler: false,
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
            spec,
        }
    }

    /// Returns the record to be stored.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: self.spec.clone(),
            accepted_us: self.accepted_us,
            done: self.storable_done().into_owned(),
            start_attempt: self.start_attempt,
            has_start_marker: self.has_start_marker,
            is_workflow_step: self.is_workflow_step,
        }
    }

    /// Returns the completed tasks that the record is to hold: all that fit, those that it holds already and then the
    /// lowest numbers. Agents keep the results of the others until they fit, or until the end of the job is recorded.
    pub fn storable_done(&self) -> Cow<'_, TaskRanges> {
        if self.done.max_encoded_len() <= self.max_done_chars {
            return Cow::Borrowed(&self.done);
        }
        let storable = self
            .recorded_done
            .with_lowest_of(&self.done, self.max_done_chars);
        Cow::Owned(storable)
    }

    /// Returns the number of tasks that are neither completed nor have an attempt.
    pub fn unplaced_tasks(&self) -> u32 {
        let tasks = self.spec.tasks;
        // Agents may still report attempts of completed tasks, or of task numbers that the job does not
        // have.
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

    /// Returns true if all tasks are completed; always false for services.
    pub fn is_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.count() == self.spec.tasks
    }

    /// Returns true if the end record is to be written.
    pub fn is_finished(&self) -> bool {
        self.is_done() || self.cancelled_by_scheduler
    }

    /// Returns true if the stored record is out of date and no write of it is in flight.
    pub fn needs_write(&self) -> bool {
        !self.write_in_flight
            && (*self.storable_done() != self.recorded_done
                || self.start_attempt != self.recorded_start_attempt
                || self.cancelled_by_scheduler)
    }

    /// Returns the record of its end.
    pub fn end_record(&self) -> EndRecord {
        let state = if self.is_done() {
            JobState::Done
        } else {
            JobState::Cancelled
        };
        let cancelled_by_scheduler = self.cancelled_by_scheduler && !self.is_done();
        EndRecord {
            is_workflow_step: self.is_workflow_step,
            cancelled_by_scheduler,
            ..EndRecord::new(state, self.done.count().min(self.spec.tasks))
        }
    }

    /// Returns true if the stored record permits the start of this attempt: a new leader assumes that a
    /// job without a recorded start was never started. Guards the invariant `ran_twice`.
    pub fn is_start_recorded(&self, attempt: Attempt) -> bool {
        if self.is_gang() {
            self.recorded_start_attempt >= attempt
        } else {
            self.recorded_start_attempt.0 != 0
        }
    }

    /// Returns true if its tasks failed on at least `after` machines, so that the job itself is most
    /// likely at fault.
    pub fn is_crash_looping(&self, after: usize) -> bool {
        self.failed_on.len() >= after
    }

    /// Returns true if its tasks are gang-scheduled: they all run concurrently or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }
}
