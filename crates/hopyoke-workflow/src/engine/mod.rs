//! One node's decisions about all runs.
//!
//! - `watch`: changes of records, as the node's watches report them.
//! - `outcomes`: how the actions ended.
//! - `ownership`: which runs this node claims, reads and releases.
//! - `dispatch`: which steps are submitted, and which jobs cancelled, in which order.
//! - `progress`: when which pages are written.

mod audit;
mod dispatch;
mod outcomes;
mod ownership;
mod progress;
mod watch;

use crate::ids::{RunId, StepNo};
use crate::limits::{Limits, TokenBucket};
use crate::messages::Action;
use crate::record::Head;
use crate::run::{Phase, Progress, Run};
use crate::step_table::StepTable;
use hopyoke_types::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests that reading a run's records may take.
const REQUESTS_PER_READ: f64 = 5.0;
/// Added to the time at which a rate limit permits something, against rounding.
const RATE_LIMIT_MARGIN: Micros = Micros(1000);
/// How long an engine without timers sleeps.
const MAX_SLEEP: Micros = Micros::from_secs(60);

/// Runs of one team that have steps to submit.
struct Team {
    /// Steps in flight of all its runs that this node owns.
    in_flight: usize,
    /// Runs with ready steps, in the order of their turns.
    queue: VecDeque<RunId>,
}

/// The decisions of one node: a state machine that is driven by records' changes, outcomes and the time.
pub struct Engine {
    /// The operators' limits; they may change at any time.
    pub limits: Limits,
    node: String,
    /// All nodes, this one too.
    nodes: Vec<String>,
    /// The most operations of a transaction.
    max_txn_ops: usize,
    runs: BTreeMap<RunId, Run>,
    teams: BTreeMap<String, Team>,
    /// The team whose turn it was last.
    last_team: String,
    /// Runs that this node owns or claims.
    owned_runs: usize,
    /// Steps of these runs.
    owned_steps: usize,
    /// Runs with jobs to cancel; they take turns with submissions.
    runs_to_cancel: BTreeSet<RunId>,
    /// Whether the last turn was a cancellation's.
    last_was_cancellation: bool,
    timers: BTreeSet<(Micros, RunId, Timer)>,
    writes: TokenBucket,
    reads: TokenBucket,
    /// The key-value store asked for a pause of submissions.
    paused_until: Micros,
    rng: StdRng,
    actions: VecDeque<Action>,
    entities_visited: u64,
}

/// What is to be done at a time. The order decides between timers of one run and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Claim,
    Read,
    WriteProgress,
    /// Submit or cancel the step's job again.
    RetryStep(StepNo),
}

impl Engine {
    /// The engine of `node`, which knows of no runs yet. `nodes`: the names of all nodes, this one too; `max_txn_ops`:
    /// the most operations of a transaction; `seed`: for the jitter of retries.
    pub fn new(
        limits: Limits,
        node: &str,
        nodes: Vec<String>,
        max_txn_ops: usize,
        seed: u64,
        now: Micros,
    ) -> Engine {
        Engine {
            limits,
            node: node.to_owned(),
            nodes,
            max_txn_ops,
            runs: BTreeMap::new(),
            teams: BTreeMap::new(),
            last_team: String::new(),
            owned_runs: 0,
            owned_steps: 0,
            runs_to_cancel: BTreeSet::new(),
            last_was_cancellation: false,
            timers: BTreeSet::new(),
            writes: TokenBucket::new(now),
            reads: TokenBucket::new(now),
            paused_until: Micros::ZERO,
            rng: StdRng::seed_from_u64(seed),
            actions: VecDeque::new(),
            entities_visited: 0,
        }
    }

    /// Fires the timers that have expired, and emits the submissions and cancellations that the limits permit.
    pub fn tick(&mut self, now: Micros) {
        while let Some((at, run, timer)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, run, timer));
                break;
            }
            self.entities_visited += 1;
            match timer {
                Timer::Claim => self.claim(run, now),
                Timer::Read => self.read_if_permitted(run, now),
                Timer::WriteProgress => self.write_progress(run, now),
                Timer::RetryStep(step) => self.retry_step(run, step),
            }
        }
        self.dispatch(now);
    }

    fn read_if_permitted(&mut self, run: RunId, now: Micros) {
        let rate = self.limits.max_reads_per_s;
        if self.reads.take(REQUESTS_PER_READ, rate, now) {
            self.read(run);
        } else {
            let at = self.reads.available_at(REQUESTS_PER_READ, rate, now) + RATE_LIMIT_MARGIN;
            self.timers.insert((at, run, Timer::Read));
        }
    }

    /// The next action to carry out, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// When [`Engine::tick`] has something to do again, if no event comes before.
    pub fn next_due(&self, now: Micros) -> Micros {
        let timer_at = self.timers.first().map_or(now + MAX_SLEEP, |t| t.0);
        let has_turns = self
            .teams
            .values()
            .any(|t| self.has_capacity(t) && !t.queue.is_empty());
        if !has_turns && self.runs_to_cancel.is_empty() {
            return timer_at;
        }
        let permitted_at = self
            .writes
            .available_at(2.0, self.limits.max_writes_per_s, now);
        let turn_at = permitted_at.max(self.paused_until);
        timer_at.min(turn_at.max(now + RATE_LIMIT_MARGIN))
    }

    /// Runs that are not over, with the progress of those whose records this node has read.
    pub fn runs(&self) -> impl Iterator<Item = (RunId, &Head, Option<Progress>)> {
        self.runs
            .iter()
            .map(|(id, r)| (*id, &r.head, r.table.as_ref().map(StepTable::progress)))
    }

    /// The progress of a run that this node executes.
    pub fn progress(&self, run: RunId) -> Option<Progress> {
        let r = self.runs.get(&run)?;
        r.table
            .as_ref()
            .filter(|_| r.phase == Phase::Executing)
            .map(StepTable::progress)
    }

    /// How many runs, steps and pages were visited so far: a measure of work that does not depend on the machine.
    pub fn entities_visited(&self) -> u64 {
        self.entities_visited
    }

    fn has_capacity(&self, team: &Team) -> bool {
        team.in_flight < self.limits.max_team_steps_in_flight
    }

    /// The delay of a retry after so many failures in a row: exponential, half of it random.
    fn retry_delay(&mut self, failures: u32) -> Micros {
        let full = self
            .limits
            .min_retry_delay
            .times(1 << failures.min(16))
            .min(self.limits.max_retry_delay);
        Micros(full.0 / 2 + self.rng.random_range(0..=full.0 / 2))
    }
}
