//! One run as its carrier knows it.

use crate::engine::{Fetched, JobEnd};
use crate::ids::{MOST_TRIES, StepNo, parts_of};
use crate::plan::Plan;
use crate::record::{Head, OnError, RunState, STEPS_PER_PAGE, StepMark, StepPage};
use hopyoke_types::{JobId, Micros, ModRevision};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Where a run is, from this node's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Another node carries it, or nobody does.
    Elsewhere,
    Claiming,
    /// It is ours; its records are being read.
    Fetching,
    Carrying,
}

/// A submitted step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flight {
    /// The submission has not been answered.
    Submitting,
    /// It was not answered in time, and may yet be executed while the head has the same mark.
    Unsure,
    /// Its job is accepted and not over.
    Submitted,
    /// Its job is being withdrawn.
    Withdrawing,
    /// It is to be withdrawn.
    ToWithdraw,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    pub steps: u32,
    pub done: u32,
    pub in_flight: u32,
    pub failed: u32,
    pub ready: u32,
}

pub(crate) struct Run {
    pub(crate) head: Head,
    pub(crate) head_revision: ModRevision,
    /// Our grant: the mark of `flow/hold/RUN`.
    pub(crate) grant: ModRevision,
    pub(crate) phase: Phase,
    /// Counts what was read anew; answers to what was asked before are stale.
    pub(crate) epoch: u64,
    /// The latest grant to anybody, and the latest end of one, that we know of.
    pub(crate) held_at: ModRevision,
    pub(crate) free_at: ModRevision,
    /// The latest grant is to this node, by news; the claim's own answer may be lost.
    pub(crate) held_by_us: bool,
    /// This grant was to another process, whatever its node.
    pub(crate) refused_at: ModRevision,
    /// Failures in a row to claim, read or write it.
    pub(crate) failures: u32,
    pub(crate) body: Option<Body>,
    /// It waits for its team's turn.
    pub(crate) queued: bool,
    /// Steps in flight that its team's count has.
    pub(crate) counted: usize,
    /// Jobs that ended while the records were being read.
    pub(crate) news: Vec<(JobId, JobEnd)>,
}

impl Run {
    pub(crate) fn new(head: Head, head_revision: ModRevision) -> Run {
        Run {
            head,
            head_revision,
            grant: ModRevision(0),
            phase: Phase::Elsewhere,
            epoch: 0,
            held_at: ModRevision(0),
            free_at: ModRevision(0),
            held_by_us: false,
            refused_at: ModRevision(0),
            failures: 0,
            body: None,
            queued: false,
            counted: 0,
            news: Vec::new(),
        }
    }

    /// Nobody holds it, or this process does without knowing.
    pub(crate) fn may_claim(&self) -> bool {
        self.held_at <= self.free_at || (self.held_by_us && self.held_at > self.refused_at)
    }

    /// It is ours, or we try to make it ours.
    pub(crate) fn is_ours(&self) -> bool {
        matches!(
            self.phase,
            Phase::Claiming | Phase::Fetching | Phase::Carrying
        )
    }

    /// Steps of it may be submitted now.
    pub(crate) fn may_submit(&self) -> bool {
        self.phase == Phase::Carrying && self.head.state.starts_steps()
    }
}

/// A carried run's steps.
pub(crate) struct Body {
    pub(crate) plan: Rc<Plan>,
    followers: Rc<Vec<Vec<u32>>>,
    /// Steps that each still waits for.
    waits: Vec<u32>,
    steps: Vec<(StepMark, u8)>,
    /// May be submitted, in the order in which they became ready.
    pub(crate) ready: VecDeque<StepNo>,
    pub(crate) flight: BTreeMap<StepNo, Flight>,
    /// Failures in a row of a step's submission or withdrawal.
    pub(crate) failures: BTreeMap<StepNo, u32>,
    pub(crate) page_marks: BTreeMap<u32, ModRevision>,
    pub(crate) dirty: BTreeSet<u32>,
    pub(crate) dirty_since: Option<Micros>,
    pub(crate) writing: bool,
    /// The run winds up: nothing more is submitted.
    pub(crate) wound_up: bool,
    /// Steps to withdraw, in this order.
    pub(crate) withdrawals: VecDeque<StepNo>,
    open: u32,
    done: u32,
    pub(crate) failed: u32,
    /// The first failure, for the head.
    pub(crate) reason: String,
}

impl Body {
    /// The three-way check of all steps at once: what the pages say, what the jobs' records say,
    /// and what follows for the rest.
    pub(crate) fn of(
        plan: Rc<Plan>,
        followers: Rc<Vec<Vec<u32>>>,
        head: &Head,
        fetched: &Fetched,
    ) -> Body {
        let n = plan.steps.len();
        let mut body = Body {
            waits: plan.steps.iter().map(|s| s.after.len() as u32).collect(),
            plan,
            followers,
            steps: vec![(StepMark::Open, 0); n],
            ready: VecDeque::new(),
            flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            page_marks: BTreeMap::new(),
            dirty: BTreeSet::new(),
            dirty_since: None,
            writing: false,
            wound_up: false,
            withdrawals: VecDeque::new(),
            open: n as u32,
            done: 0,
            failed: 0,
            reason: head.reason.clone(),
        };
        for (page, mod_revision, marks) in &fetched.pages {
            body.page_marks.insert(*page, *mod_revision);
            for (step, mod_revision, tries) in marks.read(*page) {
                if let Some(s) = body.steps.get_mut(step.0 as usize) {
                    *s = (mod_revision, tries);
                }
            }
        }
        // Ids under which somebody else has a job: the next one is the step's. Nobody's record ever
        // vanishes, so every carrier comes to the same id.
        let foreign = fetched.jobs.iter().filter(|j| !j.1).map(|j| &j.0);
        for job in foreign.chain(fetched.ends.iter().filter(|e| !e.2).map(|e| &e.0)) {
            if let Some((_, step, attempt)) = parts_of(job)
                && let Some(s) = body.steps.get_mut(step.0 as usize)
            {
                s.1 = s.1.max(attempt.saturating_add(1).min(MOST_TRIES));
            }
        }
        let marked: Vec<(StepNo, StepMark)> = (0..)
            .map(StepNo)
            .zip(body.steps.iter().map(|s| s.0))
            .collect();
        for (step, mod_revision) in marked.into_iter().filter(|(_, m)| m.is_over()) {
            body.count(step, mod_revision);
        }
        // Reconnect.
        for (job, ours) in &fetched.jobs {
            if let Some((_, step, attempt)) = parts_of(job)
                && *ours
                && body.is_open(step)
                && body.steps[step.0 as usize].1 == attempt
            {
                body.flight.insert(step, Flight::Submitted);
            }
        }
        // Take results.
        for (job, end, ours) in &fetched.ends {
            if let Some((_, step, attempt)) = parts_of(job)
                && *ours
                && body.is_open(step)
                && body.steps[step.0 as usize].1 == attempt
            {
                body.job_ended(step, *end, head);
            }
        }
        // What needs a step that failed is skipped, if a crash came before that was recorded.
        if head.on_error == OnError::Continue {
            for i in 0..n as u32 {
                if matches!(
                    body.steps[i as usize].0,
                    StepMark::Failed | StepMark::Skipped
                ) {
                    body.skip_after(StepNo(i));
                }
            }
        }
        // What is left may be started anew.
        body.ready.clear();
        let startable = |s: &StepNo| {
            body.is_open(*s) && body.waits[s.0 as usize] == 0 && !body.flight.contains_key(s)
        };
        let ready: Vec<StepNo> = (0..n as u32).map(StepNo).filter(startable).collect();
        for step in ready {
            body.now_ready(step);
        }
        body
    }

    pub(crate) fn is_open(&self, step: StepNo) -> bool {
        self.steps
            .get(step.0 as usize)
            .is_some_and(|s| s.0 == StepMark::Open)
    }

    pub(crate) fn tries(&self, step: StepNo) -> u8 {
        self.steps.get(step.0 as usize).map_or(0, |s| s.1)
    }

    pub(crate) fn path(&self, step: StepNo) -> &str {
        self.plan
            .steps
            .get(step.0 as usize)
            .map_or("", |s| s.path.as_str())
    }

    /// Nothing is open.
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
            in_flight: self.flight.len() as u32,
            failed: self.failed,
            ready: self.ready.len() as u32,
        }
    }

    /// Takes a step's final mark into the counts.
    fn count(&mut self, step: StepNo, mod_revision: StepMark) {
        self.open -= 1;
        match mod_revision {
            StepMark::Done => {
                self.done += 1;
                for f in self.followers.clone()[step.0 as usize].iter() {
                    self.waits[*f as usize] -= 1;
                }
            }
            StepMark::Failed => {
                self.failed += 1;
                if self.reason.is_empty() {
                    self.reason = format!("step {} failed", self.path(step));
                }
            }
            _ => {}
        }
    }

    /// Gives an open step its final mark; the page is to be written.
    fn settle(&mut self, step: StepNo, mod_revision: StepMark) {
        if !self.is_open(step) {
            return;
        }
        self.steps[step.0 as usize].0 = mod_revision;
        self.flight.remove(&step);
        self.failures.remove(&step);
        self.dirty.insert(StepPage::of(step));
        self.count(step, mod_revision);
    }

    /// All steps that it waits for are done: it is queued, or done at once if it has no work.
    fn now_ready(&mut self, step: StepNo) {
        let mut list = vec![step];
        while let Some(step) = list.pop() {
            if self.plan.steps[step.0 as usize].shape.is_some() {
                self.ready.push_back(step);
                continue;
            }
            self.settle(step, StepMark::Done);
            list.extend(self.freed_by(step));
        }
    }

    /// Open steps that wait for nothing any more and waited for `step`.
    fn freed_by(&self, step: StepNo) -> Vec<StepNo> {
        let mut freed: Vec<u32> = self.followers[step.0 as usize].clone();
        freed.dedup();
        freed.retain(|f| self.waits[*f as usize] == 0 && self.is_open(StepNo(*f)));
        freed.into_iter().map(StepNo).collect()
    }

    /// A step's job is over.
    pub(crate) fn job_ended(&mut self, step: StepNo, end: JobEnd, head: &Head) {
        if !self.is_open(step) {
            return;
        }
        match end {
            JobEnd::Done => {
                self.settle(step, StepMark::Done);
                for f in self.freed_by(step) {
                    if !self.flight.contains_key(&f) {
                        self.now_ready(f);
                    }
                }
            }
            JobEnd::Cancelled | JobEnd::GivenUp if head.state == RunState::Running => {
                let why = if end == JobEnd::GivenUp {
                    "its tasks keep failing"
                } else {
                    "its job was cancelled"
                };
                self.fail(step, why, head);
            }
            JobEnd::Cancelled | JobEnd::GivenUp => self.settle(step, StepMark::Withdrawn),
        }
    }

    /// A step can't be done.
    pub(crate) fn fail(&mut self, step: StepNo, why: &str, head: &Head) {
        if self.reason.is_empty() {
            self.reason = format!("step {}: {why}", self.path(step));
        }
        self.settle(step, StepMark::Failed);
        if head.on_error == OnError::Continue {
            self.skip_after(step);
        }
    }

    /// Skips all that needs a step, directly or not.
    fn skip_after(&mut self, step: StepNo) {
        let mut list = vec![step.0];
        while let Some(s) = list.pop() {
            for f in self.followers.clone()[s as usize].iter().copied() {
                if self.is_open(StepNo(f)) {
                    self.settle(StepNo(f), StepMark::Skipped);
                    list.push(f);
                }
            }
        }
    }

    /// The run winds up: what was not submitted never will be, what was is to be withdrawn.
    pub(crate) fn wind_up(&mut self) {
        self.wound_up = true;
        self.ready.clear();
        for i in 0..self.steps.len() as u32 {
            if !self.flight.contains_key(&StepNo(i)) {
                self.settle(StepNo(i), StepMark::Skipped);
            }
        }
        let open: Vec<StepNo> = self.flight.keys().copied().collect();
        for step in open {
            if matches!(self.flight[&step], Flight::Submitted | Flight::Unsure) {
                self.queue_withdrawal(step);
            }
        }
    }

    /// A step in flight is to be withdrawn.
    pub(crate) fn queue_withdrawal(&mut self, step: StepNo) {
        self.flight.insert(step, Flight::ToWithdraw);
        self.withdrawals.push_back(step);
    }

    /// A withdrawn step's job was never accepted, and can't be any more.
    pub(crate) fn never_started(&mut self, step: StepNo) {
        self.settle(step, StepMark::Skipped);
    }

    /// Somebody else has a job under the step's id: the next one is taken. False: there is none.
    pub(crate) fn next_try(&mut self, step: StepNo) -> bool {
        let Some(s) = self.steps.get_mut(step.0 as usize) else {
            return false;
        };
        s.1 = (s.1 + 1).min(MOST_TRIES);
        let left = s.1 < MOST_TRIES;
        self.dirty.insert(StepPage::of(step));
        left
    }

    /// A page as it is to be written.
    pub(crate) fn page(&self, page: u32) -> StepPage {
        let first = page * STEPS_PER_PAGE;
        let end = (first + STEPS_PER_PAGE).min(self.steps.len() as u32);
        StepPage::write(first, &self.steps[first as usize..end as usize])
    }
}
