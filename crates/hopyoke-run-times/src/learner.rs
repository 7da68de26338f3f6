//! Models per class, per team and for all work, and the active runs.

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

/// Identifies a run: one attempt of a task. A gang is a single run, identified by its first task.
pub type RunKey = (TaskId, Attempt);

/// Maximum valid run time (30 days), in seconds.
const MAX_RUN_S: f64 = 2_592_000.0;
/// Minimum valid run time (a millisecond), in seconds.
const MIN_RUN_S: f64 = 0.001;

/// Properties of a task that predict its run time.
#[derive(Debug, Clone, Copy)]
pub struct Workload<'a> {
    /// Name of the class of similar jobs.
    pub class: &'a str,
    /// Name of the owner's team.
    pub team: &'a str,
    /// The owner's estimate in seconds. Ignored if it is 0 or out of range.
    pub estimate_s: f64,
}

/// Memory limits and rate of decay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum number of classes. Those with the lowest retention score are evicted.
    pub classes: usize,
    /// Number of runs after which the weight of an older run has fallen to 1/e.
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

/// Evidence behind an estimate.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Basis {
    /// Number of completed runs of the class.
    pub class_runs: u32,
    /// Number of completed runs of the team.
    pub team_runs: u32,
    /// Number of completed runs of all work.
    pub all_runs: u32,
    /// Weight of the ratio to the owner's estimate against the class's absolute run times, 0 to 1.
    pub ratio_weight: f32,
    /// Number of changes detected in the class.
    pub change_count: u32,
}

/// A predicted run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Distribution of the run time.
    pub distribution: Distribution,
    /// Evidence behind the distribution.
    pub basis: Basis,
}

/// How the end of a run is observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run completed.
    Completed,
    /// The run was stopped or its machine was lost: its run time is a lower bound.
    Censored,
    /// The run failed or was refused: its run time is not used.
    Discarded,
}

/// Counts for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Number of active runs.
    pub running: usize,
    /// Number of classes with a model.
    pub classes: usize,
    /// Number of machines with a speed factor.
    pub machines: usize,
    /// Number of classes and teams evicted since this learner was created.
    pub evicted: u64,
}

/// A model with its bookkeeping.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) model: Model,
    /// Value of `observation_count` when the model was last updated.
    last_used: u64,
    /// Page on which the model is stored. `None` if it is not persisted.
    pub(crate) page: Option<u16>,
    /// Exponentially weighted mean of recent deviations, which is common to all machines.
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

/// An active run.
#[derive(Debug)]
struct ActiveRun {
    class: Rc<str>,
    team: Rc<str>,
    log_estimate: Option<f32>,
    machines: Vec<MachineId>,
    /// Log factor of its slowest machine when it started.
    log_factor: f32,
    started_at: Micros,
    /// Run time before `started_at`. `None` if it is not known.
    elapsed_before: Option<Micros>,
    band: Band,
    is_overdue: bool,
    /// Predicted p90 of its end. `None` if its start time is not known.
    expected_end: Option<Micros>,
}

impl ActiveRun {
    /// Returns the elapsed run time in seconds, or `None` if the start time is not known.
    fn elapsed_s(&self, now: Micros) -> Option<f64> {
        Some((now - self.started_at + self.elapsed_before?).as_secs_f64())
    }
}

/// Learns run times from observed runs and predicts those of future and active runs.
#[derive(Debug)]
pub struct Learner {
    limits: Limits,
    pub(crate) classes: BTreeMap<Rc<str>, Entry>,
    pub(crate) teams: BTreeMap<Rc<str>, Entry>,
    pub(crate) all: Entry,
    machines: MachineSpeeds,
    running: BTreeMap<RunKey, ActiveRun>,
    /// Times at which active runs exceed their predicted bands.
    overdue_checks: BinaryHeap<Reverse<(Micros, RunKey)>>,
    /// Commanded and active runs, ordered by the predicted p90 of their end.
    expected_ends: BTreeSet<(Micros, RunKey)>,
    /// Predicted ends of runs that were commanded to start but not yet reported as running.
    commanded_ends: BTreeMap<RunKey, Micros>,
    /// Number of completed runs observed.
    observation_count: u64,
    pub(crate) page_allocator: PageAllocator,
    evicted: u64,
}

/// Returns the log of a run time, or `None` if it is out of range.
fn log_seconds(seconds: f64) -> Option<f32> {
    (seconds.is_finite() && (MIN_RUN_S..=MAX_RUN_S).contains(&seconds)).then(|| seconds.ln() as f32)
}

impl Default for Learner {
    fn default() -> Learner {
        Learner::new(Limits::default())
    }
}

impl Learner {
    /// Creates a learner without models.
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

    /// Replaces the limits, effective from the next observation.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Predicts the run time of a workload, on a given machine or, without one, on an average machine.
    pub fn estimate(&self, workload: Workload<'_>, machine: Option<&MachineId>) -> Estimate {
        let log_estimate = log_seconds(workload.estimate_s);
        let (class, team) = (
            self.classes.get(workload.class),
            self.teams.get(workload.team),
        );
        let mut distribution = Model::predict(&self.models(workload), log_estimate);
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
                .map_or(0.0, |e| e.model.ratio_weight(log_estimate)),
            change_count: class.map_or(0, |e| {
                e.model.level.change_count + e.model.ratio.change_count
            }),
        };
        Estimate {
            distribution,
            basis,
        }
    }

    /// Returns the mean time in seconds from a start command until the task runs, for a class. Returns 0 if
    /// the class has no model.
    pub fn start_latency_s(&self, class: &str) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |e| f64::from(e.model.start_latency_s))
    }

    /// Records the time in seconds from a start command until the task ran.
    pub fn record_start_latency(&mut self, class: &str, seconds: f64) {
        if let Some(e) = self.classes.get_mut(class)
            && seconds.is_finite()
        {
            e.model.start_latency_s +=
                0.1 * (seconds.clamp(0.0, 3600.0) as f32 - e.model.start_latency_s);
        }
    }

    /// Records that a run was commanded to start, and predicts its end.
    pub fn record_start_command(&mut self, key: RunKey, workload: Workload<'_>, now: Micros) {
        let p90 = self.estimate(workload, None).distribution.quantile(0.9);
        let expected_end = now + Micros::from_secs_f64(p90 + self.start_latency_s(workload.class));
        if let Some(old) = self.commanded_ends.insert(key.clone(), expected_end) {
            self.expected_ends.remove(&(old, key.clone()));
        }
        self.expected_ends.insert((expected_end, key));
    }

    fn remove_start_command(&mut self, key: &RunKey) {
        if let Some(at) = self.commanded_ends.remove(key) {
            self.expected_ends.remove(&(at, key.clone()));
        }
    }

    /// Records an active run that, at `started_at`, had already run for `elapsed_before` (zero for a new
    /// run, `None` if it is not known). Has no effect if the run is already recorded.
    pub fn record_start(
        &mut self,
        key: RunKey,
        workload: Workload<'_>,
        machines: Vec<MachineId>,
        started_at: Micros,
        elapsed_before: Option<Micros>,
    ) {
        if self.running.contains_key(&key) {
            return;
        }
        self.remove_start_command(&key);
        let log_factor = machines
            .iter()
            .map(|m| self.machines.log_factor(m))
            .fold(f32::MIN, f32::max);
        let log_factor = if machines.is_empty() { 0.0 } else { log_factor };
        let estimate = self.estimate(workload, None);
        let mut run = ActiveRun {
            class: self.shared_name(&self.classes, workload.class),
            team: self.shared_name(&self.teams, workload.team),
            log_estimate: log_seconds(workload.estimate_s),
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

    /// Returns the shared copy of a name if it has a model, otherwise a new copy.
    fn shared_name(&self, names: &BTreeMap<Rc<str>, Entry>, name: &str) -> Rc<str> {
        names
            .get_key_value(name)
            .map_or_else(|| Rc::from(name), |(k, _)| k.clone())
    }

    /// Iterates over the runs whose predicted p90 end is at most `span` from now, earliest first.
    pub fn runs_ending_within(&self, now: Micros, span: Micros) -> impl Iterator<Item = &RunKey> {
        // Runs beyond their p90 are skipped, as their end cannot be predicted.
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

    /// Returns whether the run is active.
    pub fn is_running(&self, key: &RunKey) -> bool {
        self.running.contains_key(key)
    }

    /// Returns the models of a class, its team and all work, in this order.
    fn models(&self, workload: Workload<'_>) -> [Option<&Model>; 3] {
        let class = self.classes.get(workload.class).map(|e| &e.model);
        [
            class,
            self.teams.get(workload.team).map(|e| &e.model),
            Some(&self.all.model),
        ]
    }

    /// Removes the speed factor of a machine that has left the cluster.
    pub fn remove_machine(&mut self, id: &MachineId) {
        self.machines.remove(id);
    }

    /// Returns the machine if it is significantly slower than its peers, by a factor of at least `bound`.
    pub fn slow_machine(&self, id: &MachineId, bound: f64) -> Option<SlowMachine> {
        self.machines.slow_machine(id, bound)
    }

    /// Returns all machines that are significantly slower than their peers, by a factor of at least
    /// `bound`.
    pub fn slow_machines(&self, bound: f64) -> Vec<SlowMachine> {
        self.machines.slow_machines(bound)
    }

    /// Returns an active run's current run time distribution and its elapsed time in seconds, or `None`
    /// if the run is not active.
    pub fn distribution_and_elapsed(
        &self,
        key: &RunKey,
        now: Micros,
    ) -> Option<(Distribution, f64)> {
        let run = self.running.get(key)?;
        // A run whose start time is unknown counts from the heartbeat that first reported it.
        let elapsed_s = run
            .elapsed_s(now)
            .unwrap_or((now - run.started_at).as_secs_f64());
        let d = self.distribution_of(run);
        Some((d.scaled(f64::from(run.log_factor.exp())), elapsed_s))
    }

    /// Returns counts for display.
    pub fn counts(&self) -> Counts {
        Counts {
            running: self.running.len(),
            classes: self.classes.len(),
            machines: self.machines.len(),
            evicted: self.evicted,
        }
    }
}
