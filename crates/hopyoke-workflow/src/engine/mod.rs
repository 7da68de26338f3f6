//! The workflow engine of one node.
//!
//! - `watch`: handles changes of records that the node's watches report.
//! - `outcomes`: handles the outcomes of actions.
//! - `ownership`: claims, reads and releases runs.
//! - `dispatch`: orders submissions and cancellations.
//! - `progress`: writes the progress of runs.
//! - `audit`: verifies the engine's counters in tests.

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

/// The maximum number of requests for reading a run's records.
const REQUESTS_PER_READ: f64 = 5.0;
/// Added to the time at which a rate limiter grants a request, to compensate for rounding.
const RATE_LIMIT_MARGIN: Micros = Micros(1000);
/// The sleep of an engine without timers.
const MAX_SLEEP: Micros = Micros::from_secs(60);

/// The submission queue of a team.
struct Team {
    /// The number of steps in flight of all the team's runs that this node owns.
    in_flight: usize,
    /// Runs with steps to submit, in round-robin order.
    queue: VecDeque<RunId>,
}

/// The workflow engine of one node: a state machine that is driven by changes of records, outcomes of actions and the
/// time.
pub struct Engine {
    /// Limits that operators set. They may change at any time.
    pub limits: Limits,
    node: String,
    /// The names of all nodes, including this one.
    nodes: Vec<String>,
    /// The maximum number of operations in a transaction.
    max_txn_ops: usize,
    runs: BTreeMap<RunId, Run>,
    teams: BTreeMap<String, Team>,
    /// The team that was last served in the round robin.
    last_team: String,
    /// The number of runs that this node owns or is claiming.
    owned_runs: usize,
    /// The number of steps of these runs.
    owned_steps: usize,
    /// Runs with queued cancellations.
    runs_to_cancel: BTreeSet<RunId>,
    /// Whether the last dispatched request was a cancellation; submissions and cancellations alternate.
    last_was_cancellation: bool,
    timers: BTreeSet<(Micros, RunId, Timer)>,
    writes: TokenBucket,
    reads: TokenBucket,
    /// Submissions are paused until then, after a [`crate::JobOutcome::RetryAfter`].
    paused_until: Micros,
    rng: StdRng,
    actions: VecDeque<Action>,
    entities_visited: u64,
}

/// A timer's purpose. The order of the variants breaks ties between timers of the same run and time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Claim,
    Read,
    WriteProgress,
    /// Retries the submission or cancellation of the step's job.
    RetryStep(StepNo),
}

impl Engine {
    /// Returns an engine for `node` without any runs. `nodes` holds the names of all nodes, including this one,
    /// `max_txn_ops` is the maximum number of operations in a transaction, and `seed` seeds the jitter of retries.
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

    /// Fires expired timers and emits the submissions and cancellations that the limits permit.
    pub fn tick(&mut self, now: Micros) {
        while let Some((at, run, timer)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, run, timer));
                break;
            }
            self.entities_visited += 1;
            match timer {
                Timer::Claim => self.claim(run, now),
                Timer::Read => self.read_within_rate(run, now),
                Timer::WriteProgress => self.write_progress(run, now),
                Timer::RetryStep(step) => self.requeue_step(run, step),
            }
        }
        self.dispatch(now);
    }

    fn read_within_rate(&mut self, run: RunId, now: Micros) {
        let rate = self.limits.max_reads_per_s;
        if self.reads.try_take(REQUESTS_PER_READ, rate, now) {
            self.emit_read(run);
        } else {
            let at = self.reads.available_at(REQUESTS_PER_READ, rate, now) + RATE_LIMIT_MARGIN;
            self.timers.insert((at, run, Timer::Read));
        }
    }

    /// Returns the next action to execute, if any.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns when [`Engine::tick`] is due next, unless an event arrives earlier.
    pub fn next_due(&self, now: Micros) -> Micros {
        let timer_at = self.timers.first().map_or(now + MAX_SLEEP, |t| t.0);
        let has_queued_submissions = self
            .teams
            .values()
            .any(|t| self.has_capacity(t) && !t.queue.is_empty());
        if !has_queued_submissions && self.runs_to_cancel.is_empty() {
            return timer_at;
        }
        let permitted_at = self
            .writes
            .available_at(2.0, self.limits.max_writes_per_s, now);
        let turn_at = permitted_at.max(self.paused_until);
        timer_at.min(turn_at.max(now + RATE_LIMIT_MARGIN))
    }

    /// Returns all runs that have not ended, with the progress of those whose records this node has read.
    pub fn runs(&self) -> impl Iterator<Item = (RunId, &Head, Option<Progress>)> {
        self.runs
            .iter()
            .map(|(id, r)| (*id, &r.head, r.table.as_ref().map(StepTable::progress)))
    }

    /// Returns the progress of a run, or `None` if this node does not execute it.
    pub fn progress(&self, run: RunId) -> Option<Progress> {
        let r = self.runs.get(&run)?;
        r.table
            .as_ref()
            .filter(|_| r.phase == Phase::Executing)
            .map(StepTable::progress)
    }

    /// Returns the number of runs, steps and pages visited so far, a measure of work that is independent of the
    /// hardware.
    pub fn entities_visited(&self) -> u64 {
        self.entities_visited
    }

    fn has_capacity(&self, team: &Team) -> bool {
        team.in_flight < self.limits.max_team_steps_in_flight
    }

    /// Returns the delay of a retry after this many consecutive failures: exponential backoff, of which half is jitter.
    fn retry_delay(&mut self, failures: u32) -> Micros {
        let full = self
            .limits
            .min_retry_delay
            .times(1 << failures.min(16))
            .min(self.limits.max_retry_delay);
        Micros(full.0 / 2 + self.rng.random_range(0..=full.0 / 2))
    }
}
