//! One node's decisions about all runs.

use crate::ids::{RunId, StepNo, job_id, parts_of};
use crate::limits::{Budget, Limits};
use crate::plan::Plan;
use crate::record::{Head, OnError, RunState, StepPage};
use crate::run::{Body, Flight, Phase, Progress, Run};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros, ModRevision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tracing::{debug, info};

/// What the engine wants done. Answers carry run and epoch back.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write `flow/hold/RUN` on this node's lease, on the condition that nobody holds the run.
    Claim { run: RunId },
    /// Read the run's records, in this order: head, plan (unless it is known), pages, unfinished
    /// jobs, ended jobs. A job's record only moves from unfinished to ended, so none is missed.
    Fetch { run: RunId, epoch: u64, plan: bool },
    /// Accept this job, on the condition that it is not known, that the run's head has this mark,
    /// and that its grant stands.
    Submit {
        run: RunId,
        epoch: u64,
        step: StepNo,
        spec: JobSpec,
        grant: ModRevision,
        head: ModRevision,
    },
    /// Cancel this job.
    Withdraw {
        run: RunId,
        epoch: u64,
        step: StepNo,
        job: JobId,
    },
    /// Write pages, which must have these marks, and the head, all at once, on the condition that
    /// the grant stands. `release`: drop the grant with it.
    Write {
        run: RunId,
        epoch: u64,
        grant: ModRevision,
        pages: Vec<(u32, ModRevision, StepPage)>,
        head: Option<(ModRevision, Head)>,
        release: bool,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    Done,
    Cancelled,
    /// Its tasks failed so often that the scheduler gave it up.
    GivenUp,
}

/// How a submission ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// It is this step's job, accepted earlier, and not over.
    Known,
    /// It is this step's job, and over.
    Ended(JobEnd),
    /// The id is somebody else's.
    Taken,
    /// It can never run.
    Never(String),
    /// Certainly not executed; to be tried again, not before this span has passed.
    Later(Micros),
    /// The head or the grant has another mark: certainly not executed.
    Stale,
    /// It may have been executed, or may yet be.
    Unknown,
    /// A withdrawal alone: no such job is known.
    Missing,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    Applied(ModRevision),
    /// Some mark was another.
    Conflict,
    /// Certainly not executed.
    Refused,
    Unknown,
}

/// A run's records as they were read.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetched {
    pub head: Head,
    pub head_revision: ModRevision,
    /// The mark of the run's grant, whoever has it.
    pub grant: Option<ModRevision>,
    /// `None` if it was not asked for.
    pub plan: Option<Plan>,
    pub pages: Vec<(u32, ModRevision, StepPage)>,
    /// Unfinished jobs under the run's ids, and whether they are its own.
    pub jobs: Vec<(JobId, bool)>,
    /// Ended ones.
    pub ends: Vec<(JobId, JobEnd, bool)>,
}

/// Runs of one team that have steps to submit.
struct Team {
    in_flight: usize,
    turns: VecDeque<RunId>,
}

/// The decisions of one node.
pub struct Engine {
    pub limits: Limits,
    me: String,
    /// All nodes, this one too.
    nodes: Vec<String>,
    /// Most changes of a transaction.
    txn_ops: usize,
    runs: BTreeMap<RunId, Run>,
    teams: BTreeMap<String, Team>,
    /// The team whose turn it was last.
    last_team: String,
    carried: usize,
    steps_carried: usize,
    /// Runs with steps to withdraw; they take turns with submissions.
    withdrawing: BTreeSet<RunId>,
    /// The last turn was a withdrawal's.
    withdrew: bool,
    /// What is to be done at a time: claims, reading again, steps again, gathered pages.
    due: BTreeSet<(Micros, RunId, Due)>,
    writes: Budget,
    reads: Budget,
    /// The state service asked for a pause.
    paused_until: Micros,
    rng: StdRng,
    actions: VecDeque<Action>,
    /// Runs, steps and pages looked at so far; tests assert that it stays in bounds.
    looks: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Claim,
    Fetch,
    Gather,
    Step(StepNo),
}

impl Engine {
    /// `nodes`: the names of all nodes; `txn_ops`: most changes of a transaction; `seed`: for the
    /// jitter of retries.
    pub fn new(
        limits: Limits,
        me: &str,
        nodes: Vec<String>,
        txn_ops: usize,
        seed: u64,
        now: Micros,
    ) -> Engine {
        Engine {
            limits,
            me: me.to_owned(),
            nodes,
            txn_ops,
            runs: BTreeMap::new(),
            teams: BTreeMap::new(),
            last_team: String::new(),
            carried: 0,
            steps_carried: 0,
            withdrawing: BTreeSet::new(),
            withdrew: false,
            due: BTreeSet::new(),
            writes: Budget::new(now),
            reads: Budget::new(now),
            paused_until: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            actions: VecDeque::new(),
            looks: 0,
        }
    }

    // ---- what is seen ---------------------------------------------------------------------

    /// A run's head as the state service has it.
    pub fn head_seen(&mut self, run: RunId, head: Head, mod_revision: ModRevision, now: Micros) {
        let r = match self.runs.get_mut(&run) {
            None if head.state.is_final() => return,
            None => {
                self.runs.insert(run, Run::new(head, mod_revision));
                self.claim_later(run, now);
                return;
            }
            Some(r) if mod_revision <= r.head_revision => return,
            Some(r) => r,
        };
        r.head = head;
        r.head_revision = mod_revision;
        if r.head.state.is_final() {
            self.over(run);
        } else if r.phase == Phase::Carrying {
            // Cancelled. (Or a write of ours whose answer is still to come: reading once more does
            // no harm.) Guards against starts after a cancellation was answered.
            self.wind_up(run, now);
        }
    }

    /// At this mark the run's head was no longer where unfinished runs are: it is over.
    pub fn head_gone(&mut self, run: RunId, mod_revision: ModRevision) {
        if self
            .runs
            .get(&run)
            .is_some_and(|r| mod_revision > r.head_revision)
        {
            self.over(run);
        }
    }

    /// A run was granted to a node.
    pub fn hold_seen(&mut self, run: RunId, node: &str, mod_revision: ModRevision, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if mod_revision > r.held_at {
            r.held_at = mod_revision;
            r.held_by_us = node == self.me;
        }
        if r.phase == Phase::Elsewhere && r.held_by_us && r.may_claim() {
            // The answer to our claim was lost. (Guards against a run that nobody carries.)
            self.claim_later(run, now);
            return;
        }
        // Not of before our own grant.
        if r.is_ours() && node != self.me && mod_revision > r.grant && r.phase != Phase::Claiming {
            self.give_up(run, now);
        }
    }

    /// At this mark nobody held the run.
    pub fn hold_gone(&mut self, run: RunId, mod_revision: ModRevision, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.free_at = r.free_at.max(mod_revision);
        match r.phase {
            Phase::Elsewhere if r.may_claim() => self.claim_later(run, now),
            Phase::Fetching | Phase::Carrying if mod_revision > r.grant => self.give_up(run, now),
            _ => {}
        }
    }

    /// News may have been missed: the records of all runs that this node carries are read again.
    pub fn news_lost(&mut self, now: Micros) {
        let mine = self
            .runs
            .iter()
            .filter(|(_, r)| matches!(r.phase, Phase::Fetching | Phase::Carrying));
        for run in mine.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.fetch_again(run, now);
        }
    }

    /// This node's lease ended: none of its grants stands.
    pub fn lease_lost(&mut self, now: Micros) {
        let mine: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.is_ours())
            .map(|(id, _)| *id)
            .collect();
        for run in mine {
            self.give_up(run, now);
        }
    }

    /// A job under one of the runs' ids is over.
    pub fn job_ended(&mut self, job: &JobId, end: JobEnd, now: Micros) {
        let Some((run, step, attempt)) = parts_of(job) else {
            return;
        };
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase == Phase::Fetching {
            // It may have ended after its record was read. (Guards against a run that never ends.)
            r.news.push((job.clone(), end));
            return;
        }
        let Some(body) = r.body.as_mut().filter(|_| r.phase == Phase::Carrying) else {
            return;
        };
        // Only a step in flight: the record may be somebody else's, or of an earlier try.
        if body.tries(step) == attempt && body.flight.contains_key(&step) {
            body.job_ended(step, end, &r.head);
            self.step_left(run, now);
        }
    }

    // ---- answers --------------------------------------------------------------------------

    /// `Ok`: the grant's mark. `Err` with a mark: somebody has held it since. `Err(None)`: not
    /// decided.
    pub fn claimed(
        &mut self,
        run: RunId,
        result: Result<ModRevision, Option<ModRevision>>,
        now: Micros,
    ) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Claiming)
        else {
            return;
        };
        match result {
            Ok(grant) => {
                r.grant = grant;
                r.held_at = r.held_at.max(grant);
                r.failures = 0;
                r.phase = Phase::Fetching;
                info!(%run, grant = grant.0, "carrying");
                self.due.insert((now, run, Due::Fetch));
            }
            Err(held) => {
                r.phase = Phase::Elsewhere;
                r.refused_at = r.refused_at.max(held.unwrap_or_default());
                r.held_at = r.held_at.max(r.refused_at);
                r.failures += 1;
                let may = r.may_claim();
                self.put(run);
                if may {
                    self.claim_later(run, now);
                }
            }
        }
    }

    /// `None`: they could not be read.
    pub fn fetched(&mut self, run: RunId, epoch: u64, fetched: Option<Fetched>, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Fetching || r.epoch != epoch {
            return;
        }
        let known = r.body.as_ref().map(|b| b.plan.clone());
        let Some((fetched, plan)) = fetched.and_then(|mut f| {
            let plan = f.plan.take().map(Rc::new).or(known)?;
            Some((f, plan))
        }) else {
            self.fetch_again(run, now);
            return;
        };
        r.failures = 0;
        if fetched.grant != Some(r.grant) {
            self.give_up(run, now);
            return;
        }
        if fetched.head_revision >= r.head_revision {
            r.head = fetched.head.clone();
            r.head_revision = fetched.head_revision;
        }
        if r.head.state.is_final() {
            self.over(run);
            return;
        }
        self.looks += plan.steps.len() as u64;
        if plan.steps.len() != r.head.steps as usize || plan.digest() != r.head.digest {
            // Never half a plan: its pages were written before its head, so this is damage.
            debug!(%run, "its plan's pages do not match its head");
            self.fetch_again(run, now);
            return;
        }
        let followers = Rc::new(plan.followers());
        let body = Body::of(plan, followers, &r.head, &fetched);
        let p = body.progress();
        debug!(%run, steps = p.steps, done = p.done, reconnected = p.in_flight, ready = p.ready, "records read");
        r.body = Some(body);
        r.phase = Phase::Carrying;
        let news = std::mem::take(&mut r.news);
        self.wind_up(run, now);
        for (job, end) in news {
            self.job_ended(&job, end, now);
        }
        self.step_left(run, now);
    }

    /// How a submission ended.
    pub fn submitted(
        &mut self,
        run: RunId,
        epoch: u64,
        step: StepNo,
        outcome: Outcome,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Carrying || r.epoch != epoch {
            return;
        }
        let Some(body) = r.body.as_mut() else { return };
        if body.flight.get(&step) != Some(&Flight::Submitting) {
            return;
        }
        let winding_up = !r.head.state.starts_steps();
        match outcome {
            Outcome::Accepted | Outcome::Known if !winding_up => {
                body.failures.remove(&step);
                body.flight.insert(step, Flight::Submitted);
            }
            Outcome::Ended(end) => body.job_ended(step, end, &r.head),
            Outcome::Never(why) => body.fail(step, &why, &r.head),
            // Even if this submission was certainly not executed, an earlier one may have been.
            _ if winding_up => body.queue_withdrawal(step),
            Outcome::Taken if !body.next_try(step) => {
                body.fail(step, "all its ids are taken by other jobs", &r.head);
            }
            Outcome::Taken => {
                body.flight.remove(&step);
                body.ready.push_front(step);
            }
            Outcome::Later(_) | Outcome::Unknown => {
                body.flight.insert(step, Flight::Unsure);
                if let Outcome::Later(pause) = outcome {
                    self.paused_until = self.paused_until.max(now + pause);
                }
                self.step_later(run, step, now);
                return;
            }
            Outcome::Accepted | Outcome::Known | Outcome::Stale | Outcome::Missing => {
                self.fetch_again(run, now);
                return;
            }
        }
        self.step_left(run, now);
    }

    /// How a withdrawal ended: `Ended`, `Missing`, `Taken` or anything else for "not decided".
    pub fn withdrawn(
        &mut self,
        run: RunId,
        epoch: u64,
        step: StepNo,
        outcome: Outcome,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Carrying || r.epoch != epoch {
            return;
        }
        let Some(body) = r.body.as_mut() else { return };
        if body.flight.get(&step) != Some(&Flight::Withdrawing) {
            return;
        }
        match outcome {
            Outcome::Ended(end) => body.job_ended(step, end, &r.head),
            // A late submission can't be executed any more either: the head's mark has changed.
            Outcome::Missing | Outcome::Taken => body.never_started(step),
            _ => {
                body.flight.insert(step, Flight::ToWithdraw);
                self.step_later(run, step, now);
                return;
            }
        }
        self.step_left(run, now);
    }

    /// How a write ended.
    pub fn written(
        &mut self,
        run: RunId,
        epoch: u64,
        action: &Action,
        written: Written,
        now: Micros,
    ) {
        let Action::Write {
            pages,
            head,
            release,
            ..
        } = action
        else {
            return;
        };
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Carrying || r.epoch != epoch {
            return;
        }
        let Some(body) = r.body.as_mut() else { return };
        body.writing = false;
        match written {
            Written::Applied(mod_revision) => {
                r.failures = 0;
                for (page, ..) in pages {
                    body.page_marks.insert(*page, mod_revision);
                }
                if let Some((_, head)) = head {
                    r.head = head.clone();
                    r.head_revision = mod_revision;
                }
                if *release {
                    info!(%run, state = ?r.head.state, done = r.head.done, "run over");
                    self.over(run);
                    return;
                }
                self.wind_up(run, now);
                self.draft(run, now);
            }
            Written::Refused => {
                body.dirty.extend(pages.iter().map(|p| p.0));
                body.dirty_since = Some(now);
                r.failures += 1;
                let pause = self.pause(self.runs[&run].failures);
                self.due.insert((now + pause, run, Due::Gather));
            }
            Written::Conflict | Written::Unknown => self.fetch_again(run, now),
        }
    }

    // ---- what is done ---------------------------------------------------------------------

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        while let Some((at, run, due)) = self.due.pop_first() {
            if at > now {
                self.due.insert((at, run, due));
                break;
            }
            self.looks += 1;
            match due {
                Due::Claim => self.claim(run, now),
                // Of all reads of a takeover, each counts as the five that it may take.
                Due::Fetch if self.reads.take(5.0, self.limits.reads_per_s, now) => self.fetch(run),
                Due::Fetch => {
                    let at = self.reads.when(5.0, self.limits.reads_per_s, now) + Micros(1000);
                    self.due.insert((at, run, Due::Fetch));
                }
                Due::Gather => self.draft(run, now),
                Due::Step(step) => self.step_again(run, step),
            }
        }
        self.pump(now);
    }

    /// The next action, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When a tick has something to do again, if no event comes before.
    pub fn next_due(&self, now: Micros) -> Micros {
        let due = self
            .due
            .first()
            .map_or(now + Micros::from_secs(60), |d| d.0);
        let turns = self
            .teams
            .values()
            .any(|t| self.has_room(t) && !t.turns.is_empty());
        if !turns && self.withdrawing.is_empty() {
            return due;
        }
        let budget = self.writes.when(2.0, self.limits.writes_per_s, now);
        due.min(budget.max(self.paused_until).max(now + Micros(1000)))
    }

    /// Runs that are not over, and how far those are that this node carries.
    pub fn runs(&self) -> impl Iterator<Item = (RunId, &Head, Option<Progress>)> {
        self.runs
            .iter()
            .map(|(id, r)| (*id, &r.head, r.body.as_ref().map(Body::progress)))
    }

    /// How far a run is that this node carries.
    pub fn progress(&self, run: RunId) -> Option<Progress> {
        let r = self.runs.get(&run)?;
        r.body
            .as_ref()
            .filter(|_| r.phase == Phase::Carrying)
            .map(Body::progress)
    }

    /// Runs, steps and pages looked at so far.
    pub fn looks(&self) -> u64 {
        self.looks
    }

    /// Faults in the counts that are kept up to date with the changes; for tests.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let ours = self.runs.values().filter(|r| r.is_ours()).count();
        if ours != self.carried {
            faults.push(format!("{ours} runs are ours, not {}", self.carried));
        }
        let steps: usize = self
            .runs
            .values()
            .filter(|r| r.is_ours())
            .map(|r| r.head.steps as usize)
            .sum();
        if steps != self.steps_carried {
            faults.push(format!(
                "{steps} steps are ours, not {}",
                self.steps_carried
            ));
        }
        for (name, team) in &self.teams {
            let carried = self
                .runs
                .values()
                .filter(|r| r.phase == Phase::Carrying && r.head.team == *name);
            let flying: usize = carried
                .filter_map(|r| r.body.as_ref())
                .map(|b| b.flight.len())
                .sum();
            if flying != team.in_flight {
                faults.push(format!(
                    "team {name} has {flying} steps in flight, not {}",
                    team.in_flight
                ));
            }
        }
        faults
    }

    fn team(&mut self, run: RunId) -> &mut Team {
        let name = self
            .runs
            .get(&run)
            .map_or(String::new(), |r| r.head.team.clone());
        self.teams.entry(name).or_insert_with(|| Team {
            in_flight: 0,
            turns: VecDeque::new(),
        })
    }

    fn has_room(&self, team: &Team) -> bool {
        team.in_flight < self.limits.team_steps_in_flight
    }

    /// A pause after so many failures in a row: doubled each time, half of it by chance.
    fn pause(&mut self, failures: u32) -> Micros {
        let full = self
            .limits
            .retry_least
            .times(1 << failures.min(16))
            .min(self.limits.retry_most);
        Micros(full.0 / 2 + self.rng.random_range(0..=full.0 / 2))
    }

    /// This node's place in the order in which nodes claim a run, by rendezvous hashing: so runs
    /// spread over the nodes, and all agree without a word.
    fn rank(&self, run: RunId) -> u64 {
        let weight =
            |node: &str| xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), run.number());
        let mine = (weight(&self.me), self.me.as_str());
        self.nodes
            .iter()
            .filter(|n| (weight(n), n.as_str()) > mine)
            .count() as u64
    }

    fn claim_later(&mut self, run: RunId, now: Micros) {
        let failures = self.runs.get(&run).map_or(0, |r| r.failures);
        let gap = self.limits.claim_gap.times(self.rank(run));
        let pause = if failures > 0 {
            self.pause(failures)
        } else {
            Micros(self.rng.random_range(0..50_000))
        };
        self.due.insert((now + gap + pause, run, Due::Claim));
    }

    fn claim(&mut self, run: RunId, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::Elsewhere || !r.may_claim() {
            return;
        }
        let steps = self.steps_carried + r.head.steps as usize;
        if self.carried >= self.limits.runs_carried
            || (self.carried > 0 && steps > self.limits.steps_carried)
        {
            // Others may have room; if none has, some run of ours will end.
            self.due.insert((
                now + self.limits.claim_gap.max(Micros::from_secs(1)),
                run,
                Due::Claim,
            ));
            return;
        }
        r.phase = Phase::Claiming;
        self.take(run);
        self.actions.push_back(Action::Claim { run });
    }

    fn take(&mut self, run: RunId) {
        self.carried += 1;
        self.steps_carried += self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    fn put(&mut self, run: RunId) {
        self.carried -= 1;
        self.steps_carried -= self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    /// Another node has it, or nobody: whatever was asked in its name is stale.
    fn give_up(&mut self, run: RunId, now: Micros) {
        self.leave(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        debug!(%run, "no longer carried here");
        r.phase = Phase::Elsewhere;
        r.grant = ModRevision(0);
        r.news.clear();
        self.put(run);
        // Our own grant may stand for a while yet; its end is news.
        self.claim_later(run, now);
    }

    /// Takes a run's steps out of all counts.
    fn leave(&mut self, run: RunId) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.epoch += 1;
        let counted = std::mem::take(&mut r.counted);
        self.withdrawing.remove(&run);
        self.team(run).in_flight -= counted;
    }

    /// Brings the team's count up to date with the run's flight.
    fn recount(&mut self, run: RunId) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Carrying)
        else {
            return;
        };
        let flying = r.body.as_ref().map_or(0, |b| b.flight.len());
        let before = std::mem::replace(&mut r.counted, flying);
        let team = self.team(run);
        team.in_flight = team.in_flight + flying - before;
    }

    fn over(&mut self, run: RunId) {
        let Some(r) = self.runs.get(&run) else { return };
        if r.is_ours() {
            self.put(run);
        }
        self.leave(run);
        let name = self
            .runs
            .remove(&run)
            .map(|r| r.head.team)
            .unwrap_or_default();
        if let Some(team) = self.teams.get_mut(&name) {
            team.turns.retain(|r| *r != run);
            if team.turns.is_empty() && team.in_flight == 0 {
                self.teams.remove(&name);
            }
        }
    }

    /// Something about the run is not as we know it: all its records are read again.
    fn fetch_again(&mut self, run: RunId, now: Micros) {
        self.leave(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.phase = Phase::Fetching;
        r.failures += 1;
        let failures = r.failures;
        let pause = self.pause(failures);
        self.due.insert((now + pause, run, Due::Fetch));
    }

    fn fetch(&mut self, run: RunId) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Fetching)
        else {
            return;
        };
        r.epoch += 1;
        self.actions.push_back(Action::Fetch {
            run,
            epoch: r.epoch,
            plan: r.body.is_none(),
        });
    }

    /// Steps have left the flight or become ready, or the run's state has changed.
    fn step_left(&mut self, run: RunId, now: Micros) {
        self.recount(run);
        self.enqueue(run);
        self.draft(run, now);
    }

    /// The run's steps take their turn.
    fn enqueue(&mut self, run: RunId) {
        let most = self.limits.steps_in_flight;
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        let some = r
            .body
            .as_ref()
            .is_some_and(|b| !b.ready.is_empty() && b.flight.len() < most);
        if some && r.may_submit() && !r.queued {
            r.queued = true;
            self.team(run).turns.push_back(run);
        }
        if let Some(r) = self.runs.get(&run)
            && r.phase == Phase::Carrying
            && r.body.as_ref().is_some_and(|b| !b.withdrawals.is_empty())
        {
            self.withdrawing.insert(run);
        }
    }

    /// Withdraws what is to be withdrawn and submits what may be submitted, in turns, so that
    /// neither waits for all of the other. Teams take turns, and so do the runs of a team.
    fn pump(&mut self, now: Micros) {
        let rate = self.limits.writes_per_s;
        loop {
            let withdraw = self.withdrawing.first().copied();
            let team = if now < self.paused_until {
                None
            } else {
                self.next_team()
            };
            match (withdraw, team) {
                (Some(run), team) if team.is_none() || !self.withdrew => {
                    // A record moves: two changes.
                    if !self.writes.take(2.0, rate, now) {
                        return;
                    }
                    self.withdrew = true;
                    self.withdraw_one(run);
                }
                (_, Some(name)) => {
                    if !self.writes.take(1.0, rate, now) {
                        return;
                    }
                    self.withdrew = false;
                    let turn = self.teams.get_mut(&name).and_then(|t| t.turns.pop_front());
                    self.last_team = name;
                    if let Some(run) = turn {
                        self.submit_one(run);
                    }
                }
                _ => return,
            }
        }
    }

    /// The team after the last one that has something to submit and may.
    fn next_team(&self) -> Option<String> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self
            .teams
            .range::<String, _>((Excluded(&self.last_team), Unbounded));
        let mut turns = after.chain(self.teams.iter());
        turns
            .find(|(_, t)| !t.turns.is_empty() && self.has_room(t))
            .map(|(name, _)| name.clone())
    }

    fn submit_one(&mut self, run: RunId) {
        self.looks += 1;
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.queued = false;
        if !r.may_submit() {
            return;
        }
        let Some(body) = r.body.as_mut() else { return };
        let Some(step) = body.ready.pop_front() else {
            return;
        };
        let spec = body.plan.spec(step, job_id(run, step, body.tries(step)));
        if let Some(spec) = spec.filter(|_| body.is_open(step)) {
            body.flight.insert(step, Flight::Submitting);
            let (epoch, grant, head) = (r.epoch, r.grant, r.head_revision);
            self.actions.push_back(Action::Submit {
                run,
                epoch,
                step,
                spec,
                grant,
                head,
            });
        }
        self.recount(run);
        self.enqueue(run);
    }

    fn step_later(&mut self, run: RunId, step: StepNo, now: Micros) {
        let Some(body) = self.runs.get_mut(&run).and_then(|r| r.body.as_mut()) else {
            return;
        };
        let failures = body.failures.entry(step).or_default();
        *failures += 1;
        let failures = *failures;
        let pause = self.pause(failures);
        self.due.insert((now + pause, run, Due::Step(step)));
    }

    /// A step's submission or withdrawal is tried again.
    fn step_again(&mut self, run: RunId, step: StepNo) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Carrying)
        else {
            return;
        };
        let Some(body) = r.body.as_mut() else { return };
        match body.flight.get(&step) {
            Some(Flight::Unsure) => {
                body.flight.remove(&step);
                body.ready.push_front(step);
            }
            Some(Flight::ToWithdraw) => body.queue_withdrawal(step),
            _ => return,
        }
        self.recount(run);
        self.enqueue(run);
    }

    fn withdraw_one(&mut self, run: RunId) {
        self.looks += 1;
        self.withdrawing.remove(&run);
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Carrying)
        else {
            return;
        };
        let Some(body) = r.body.as_mut() else { return };
        while let Some(step) = body.withdrawals.pop_front() {
            if body.flight.get(&step) == Some(&Flight::ToWithdraw) {
                body.flight.insert(step, Flight::Withdrawing);
                let job = job_id(run, step, body.tries(step));
                self.actions.push_back(Action::Withdraw {
                    run,
                    epoch: r.epoch,
                    step,
                    job,
                });
                break;
            }
        }
        if !body.withdrawals.is_empty() {
            self.withdrawing.insert(run);
        }
    }

    /// If the run's recorded state says that it winds up: nothing starts, what was submitted is
    /// withdrawn.
    fn wind_up(&mut self, run: RunId, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.head.state.starts_steps() || r.phase != Phase::Carrying {
            return;
        }
        let Some(body) = r.body.as_mut().filter(|b| !b.wound_up) else {
            return;
        };
        self.looks += u64::from(body.progress().steps);
        body.wind_up();
        self.step_left(run, now);
    }

    /// Writes what must or may be written now.
    fn draft(&mut self, run: RunId, now: Micros) {
        let gather = self.limits.gather;
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Carrying)
        else {
            return;
        };
        let Some(body) = r.body.as_mut().filter(|b| !b.writing) else {
            return;
        };
        let fails = body.failed > 0
            && r.head.on_error == OnError::Stop
            && r.head.state == RunState::Running;
        let ends = body.is_settled();
        if !fails && !ends {
            if body.dirty.is_empty() {
                return;
            }
            let since = *body.dirty_since.get_or_insert(now);
            if now < since + gather {
                self.due.insert((since + gather, run, Due::Gather));
                return;
            }
        }
        // The head may move, and the grant go with it: three changes.
        let room = self.txn_ops.saturating_sub(3).max(1);
        let pages: Vec<u32> = body.dirty.iter().copied().take(room).collect();
        let last = pages.len() == body.dirty.len();
        let cost = pages.len() as f64 + if ends && last { 3.0 } else { 1.0 };
        if !self.writes.take(cost, self.limits.writes_per_s, now) {
            let at = self.writes.when(cost, self.limits.writes_per_s, now) + Micros(1000);
            self.due.insert((at, run, Due::Gather));
            return;
        }
        let mut head = None;
        if ends && last {
            let state = match r.head.state {
                RunState::Cancelling => RunState::Cancelled,
                RunState::Failing => RunState::Failed,
                _ if body.failed > 0 => RunState::Failed,
                _ => RunState::Done,
            };
            let reason = if state == RunState::Failed {
                body.reason.clone()
            } else {
                String::new()
            };
            let done = body.done();
            head = Some((
                r.head_revision,
                Head {
                    state,
                    reason,
                    done,
                    ..r.head.clone()
                },
            ));
        } else if fails {
            let reason = body.reason.clone();
            head = Some((
                r.head_revision,
                Head {
                    state: RunState::Failing,
                    reason,
                    ..r.head.clone()
                },
            ));
        }
        self.looks += pages.len() as u64;
        body.writing = true;
        body.dirty_since = None;
        let pages = pages
            .into_iter()
            .map(|p| {
                body.dirty.remove(&p);
                (
                    p,
                    body.page_marks.get(&p).copied().unwrap_or(ModRevision(0)),
                    body.page(p),
                )
            })
            .collect();
        let release = head.as_ref().is_some_and(|(_, h)| h.state.is_final());
        self.actions.push_back(Action::Write {
            run,
            epoch: r.epoch,
            grant: r.grant,
            pages,
            head,
            release,
        });
    }
}
