//! The steps of a run that this node executes.

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
    /// The submission has not been answered.
    Submitting,
    /// The submission may have been executed, or may yet be while the head has the same revision.
    OutcomeUnknown,
    /// The job is accepted and has not ended.
    Submitted,
    /// The cancellation has not been answered.
    Cancelling,
    /// The job is to be cancelled.
    CancelQueued,
}

/// The steps of a run that this node owns.
pub(crate) struct StepTable {
    pub(crate) plan: Rc<Plan>,
    /// Steps that depend on each step, by step; once for each time that they name it.
    dependents: Rc<Vec<Vec<u32>>>,
    /// How many dependencies of each step are not done, by step.
    open_dependencies: Vec<u32>,
    /// State and attempts, by step.
    steps: Vec<(StepState, u8)>,
    /// Steps that may be submitted, in the order in which they became ready.
    pub(crate) ready: VecDeque<StepNo>,
    pub(crate) in_flight: BTreeMap<StepNo, StepJob>,
    /// Failures in a row of a step's submission or cancellation.
    pub(crate) failures: BTreeMap<StepNo, u32>,
    /// Of pages that are recorded.
    pub(crate) page_revisions: BTreeMap<u32, ModRevision>,
    /// Pages to be written.
    pub(crate) dirty_pages: BTreeSet<u32>,
    /// When the first of them became dirty.
    pub(crate) dirty_since: Option<Micros>,
    /// A write has not been answered.
    pub(crate) is_writing: bool,
    /// The run stops: nothing more is submitted.
    pub(crate) is_stopping: bool,
    /// Steps whose jobs are to be cancelled, in this order.
    pub(crate) cancel_queue: VecDeque<StepNo>,
    /// How many steps are open.
    open: u32,
    /// How many steps are done.
    done: u32,
    /// How many steps failed.
    pub(crate) failed: u32,
    /// The first failure, for the run's head.
    pub(crate) reason: String,
}

impl StepTable {
    /// Reconciles all steps at once: the pages' states, the jobs' records, and what follows for the rest.
    pub(crate) fn reconcile(plan: Rc<Plan>, head: &Head, records: &RunRecords) -> StepTable {
        let mut table = StepTable::new(plan, head);
        table.load_pages(records);
        table.skip_taken_ids(records);
        table.count_ended();
        // Reconnect to unfinished jobs.
        for (job, is_own) in &records.unfinished_jobs {
            if let Some(step) = table.open_step_of(job).filter(|_| *is_own) {
                table.in_flight.insert(step, StepJob::Submitted);
            }
        }
        // Take the results of ended ones.
        for (job, end, is_own) in &records.ended_jobs {
            if let Some(step) = table.open_step_of(job).filter(|_| *is_own) {
                table.job_ended(step, *end, head);
            }
        }
        table.skip_after_failures(head);
        table.find_ready();
        table
    }

    /// All steps open, as before any record is known.
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
            for (step, state, attempts) in content.read(*page) {
                if let Some(s) = self.steps.get_mut(step.0 as usize) {
                    *s = (state, attempts);
                }
            }
        }
    }

    /// Of ids under which another submitter has a job, the next one is the step's. Records of such jobs never vanish, so
    /// every owner comes to the same id.
    fn skip_taken_ids(&mut self, records: &RunRecords) {
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

    fn count_ended(&mut self) {
        for i in 0..self.steps.len() {
            let state = self.steps[i].0;
            if state.is_final() {
                self.count(StepNo(i as u32), state);
            }
        }
    }

    /// The open step whose current attempt a job is.
    fn open_step_of(&self, job: &JobId) -> Option<StepNo> {
        let (_, step, attempt) = parse_job_id(job)?;
        (self.is_open(step) && self.attempts(step) == attempt).then_some(step)
    }

    /// Skips the dependents of failed steps, in case of a crash before that was recorded.
    fn skip_after_failures(&mut self, head: &Head) {
        if head.on_error != OnError::Continue {
            return;
        }
        for i in 0..self.steps.len() {
            if matches!(self.steps[i].0, StepState::Failed | StepState::Skipped) {
                self.skip_after(StepNo(i as u32));
            }
        }
    }

    /// What is left may be started anew.
    fn find_ready(&mut self) {
        self.ready.clear();
        let is_ready = |s: &StepNo| {
            self.is_open(*s)
                && self.open_dependencies[s.0 as usize] == 0
                && !self.in_flight.contains_key(s)
        };
        let steps = (0..self.steps.len() as u32).map(StepNo);
        for step in steps.filter(is_ready).collect::<Vec<_>>() {
            self.make_ready(step);
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

    /// Whether no step is open.
    pub(crate) fn is_settled(&self) -> bool {
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

    /// Takes a step's final state into the counters.
    fn count(&mut self, step: StepNo, state: StepState) {
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

    /// Gives an open step its final state, which makes its page dirty.
    fn settle(&mut self, step: StepNo, state: StepState) {
        if !self.is_open(step) {
            return;
        }
        self.steps[step.0 as usize].0 = state;
        self.in_flight.remove(&step);
        self.failures.remove(&step);
        self.dirty_pages.insert(StepPage::of(step));
        self.count(step, state);
    }

    /// All dependencies of a step are done: it may be submitted, or is done at once if it has no job.
    fn make_ready(&mut self, step: StepNo) {
        let mut list = vec![step];
        while let Some(step) = list.pop() {
            if self.plan.steps[step.0 as usize].job_template.is_some() {
                self.ready.push_back(step);
                continue;
            }
            self.settle(step, StepState::Done);
            list.extend(self.ready_after(step));
        }
    }

    /// Open dependents of `step` whose dependencies are all done.
    fn ready_after(&self, step: StepNo) -> Vec<StepNo> {
        let mut ready: Vec<u32> = self.dependents[step.0 as usize].clone();
        ready.dedup();
        ready.retain(|f| self.open_dependencies[*f as usize] == 0 && self.is_open(StepNo(*f)));
        ready.into_iter().map(StepNo).collect()
    }

    /// A step's job has ended.
    pub(crate) fn job_ended(&mut self, step: StepNo, end: JobEnd, head: &Head) {
        if !self.is_open(step) {
            return;
        }
        match end {
            JobEnd::Done => {
                self.settle(step, StepState::Done);
                for dependent in self.ready_after(step) {
                    if !self.in_flight.contains_key(&dependent) {
                        self.make_ready(dependent);
                    }
                }
            }
            JobEnd::Cancelled | JobEnd::Failed if head.state == RunState::Running => {
                let why = if end == JobEnd::Failed {
                    "its tasks keep failing"
                } else {
                    "its job was cancelled"
                };
                self.fail(step, why, head);
            }
            JobEnd::Cancelled | JobEnd::Failed => self.settle(step, StepState::Cancelled),
        }
    }

    /// A step failed, for this reason.
    pub(crate) fn fail(&mut self, step: StepNo, why: &str, head: &Head) {
        if self.reason.is_empty() {
            self.reason = format!("step {}: {why}", self.path(step));
        }
        self.settle(step, StepState::Failed);
        if head.on_error == OnError::Continue {
            self.skip_after(step);
        }
    }

    /// Skips all open transitive dependents of a step.
    fn skip_after(&mut self, step: StepNo) {
        let mut list = vec![step.0];
        while let Some(s) = list.pop() {
            for f in self.dependents.clone()[s as usize].iter().copied() {
                if self.is_open(StepNo(f)) {
                    self.settle(StepNo(f), StepState::Skipped);
                    list.push(f);
                }
            }
        }
    }

    /// Stops the run: skips what was not submitted, queues the cancellation of what was.
    pub(crate) fn begin_stop(&mut self) {
        self.is_stopping = true;
        self.ready.clear();
        for i in 0..self.steps.len() as u32 {
            if !self.in_flight.contains_key(&StepNo(i)) {
                self.settle(StepNo(i), StepState::Skipped);
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

    /// A cancelled step's job was never accepted, and can't be any more.
    pub(crate) fn skip(&mut self, step: StepNo) {
        self.settle(step, StepState::Skipped);
    }

    /// Another submitter has a job under the step's id: goes on to the next id. False: there is none left.
    pub(crate) fn next_attempt(&mut self, step: StepNo) -> bool {
        let Some(s) = self.steps.get_mut(step.0 as usize) else {
            return false;
        };
        s.1 = (s.1 + 1).min(MAX_ATTEMPTS);
        let has_next = s.1 < MAX_ATTEMPTS;
        self.dirty_pages.insert(StepPage::of(step));
        has_next
    }

    /// A page as it is to be recorded.
    pub(crate) fn page(&self, page: u32) -> StepPage {
        let first = page * STEPS_PER_PAGE;
        let end = (first + STEPS_PER_PAGE).min(self.steps.len() as u32);
        StepPage::write(first, &self.steps[first as usize..end as usize])
    }
}
