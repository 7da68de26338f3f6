//! The in-memory state of the steps of a run that this node owns.

use crate::ids::{MAX_ATTEMPTS, StepNo, parse_job_id};
use crate::messages::{JobEnd, RunRecords};
use crate::plan::Plan;
use crate::record::{Head, OnError, RunState, STEPS_PER_PAGE, StepPage, StepState};
use crate::run::Progress;
use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The job of a step in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepJob {
    /// The submission is in progress.
    Submitting,
    /// The submission may have been executed, or may still be as long as the head's revision is unchanged.
    OutcomeUnknown,
    /// The job is accepted and has not ended.
    Submitted,
    /// The cancellation is in progress.
    Cancelling,
    /// The cancellation is queued or awaits a retry.
    CancelQueued,
}

/// The steps of a run that this node owns.
pub(crate) struct StepTable {
    pub(crate) plan: Rc<Plan>,
    /// The dependents of each step, indexed by step. A dependent that lists a step several times appears as often.
    dependents: Rc<Vec<Vec<u32>>>,
    /// The number of dependencies of each step that are not done, indexed by step.
    open_dependencies: Vec<u32>,
    /// State and attempt of each step, indexed by step.
    steps: Vec<(StepState, u8)>,
    /// Steps that are ready to be submitted, in the order in which they became ready.
    pub(crate) ready: VecDeque<StepNo>,
    pub(crate) in_flight: BTreeMap<StepNo, StepJob>,
    /// Consecutive failures of each step's submission or cancellation.
    pub(crate) failures: BTreeMap<StepNo, u32>,
    /// The revisions of the pages that exist in the key-value store.
    pub(crate) page_revisions: BTreeMap<u32, ModRevision>,
    /// Pages that have changed since they were last written.
    pub(crate) dirty_pages: BTreeSet<u32>,
    /// When the first of the dirty pages became dirty.
    pub(crate) dirty_since: Option<Micros>,
    /// Whether a write is in progress.
    pub(crate) is_writing: bool,
    /// Whether the run is being stopped, so that no further step is submitted.
    pub(crate) is_stopping: bool,
    /// Steps whose jobs are to be cancelled, in order.
    pub(crate) cancel_queue: VecDeque<StepNo>,
    /// The number of open steps.
    open: u32,
    /// The number of done steps.
    done: u32,
    /// The number of failed steps.
    pub(crate) failed: u32,
    /// The reason of the first failure, which the run's head records; empty if no step failed.
    pub(crate) reason: String,
}

impl StepTable {
    /// Builds the table from a run's records, by reconciling the states on the pages with the records of the jobs.
    pub(crate) fn reconcile(plan: Rc<Plan>, head: &Head, records: &RunRecords) -> StepTable {
        let mut table = StepTable::new(plan, head);
        table.load_pages(records);
        table.advance_past_taken_ids(records);
        table.count_final_steps();
        // Reattach to unfinished jobs.
        for (job, is_own) in &records.unfinished_jobs {
            if let Some(step) = table.open_step_of(job).filter(|_| *is_own) {
                table.in_flight.insert(step, StepJob::Submitted);
            }
        }
        // Take the results of ended jobs.
        for (job, end, is_own) in &records.ended_jobs {
            if let Some(step) = table.open_step_of(job).filter(|_| *is_own) {
                table.job_ended(step, *end, head);
            }
        }
        table.skip_dependents_of_failed(head);
        table.enqueue_ready_steps();
        table
    }

    /// Returns a table in which all steps are open.
    fn new(plan: Rc<Plan>, head: &Head) -> StepTable {
        let steps = plan.steps.len();
        StepTable {
            open_dependencies: plan
                .steps
                .iter()
                .map(|s| s.dependencies.len() as u32)
                .collect(),
            dependents: Rc::new(plan.dependents()),
            plan,
            steps: vec![(StepState::Open, 0); steps],
            ready: VecDeque::new(),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            page_revisions: BTreeMap::new(),
            dirty_pages: BTreeSet::new(),
            dirty_since: None,
            is_writing: false,
            is_stopping: false,
            cancel_queue: VecDeque::new(),
            open: steps as u32,
            done: 0,
            failed: 0,
            reason: head.reason.clone(),
        }
    }

    fn load_pages(&mut self, records: &RunRecords) {
        for (page, revision, content) in &records.pages {
            self.page_revisions.insert(*page, *revision);
            for (step, state, attempts) in content.decode(*page) {
                if let Some(s) = self.steps.get_mut(step.0 as usize) {
                    *s = (state, attempts);
                }
            }
        }
    }

    /// Advances each step past the job ids that other submitters' jobs have. The records of such jobs are never
    /// deleted, so every owner of the run arrives at the same id.
    fn advance_past_taken_ids(&mut self, records: &RunRecords) {
        let jobs = records
            .unfinished_jobs
            .iter()
            .filter(|j| !j.1)
            .map(|j| &j.0);
        let ends = records.ended_jobs.iter().filter(|e| !e.2).map(|e| &e.0);
        for job in jobs.chain(ends) {
            if let Some((_, step, attempt)) = parse_job_id(job)
                && let Some(s) = self.steps.get_mut(step.0 as usize)
            {
                s.1 = s.1.max(attempt.saturating_add(1).min(MAX_ATTEMPTS));
            }
        }
    }

    fn count_final_steps(&mut self) {
        for i in 0..self.steps.len() {
            let state = self.steps[i].0;
            if state.is_final() {
                self.count_final(StepNo(i as u32), state);
            }
        }
    }

    /// Returns the open step whose current attempt this job is, if any.
    fn open_step_of(&self, job: &JobId) -> Option<StepNo> {
        let (_, step, attempt) = parse_job_id(job)?;
        (self.is_open(step) && self.attempts(step) == attempt).then_some(step)
    }

    /// Skips the dependents of failed steps, because the former owner may have crashed before it recorded that.
    fn skip_dependents_of_failed(&mut self, head: &Head) {
        if head.on_error != OnError::Continue {
            return;
        }
        for i in 0..self.steps.len() {
            if matches!(self.steps[i].0, StepState::Failed | StepState::Skipped) {
                self.skip_dependents(StepNo(i as u32));
            }
        }
    }

    /// Queues all open steps whose dependencies are done and that have no job in flight.
    fn enqueue_ready_steps(&mut self) {
        self.ready.clear();
        let is_ready = |s: &StepNo| {
            self.is_open(*s)
                && self.open_dependencies[s.0 as usize] == 0
                && !self.in_flight.contains_key(s)
        };
        let steps = (0..self.steps.len() as u32).map(StepNo);
        for step in steps.filter(is_ready).collect::<Vec<_>>() {
            self.mark_ready(step);
        }
    }

    pub(crate) fn is_open(&self, step: StepNo) -> bool {
        self.steps
            .get(step.0 as usize)
            .is_some_and(|s| s.0 == StepState::Open)
    }

    pub(crate) fn attempts(&self, step: StepNo) -> u8 {
        self.steps.get(step.0 as usize).map_or(0, |s| s.1)
    }

    pub(crate) fn path(&self, step: StepNo) -> &str {
        self.plan
            .steps
            .get(step.0 as usize)
            .map_or("", |s| s.path.as_str())
    }

    /// Returns whether all steps are in a final state.
    pub(crate) fn all_steps_final(&self) -> bool {
        self.open == 0
    }

    pub(crate) fn done(&self) -> u32 {
        self.done
    }

    pub(crate) fn progress(&self) -> Progress {
        Progress {
            steps: self.steps.len() as u32,
            done: self.done,
            in_flight: self.in_flight.len() as u32,
            failed: self.failed,
            ready: self.ready.len() as u32,
        }
    }

    /// Updates the counters for a step's final state.
    fn count_final(&mut self, step: StepNo, state: StepState) {
        self.open -= 1;
        match state {
            StepState::Done => {
                self.done += 1;
                for dependent in self.dependents.clone()[step.0 as usize].iter() {
                    self.open_dependencies[*dependent as usize] -= 1;
                }
            }
            StepState::Failed => {
                self.failed += 1;
                if self.reason.is_empty() {
                    self.reason = format!("step {} failed", self.path(step));
                }
            }
            _ => {}
        }
    }

    /// Sets the final state of an open step and marks its page as dirty.
    fn finalize(&mut self, step: StepNo, state: StepState) {
        if !self.is_open(step) {
            return;
        }
        self.steps[step.0 as usize].0 = state;
        self.in_flight.remove(&step);
        self.failures.remove(&step);
        self.dirty_pages.insert(StepPage::number_of(step));
        self.count_final(step, state);
    }

    /// Handles a step whose dependencies are all done: queues it for submission or, if it has no job, sets it to done
    /// and proceeds to its dependents.
    fn mark_ready(&mut self, step: StepNo) {
        let mut stack = vec![step];
        while let Some(step) = stack.pop() {
            if self.plan.steps[step.0 as usize].job_template.is_some() {
                self.ready.push_back(step);
                continue;
            }
            self.finalize(step, StepState::Done);
            stack.extend(self.ready_dependents(step));
        }
    }

    /// Returns the open dependents of `step` whose dependencies are all done.
    fn ready_dependents(&self, step: StepNo) -> Vec<StepNo> {
        let mut ready: Vec<u32> = self.dependents[step.0 as usize].clone();
        ready.dedup();
        ready.retain(|s| self.open_dependencies[*s as usize] == 0 && self.is_open(StepNo(*s)));
        ready.into_iter().map(StepNo).collect()
    }

    /// Handles the end of a step's job.
    pub(crate) fn job_ended(&mut self, step: StepNo, end: JobEnd, head: &Head) {
        if !self.is_open(step) {
            return;
        }
        match end {
            JobEnd::Done => {
                self.finalize(step, StepState::Done);
                for dependent in self.ready_dependents(step) {
                    if !self.in_flight.contains_key(&dependent) {
                        self.mark_ready(dependent);
                    }
                }
            }
            JobEnd::Cancelled | JobEnd::Failed if head.state == RunState::Running => {
                let reason = if end == JobEnd::Failed {
                    "its tasks keep failing"
                } else {
                    "its job was cancelled"
                };
                self.fail(step, reason, head);
            }
            JobEnd::Cancelled | JobEnd::Failed => self.finalize(step, StepState::Cancelled),
        }
    }

    /// Sets a step to failed and, if the run continues on errors, skips its dependents.
    pub(crate) fn fail(&mut self, step: StepNo, reason: &str, head: &Head) {
        if self.reason.is_empty() {
            self.reason = format!("step {}: {reason}", self.path(step));
        }
        self.finalize(step, StepState::Failed);
        if head.on_error == OnError::Continue {
            self.skip_dependents(step);
        }
    }

    /// Skips all open direct and transitive dependents of a step.
    fn skip_dependents(&mut self, step: StepNo) {
        let mut stack = vec![step.0];
        while let Some(s) = stack.pop() {
            for dependent in self.dependents.clone()[s as usize].iter().copied() {
                if self.is_open(StepNo(dependent)) {
                    self.finalize(StepNo(dependent), StepState::Skipped);
                    stack.push(dependent);
                }
            }
        }
    }

    /// Stops the run: skips steps that were not submitted and queues the cancellation of those that were.
    pub(crate) fn begin_stop(&mut self) {
        self.is_stopping = true;
        self.ready.clear();
        for i in 0..self.steps.len() as u32 {
            if !self.in_flight.contains_key(&StepNo(i)) {
                self.finalize(StepNo(i), StepState::Skipped);
            }
        }
        let open: Vec<StepNo> = self.in_flight.keys().copied().collect();
        for step in open {
            if matches!(
                self.in_flight[&step],
                StepJob::Submitted | StepJob::OutcomeUnknown
            ) {
                self.queue_cancellation(step);
            }
        }
    }

    /// Queues the cancellation of a step in flight.
    pub(crate) fn queue_cancellation(&mut self, step: StepNo) {
        self.in_flight.insert(step, StepJob::CancelQueued);
        self.cancel_queue.push_back(step);
    }

    /// Skips a step in flight whose job was never accepted and can no longer be.
    pub(crate) fn skip(&mut self, step: StepNo) {
        self.finalize(step, StepState::Skipped);
    }

    /// Advances a step to its next job id. Returns false if no ids are left.
    pub(crate) fn next_attempt(&mut self, step: StepNo) -> bool {
        let Some(s) = self.steps.get_mut(step.0 as usize) else {
            return false;
        };
        s.1 = (s.1 + 1).min(MAX_ATTEMPTS);
        let has_next = s.1 < MAX_ATTEMPTS;
        self.dirty_pages.insert(StepPage::number_of(step));
        has_next
    }

    /// Returns the page with this number in its current state.
    pub(crate) fn page(&self, page: u32) -> StepPage {
        let first = page * STEPS_PER_PAGE;
        let end = (first + STEPS_PER_PAGE).min(self.steps.len() as u32);
        StepPage::encode(first, &self.steps[first as usize..end as usize])
    }
}
