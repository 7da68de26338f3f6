//! Models by class, by team and altogether; and the runs under way.

mod outcomes;
mod overdue;

use crate::distribution::Distribution;
use crate::machines::{MachineSpeeds, SlowMachine};
use crate::model::{Band, Model};
use crate::pages::PageAllocator;
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// A run: a task's attempt. A gang is one run, by its first task.
pub type RunKey = (TaskId, Attempt);

/// Longer run times than this (30 days) are taken for errors, in seconds.
const MAX_RUN_S: f64 = 2_592_000.0;
/// Shorter ones (a millisecond) too, in seconds.
const MIN_RUN_S: f64 = 0.001;

/// What a run time depends on.
#[derive(Debug, Clone, Copy)]
pub struct Workload<'a> {
    /// Class of similar jobs.
    pub class: &'a str,
    /// Team of the owner.
    pub team: &'a str,
    /// The owner's estimate in seconds; 0 or out of range: none.
    pub estimate_s: f64,
}

/// Bounds on what is kept, and the rate of decay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Upper bound on classes; the least useful are evicted.
    pub classes: usize,
    /// Number of runs after which the weight of an old one has fallen to 1/e.
    pub decay_runs: f32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            classes: 600,
            decay_runs: 40.0,
        }
    }
}

/// What an estimate rests on.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Basis {
    /// Completed runs of the class.
    pub class_runs: u32,
    /// Completed runs of the team.
    pub team_runs: u32,
    /// Completed runs of all work.
    pub all_runs: u32,
    /// Weight of the ratio to the owner's estimate, 0 to 1; the rest is that of the class's level.
    pub ratio_weight: f32,
    /// Changes detected in the class.
    pub change_count: u32,
}

/// A run time to expect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Its distribution.
    pub distribution: Distribution,
    /// What it rests on.
    pub basis: Basis,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// It completed.
    Completed,
    /// It was stopped, or its machine was lost: a censored observation.
    Censored,
    /// It failed, or was refused: no observation.
    Discarded,
}

/// Sizes, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Runs under way.
    pub running: usize,
    /// Classes with a model.
    pub classes: usize,
    /// Machines with a speed factor.
    pub machines: usize,
    /// Classes and teams evicted so far.
    pub evicted: u64,
}

/// A model and its bookkeeping.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) model: Model,
    /// Number of the observation that it was last used for.
    last_used: u64,
    /// The page on which it is stored.
    pub(crate) page: Option<u16>,
    /// The mean of recent deviations, exponentially weighted: what is common to all machines.
    drift: f32,
}

impl Entry {
    pub(crate) fn new(model: Model, last_used: u64, page: Option<u16>) -> Entry {
        Entry {
            model,
            last_used,
            page,
            drift: 0.0,
        }
    }
}

/// A run under way.
#[derive(Debug)]
struct Running {
    class: Rc<str>,
    team: Rc<str>,
    estimate: Option<f32>,
    machines: Vec<MachineId>,
    /// The logarithm of its slowest machine's factor when it started.
    log_factor: f32,
    started_at: Micros,
    /// How long it had run before `started_at`; `None`: not known.
    elapsed_before: Option<Micros>,
    band: Band,
    is_overdue: bool,
    /// When nine in ten such runs will have ended.
    expected_end: Option<Micros>,
}

impl Running {
    /// Its run time so far, in seconds; `None`: not known.
    fn elapsed_s(&self, now: Micros) -> Option<f64> {
        Some((now - self.started_at + self.elapsed_before?).as_secs_f64())
    }
}

/// Learned run times.
#[derive(Debug)]
pub struct Learner {
    limits: Limits,
    pub(crate) classes: BTreeMap<Rc<str>, Entry>,
    pub(crate) teams: BTreeMap<Rc<str>, Entry>,
    pub(crate) all: Entry,
    machines: MachineSpeeds,
    running: BTreeMap<RunKey, Running>,
    /// When runs will have outlived their bands.
    overdue_checks: BinaryHeap<Reverse<(Micros, RunKey)>>,
    /// Runs by when nine in ten such runs have ended.
    expected_ends: BTreeSet<(Micros, RunKey)>,
    /// Those of them whose start was commanded, but that no heartbeat has shown running.
    commanded_ends: BTreeMap<RunKey, Micros>,
    /// Number of observations so far.
    observation_count: u64,
    pub(crate) page_allocator: PageAllocator,
    evicted: u64,
}

/// The logarithm of a run time; `None` if it is out of range.
fn log_seconds(seconds: f64) -> Option<f32> {
    (seconds.is_finite() && (MIN_RUN_S..=MAX_RUN_S).contains(&seconds)).then(|| seconds.ln() as f32)
}

impl Default for Learner {
    fn default() -> Learner {
        Learner::new(Limits::default())
    }
}

impl Learner {
    /// A learner without any model.
    pub fn new(limits: Limits) -> Learner {
        Learner {
            limits,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
            all: Entry::new(Model::default(), 0, None),
            machines: MachineSpeeds::default(),
            running: BTreeMap::new(),
            overdue_checks: BinaryHeap::new(),
            expected_ends: BTreeSet::new(),
            commanded_ends: BTreeMap::new(),
            observation_count: 0,
            page_allocator: PageAllocator::default(),
            evicted: 0,
        }
    }

    /// Replaces the limits; they apply from the next observation on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The run time to expect, with the speed factor of a machine if one is named.
    pub fn estimate(&self, work: Workload<'_>, machine: Option<&MachineId>) -> Estimate {
        let estimate = log_seconds(work.estimate_s);
        let (class, team) = (self.classes.get(work.class), self.teams.get(work.team));
        let mut distribution = Model::predict(&self.models(work), estimate);
        if let Some(m) = machine {
            let log_factor = self.machines.log_factor(m);
            if log_factor != 0.0 {
                distribution = distribution.scaled(f64::from(log_factor.exp()));
            }
        }
        let runs = |e: Option<&Entry>| e.map_or(0, |e| e.model.runs);
        let basis = Basis {
            class_runs: runs(class),
            team_runs: runs(team),
            all_runs: self.all.model.runs,
            ratio_weight: class
                .or(team)
                .map_or(0.0, |e| e.model.ratio_weight(estimate)),
            change_count: class.map_or(0, |e| {
                e.model.level.change_count + e.model.ratio.change_count
            }),
        };
        Estimate {
            distribution,
            basis,
        }
    }

    /// Time from a class's start command until the task runs, in seconds.
    pub fn start_latency_s(&self, class: &str) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |e| f64::from(e.model.start_latency_s))
    }

    /// Records that a task ran this long after its start command.
    pub fn observe_start_latency(&mut self, class: &str, seconds: f64) {
        if let Some(e) = self.classes.get_mut(class)
            && seconds.is_finite()
        {
            e.model.start_latency_s +=
                0.1 * (seconds.clamp(0.0, 3600.0) as f32 - e.model.start_latency_s);
        }
    }

    /// Records that a run was commanded, to predict its end.
    pub fn record_start_command(&mut self, key: RunKey, work: Workload<'_>, now: Micros) {
        let p90 = self.estimate(work, None).distribution.quantile(0.9);
        let expected_end = now + Micros::from_secs_f64(p90 + self.start_latency_s(work.class));
        if let Some(old) = self.commanded_ends.insert(key.clone(), expected_end) {
            self.expected_ends.remove(&(old, key.clone()));
        }
        self.expected_ends.insert((expected_end, key));
    }

    fn remove_commanded(&mut self, key: &RunKey) {
        if let Some(at) = self.commanded_ends.remove(key) {
            self.expected_ends.remove(&(at, key.clone()));
        }
    }

    /// Records that a run began at `started_at`, or had by then run for `elapsed_before` (`None`: not known).
    /// No effect on a run that is under way already.
    pub fn record_start(
        &mut self,
        key: RunKey,
        work: Workload<'_>,
        machines: Vec<MachineId>,
        started_at: Micros,
        elapsed_before: Option<Micros>,
    ) {
        if self.running.contains_key(&key) {
            return;
        }
        self.remove_commanded(&key);
        let log_factor = machines
            .iter()
            .map(|m| self.machines.log_factor(m))
            .fold(f32::MIN, f32::max);
        let log_factor = if machines.is_empty() { 0.0 } else { log_factor };
        let estimate = self.estimate(work, None);
        let mut run = Running {
            class: self.interned(&self.classes, work.class),
            team: self.interned(&self.teams, work.team),
            estimate: log_seconds(work.estimate_s),
            machines,
            log_factor,
            started_at,
            elapsed_before,
            band: Band::from_distribution(&estimate.distribution, log_factor),
            is_overdue: false,
            expected_end: None,
        };
        self.schedule_overdue_check(&key, &mut run, &estimate.distribution, true);
        self.running.insert(key, run);
    }

    /// The name as it is shared with the models, if it has one.
    fn interned(&self, names: &BTreeMap<Rc<str>, Entry>, name: &str) -> Rc<str> {
        names
            .get_key_value(name)
            .map_or_else(|| Rc::from(name), |(k, _)| k.clone())
    }

    /// Runs whose p90 lies within this span from now, the earliest first.
    pub fn ending_within(&self, now: Micros, span: Micros) -> impl Iterator<Item = &RunKey> {
        // The end of those beyond their p90 cannot be predicted.
        let from = (
            now,
            (
                TaskId {
                    job: JobId::new(""),
                    index: 0,
                },
                Attempt(0),
            ),
        );
        self.expected_ends
            .range(from..)
            .take_while(move |(at, _)| *at <= now + span)
            .map(|(_, key)| key)
    }

    /// Whether the run is under way.
    pub fn is_running(&self, key: &RunKey) -> bool {
        self.running.contains_key(key)
    }

    /// The models of a class, its team and all work, nearest first.
    fn models(&self, work: Workload<'_>) -> [Option<&Model>; 3] {
        let class = self.classes.get(work.class).map(|e| &e.model);
        [
            class,
            self.teams.get(work.team).map(|e| &e.model),
            Some(&self.all.model),
        ]
    }

    /// Removes a machine that is gone.
    pub fn remove_machine(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Whether a machine is credibly at least `bound` times as slow as its peers.
    pub fn slow_machine(&self, id: &MachineId, bound: f64) -> Option<SlowMachine> {
        self.machines.slow_machine(id, bound)
    }

    /// All machines that are credibly at least `bound` times as slow as their peers.
    pub fn slow_machines(&self, bound: f64) -> Vec<SlowMachine> {
        self.machines.slow_machines(bound)
    }

    /// The distribution of a run under way by the present models, and its time so far, in seconds;
    /// `None`: no such run.
    pub fn distribution_and_elapsed(
        &self,
        key: &RunKey,
        now: Micros,
    ) -> Option<(Distribution, f64)> {
        let run = self.running.get(key)?;
        // A run of unknown start counts from the heartbeat that first showed it.
        let elapsed_s = run
            .elapsed_s(now)
            .unwrap_or((now - run.started_at).as_secs_f64());
        let d = self.distribution_of(run);
        Some((d.scaled(f64::from(run.log_factor.exp())), elapsed_s))
    }

    /// Sizes, for display.
    pub fn counts(&self) -> Counts {
        Counts {
            running: self.running.len(),
            classes: self.classes.len(),
            machines: self.machines.len(),
            evicted: self.evicted,
        }
    }
}
