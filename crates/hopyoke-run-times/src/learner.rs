//! All that is known, by class, by team and altogether; and the runs under way.

use crate::distribution::{Distribution, GRID, P90};
use crate::machines::{Machines, Slow};
use crate::model::{Model, band};
use crate::pages::{Kind, Shelf};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// One run: a task's attempt; of a gang, its first task's stands for all.
pub type RunKey = (TaskId, Attempt);

/// Longer run times than this (30 days) are taken for errors.
const MOST_S: f64 = 2_592_000.0;
/// Shorter ones (a millisecond) too.
const LEAST_S: f64 = 0.001;

/// What a run is, as far as it matters here.
#[derive(Debug, Clone, Copy)]
pub struct Work<'a> {
    pub class: &'a str,
    pub team: &'a str,
    /// The owner's estimate in seconds; 0 or nonsense: none.
    pub estimate_s: f64,
}

/// How much is remembered, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Classes remembered; the least useful are forgotten.
    pub classes: usize,
    /// Runs after which an old one counts for a third.
    pub memory: f32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            classes: 600,
            memory: 40.0,
        }
    }
}

/// What an estimate rests on.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Basis {
    /// Runs of the class, of its team, and of all, that have ended.
    pub class_runs: u32,
    pub team_runs: u32,
    pub all_runs: u32,
    /// How much the ratio to the owner's estimate counts, in 0 to 1; the rest is the class's level.
    pub ratio_share: f32,
    /// How often all has changed in the class.
    pub changes: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    pub distribution: Distribution,
    pub basis: Basis,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It completed.
    Done,
    /// It was stopped, or its machine was lost: it would have run for longer.
    Cut,
    /// It says nothing: it failed, or was refused.
    Void,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub model: Model,
    /// When it was last needed, counted in observations.
    used: u64,
    /// The page on which it is written.
    pub page: Option<u16>,
    /// The mean deviation of late, fading: what is common to all machines.
    drift: f32,
}

impl Entry {
    pub fn new(model: Model, used: u64, page: Option<u16>) -> Entry {
        Entry {
            model,
            used,
            page,
            drift: 0.0,
        }
    }

    /// Takes up a run that completed after `whole`, of which `x` is not its machine's doing.
    fn take(&mut self, run: &Running, x: f32, whole: f32, memory: f32, clock: u64) {
        self.used = clock;
        if self.model.end(x, run.estimate, memory) {
            self.drift = 0.0;
        }
        self.model.calibrate(whole, run.band.0, run.band.2);
        if !run.overdue {
            self.model.overdue = (self.model.overdue - WITHIN).max(0.0);
        }
    }
}

#[derive(Debug)]
struct Running {
    class: Rc<str>,
    team: Rc<str>,
    estimate: Option<f32>,
    machines: Vec<MachineId>,
    /// The logarithm of its slowest machine's factor when it started.
    factor: f32,
    since: Micros,
    /// How long it had run before `since`; `None`: nobody knows.
    before: Option<Micros>,
    band: (f32, f32, f32),
    overdue: bool,
    /// When nine in ten such runs will have ended.
    ends: Option<Micros>,
}

impl Running {
    fn ran(&self, now: Micros) -> Option<f64> {
        Some((now - self.since + self.before?).as_secs_f64())
    }
}

/// Run times, learned.
#[derive(Debug)]
pub struct Learner {
    limits: Limits,
    pub(crate) classes: BTreeMap<Rc<str>, Entry>,
    pub(crate) teams: BTreeMap<Rc<str>, Entry>,
    pub(crate) all: Entry,
    machines: Machines,
    running: BTreeMap<RunKey, Running>,
    /// When runs will have outlived their bands.
    due: BinaryHeap<Reverse<(Micros, RunKey)>>,
    /// Runs by when they will most likely have ended.
    ends: BTreeSet<(Micros, RunKey)>,
    /// Those of them that were commanded, but have not been seen running.
    commanded: BTreeMap<RunKey, Micros>,
    clock: u64,
    pub(crate) shelf: Shelf,
    forgotten: u64,
}

/// The logarithm of an amount of seconds that can be a run's.
fn sane(seconds: f64) -> Option<f32> {
    (seconds.is_finite() && (LEAST_S..=MOST_S).contains(&seconds)).then(|| seconds.ln() as f32)
}

/// A class whose band this many runs outlive, net, has changed.
const OVERDUE_ALARM: f32 = 4.0;
/// What a run that stays within its band counts against that: one in twenty may not.
const WITHIN: f32 = 0.25;
/// Most teams remembered.
const MOST_TEAMS: usize = 64;

impl Default for Learner {
    fn default() -> Learner {
        Learner::new(Limits::default())
    }
}

impl Learner {
    pub fn new(limits: Limits) -> Learner {
        Learner {
            limits,
            classes: BTreeMap::new(),
            teams: BTreeMap::new(),
            all: Entry::new(Model::default(), 0, None),
            machines: Machines::default(),
            running: BTreeMap::new(),
            due: BinaryHeap::new(),
            ends: BTreeSet::new(),
            commanded: BTreeMap::new(),
            clock: 0,
            shelf: Shelf::default(),
            forgotten: 0,
        }
    }

    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// The run time to expect, on a machine if one is named.
    pub fn estimate(&self, work: Work<'_>, machine: Option<&MachineId>) -> Estimate {
        let estimate = sane(work.estimate_s);
        let (class, team) = (self.classes.get(work.class), self.teams.get(work.team));
        let models = [
            class.map(|e| &e.model),
            team.map(|e| &e.model),
            Some(&self.all.model),
        ];
        let mut distribution = Model::predict(&models, estimate);
        if let Some(m) = machine {
            let factor = self.machines.factor(m);
            if factor != 0.0 {
                distribution = distribution.times(f64::from(factor.exp()));
            }
        }
        let runs = |e: Option<&Entry>| e.map_or(0, |e| e.model.runs);
        let basis = Basis {
            class_runs: runs(class),
            team_runs: runs(team),
            all_runs: self.all.model.runs,
            ratio_share: class
                .or(team)
                .map_or(0.0, |e| e.model.ratio_share(estimate)),
            changes: class.map_or(0, |e| e.model.level.changes + e.model.ratio.changes),
        };
        Estimate {
            distribution,
            basis,
        }
    }

    /// What a class's start commands take until the task runs, in seconds.
    pub fn lead_s(&self, class: &str) -> f64 {
        self.classes
            .get(class)
            .map_or(0.0, |e| f64::from(e.model.lead_s))
    }

    /// A task ran this long after its start command.
    pub fn note_lead(&mut self, class: &str, seconds: f64) {
        if let Some(e) = self.classes.get_mut(class)
            && seconds.is_finite()
        {
            e.model.lead_s += 0.1 * (seconds.clamp(0.0, 3600.0) as f32 - e.model.lead_s);
        }
    }

    /// A run was commanded: by when it will most likely have ended.
    pub fn commanded(&mut self, key: RunKey, work: Work<'_>, now: Micros) {
        let p90 = self.estimate(work, None).distribution.quantile(0.9);
        let at = now + Micros::from_secs_f64(p90 + self.lead_s(work.class));
        if let Some(old) = self.commanded.insert(key.clone(), at) {
            self.ends.remove(&(old, key.clone()));
        }
        self.ends.insert((at, key));
    }

    fn no_longer_commanded(&mut self, key: &RunKey) {
        if let Some(at) = self.commanded.remove(key) {
            self.ends.remove(&(at, key.clone()));
        }
    }

    /// A run began at `since`, or had by then run for `before`; `None`: nobody knows for how long.
    /// Known already, nothing changes.
    pub fn started(
        &mut self,
        key: RunKey,
        work: Work<'_>,
        machines: Vec<MachineId>,
        since: Micros,
        before: Option<Micros>,
    ) {
        if self.running.contains_key(&key) {
            return;
        }
        self.no_longer_commanded(&key);
        let factor = machines
            .iter()
            .map(|m| self.machines.factor(m))
            .fold(f32::MIN, f32::max);
        let factor = if machines.is_empty() { 0.0 } else { factor };
        let found = self.estimate(work, None);
        let (p10, p50, p90) = band(&found.distribution);
        let mut run = Running {
            class: self.name_of(&self.classes, work.class),
            team: self.name_of(&self.teams, work.team),
            estimate: sane(work.estimate_s),
            machines,
            factor,
            since,
            before,
            band: (p10 + factor, p50 + factor, p90 + factor),
            overdue: false,
            ends: None,
        };
        self.watch(&key, &mut run, &found.distribution, true);
        self.running.insert(key, run);
    }

    fn name_of(&self, names: &BTreeMap<Rc<str>, Entry>, name: &str) -> Rc<str> {
        names
            .get_key_value(name)
            .map_or_else(|| Rc::from(name), |(k, _)| k.clone())
    }

    /// The run is looked at again when it will have outlived 95 of 100.
    fn watch(&mut self, key: &RunKey, run: &mut Running, d: &Distribution, first: bool) {
        let Some(before) = run.before else { return };
        let after = |q: f32| {
            let whole = Micros::from_secs_f64(f64::from((q + run.factor).exp()));
            run.since + (whole - before).max(Micros(1))
        };
        let late = after(d.0[GRID.len() - 2]);
        if first && late <= run.since + Micros(1) {
            // Found after a takeover, and overdue already: the last leader has counted it.
            run.overdue = true;
        } else {
            self.due.push(Reverse((late, key.clone())));
        }
        if let Some(old) = run.ends.replace(after(d.0[P90])) {
            self.ends.remove(&(old, key.clone()));
        }
        if let Some(ends) = run.ends {
            self.ends.insert((ends, key.clone()));
        }
    }

    /// Runs that will most likely (nine in ten) end within this span, the soonest first.
    pub fn ending_within(&self, now: Micros, span: Micros) -> impl Iterator<Item = &RunKey> {
        // Those past that time may take any time.
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
        self.ends
            .range(from..)
            .take_while(move |(at, _)| *at <= now + span)
            .map(|(_, key)| key)
    }

    /// Runs whose start nobody saw began when their attempts were commanded, and a class's lead
    /// later. `day`: time of day less the steady clock; `split`: an attempt's token and how long
    /// after that token's grant it was commanded. Runs of tokens that nobody remembers stay as
    /// they are.
    pub fn date_runs(&mut self, day: Micros, split: &dyn Fn(Attempt) -> (u64, Micros)) {
        let undated: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, r)| r.before.is_none())
            .map(|(k, _)| k.clone())
            .collect();
        for key in undated {
            let (token, after) = split(key.1);
            let Some(granted) = self.granted_at(token) else {
                continue;
            };
            let Some(mut run) = self.running.remove(&key) else {
                continue;
            };
            let lead = Micros::from_secs_f64(self.lead_s(&run.class));
            run.before = Some((day + run.since) - (granted + after + lead));
            let work = Work {
                class: &run.class.clone(),
                team: &run.team.clone(),
                estimate_s: 0.0,
            };
            let d = Model::predict(&self.models(work), run.estimate);
            self.watch(&key, &mut run, &d, true);
            self.running.insert(key, run);
        }
    }

    /// The run is under way, as far as is known.
    pub fn runs(&self, key: &RunKey) -> bool {
        self.running.contains_key(key)
    }

    /// When [`Learner::tick`] has something to look at.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.peek().map(|Reverse((at, _))| *at)
    }

    /// Looks at runs that have outlived their bands: many of a class mean that it has changed, and
    /// what is left of all its runs is more than was thought. Returns classes found changed.
    pub fn tick(&mut self, now: Micros) -> Vec<Rc<str>> {
        // What was commanded and never came to run is forgotten in time.
        while let Some((at, key)) = self
            .ends
            .first()
            .filter(|(at, _)| now > *at + Micros::from_secs(60))
            .cloned()
        {
            self.ends.remove(&(at, key.clone()));
            self.commanded.remove(&key);
        }
        let mut changed = Vec::new();
        while let Some(Reverse((at, _))) = self.due.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, key))) = self.due.pop() else {
                break;
            };
            let Some(run) = self.running.get_mut(&key) else {
                continue;
            };
            run.overdue = true;
            let Some(entry) = self.classes.get_mut(&run.class) else {
                continue;
            };
            entry.model.overdue += 1.0;
            // The first ends after a change are those of its short runs: they and the long runs that
            // outlive their bands speak together.
            let together = entry.model.overdue / OVERDUE_ALARM + entry.model.level.rising();
            if together < 1.0 || entry.model.overdue < 2.0 || entry.model.level.weight() < 4.0 {
                continue;
            }
            entry.model.overdue = 0.0;
            // The median of those that are overdue now lies at least where they are.
            let class = run.class.clone();
            let late = self
                .running
                .values()
                .filter(|r| r.class == class && r.overdue);
            let late: Vec<(f32, Option<f32>)> = late
                .filter_map(|r| Some((sane(r.ran(now)?)? - r.factor, r.estimate)))
                .collect();
            let Some(entry) = self.classes.get_mut(&class) else {
                continue;
            };
            if !entry.model.outlived(&late) {
                continue;
            }
            entry.drift = 0.0;
            self.shelf.touch(entry.page);
            // Its other runs are looked at again by what is known now.
            let again: Vec<RunKey> = self
                .running
                .iter()
                .filter(|(_, r)| r.class == class && r.overdue)
                .map(|(k, _)| k.clone())
                .collect();
            for key in again {
                let Some(mut run) = self.running.remove(&key) else {
                    continue;
                };
                let work = Work {
                    class: &run.class.clone(),
                    team: &run.team.clone(),
                    estimate_s: 0.0,
                };
                let models = self.models(work);
                let d = Model::predict(&models, run.estimate);
                run.overdue = false;
                self.watch(&key, &mut run, &d, false);
                self.running.insert(key, run);
            }
            changed.push(class);
        }
        changed
    }

    fn models(&self, work: Work<'_>) -> [Option<&Model>; 3] {
        let class = self.classes.get(work.class).map(|e| &e.model);
        [
            class,
            self.teams.get(work.team).map(|e| &e.model),
            Some(&self.all.model),
        ]
    }

    /// A run is over. Returns its length in seconds if that is known and it completed.
    pub fn ended(&mut self, key: &RunKey, end: End, now: Micros) -> Option<f64> {
        self.no_longer_commanded(key);
        let run = self.running.remove(key)?;
        if let Some(at) = run.ends {
            self.ends.remove(&(at, key.clone()));
        }
        let seconds = run.ran(now)?;
        let whole = sane(seconds)?;
        match end {
            End::Void => return None,
            End::Cut => self.cut(&run, whole),
            End::Done => self.done(&run, whole),
        }
        (end == End::Done).then_some(seconds)
    }

    /// A run that nobody saw end, or perhaps start, was found completed: it ended at about this
    /// time. (Were such runs left aside, those of just the length from a takeover's burst of starts
    /// to the next gap between leaders would always be missing.) Returns whether it could be dated.
    pub fn found_ended(
        &mut self,
        key: &RunKey,
        work: Work<'_>,
        about: Micros,
        day: Micros,
        split: &dyn Fn(Attempt) -> (u64, Micros),
    ) -> bool {
        let (token, after) = split(key.1);
        let Some(granted) = self.granted_at(token) else {
            return false;
        };
        let lead = Micros::from_secs_f64(self.lead_s(work.class));
        let ran = ((day + about) - (granted + after + lead)).as_secs_f64();
        if let Some(whole) = sane(ran.max(0.5)) {
            let d = self.estimate(work, None).distribution;
            let run = Running {
                class: self.name_of(&self.classes, work.class),
                team: self.name_of(&self.teams, work.team),
                estimate: sane(work.estimate_s),
                machines: Vec::new(),
                factor: 0.0,
                since: about,
                before: None,
                band: band(&d),
                overdue: false,
                ends: None,
            };
            self.done(&run, whole);
        }
        true
    }

    fn cut(&mut self, run: &Running, whole: f32) {
        let (x, memory) = (whole - run.factor, self.limits.memory);
        // Only a class that is known: a run that was cut short says nothing about a level.
        if let Some(e) = self.classes.get_mut(&run.class) {
            e.model.outlive(x, run.estimate, memory);
            self.shelf.touch(e.page);
        }
        if let Some(e) = self.teams.get_mut(&run.team) {
            e.model.outlive(x, run.estimate, memory);
        }
    }

    fn done(&mut self, run: &Running, whole: f32) {
        self.clock += 1;
        if !self.classes.contains_key(&run.class) {
            self.make_room(Kind::Team, &run.team);
            self.make_room(Kind::Class, &run.class);
        }
        let memory = self.limits.memory;
        let x = whole - run.factor;
        let mut team = self.teams.get_mut(&run.team);
        if let Some(class) = self.classes.get_mut(&run.class) {
            // What is not explained by the class, nor by what all its runs of late have in common,
            // is the machine's doing. A gang runs at its slowest: of several machines it can't be
            // told which that was.
            if class.model.level.weight() >= 5.0 {
                let models = [
                    Some(&class.model),
                    team.as_ref().map(|e| &e.model),
                    Some(&self.all.model),
                ];
                let off = whole - Model::predict_median(&models, run.estimate) - class.drift;
                class.drift += 0.15 * off.clamp(-1.0, 1.0);
                if let [machine] = run.machines.as_slice() {
                    self.machines.note(machine, off);
                }
            }
            class.take(run, x, whole, memory, self.clock);
            self.shelf.touch(class.page);
        }
        if let Some(team) = &mut team {
            team.take(run, x, whole, memory, self.clock);
            self.shelf.touch(team.page);
        }
        // All work together is needed for what is seen for the first time alone: every fourth run
        // will do.
        if self.all.model.runs < 64 || self.clock.is_multiple_of(4) {
            self.all.model.end(x, run.estimate, memory);
            self.shelf.touch(self.all.page);
        }
    }

    /// Makes room for a class or team that is new.
    fn make_room(&mut self, kind: Kind, name: &Rc<str>) {
        let (entries, most) = match kind {
            Kind::Team => (&mut self.teams, MOST_TEAMS),
            _ => (&mut self.classes, self.limits.classes.max(1)),
        };
        if entries.contains_key(name) {
            return;
        }
        if entries.len() >= most {
            // An eighth goes at once, so that this is seldom done: those not seen for longest, the
            // less often they ran the sooner.
            let worth = |e: &Entry| e.used as f64 + 100.0 * f64::from(e.model.runs).ln_1p();
            let mut worths: Vec<f64> = entries.values().map(worth).collect();
            let cut = (most / 8).max(1).min(worths.len() - 1);
            let bound = *worths.select_nth_unstable_by(cut, f64::total_cmp).1;
            let before = entries.len();
            let shelf = &mut self.shelf;
            entries.retain(|_, e| {
                let stays = worth(e) > bound;
                if !stays {
                    shelf.leave(e.page);
                }
                stays
            });
            self.forgotten += (before - entries.len()) as u64;
        }
        let page = self.shelf.place();
        entries.insert(name.clone(), Entry::new(Model::default(), self.clock, page));
    }

    /// The machine is gone.
    pub fn forget_machine(&mut self, id: &MachineId) {
        self.machines.forget(id);
    }

    /// Whether a machine is credibly at least `bound` times as slow as its peers.
    pub fn slow(&self, id: &MachineId, bound: f64) -> Option<Slow> {
        self.machines.slow(id, bound)
    }

    /// All machines that are credibly slow.
    pub fn all_slow(&self, bound: f64) -> Vec<Slow> {
        self.machines.all_slow(bound)
    }

    /// What is left of a run under way, as known now: its distribution, and how long it has run.
    pub fn remaining(&self, key: &RunKey, now: Micros) -> Option<(Distribution, f64)> {
        let run = self.running.get(key)?;
        // A run whose start nobody saw is taken to have started when it was first seen.
        let ran = run.ran(now).unwrap_or((now - run.since).as_secs_f64());
        let work = Work {
            class: &run.class,
            team: &run.team,
            estimate_s: 0.0,
        };
        let d = Model::predict(&self.models(work), run.estimate);
        Some((d.times(f64::from(run.factor.exp())), ran))
    }

    /// Runs under way, classes remembered, machines known, classes forgotten so far.
    pub fn counts(&self) -> (usize, usize, usize, u64) {
        (
            self.running.len(),
            self.classes.len(),
            self.machines.len(),
            self.forgotten,
        )
    }
}
