//! Ended runs: what each teaches the models of its class and team, and the speed factor of its machine.

use super::{Entry, Learner, RunKey, RunOutcome, Running, Workload, log_seconds};
use crate::model::{Band, Model};
use crate::pages::EntryKind;
use hopyoke_types::{Attempt, Micros};
use std::rc::Rc;

/// What a run within its band counts against a change: one in twenty outlives its band by chance.
const OVERDUE_DECAY: f32 = 0.25;
/// Upper bound on teams.
const MAX_TEAMS: usize = 64;

impl Entry {
    /// Records a run that completed after `whole`; `x` is the same apart from its machine.
    fn completed(&mut self, run: &Running, x: f32, whole: f32, memory: f32, clock: u64) {
        self.used = clock;
        if self.model.completed(x, run.estimate, memory) {
            self.drift = 0.0;
        }
        self.model.calibrate(whole, run.band.p10, run.band.p90);
        if !run.is_overdue {
            self.model.overdue = (self.model.overdue - OVERDUE_DECAY).max(0.0);
        }
    }
}

impl Learner {
    /// Records the end of a run. Returns its run time in seconds if that is known and it completed.
    pub fn record_end(&mut self, key: &RunKey, outcome: RunOutcome, now: Micros) -> Option<f64> {
        self.remove_commanded(key);
        let run = self.running.remove(key)?;
        if let Some(at) = run.expected_end {
            self.ends.remove(&(at, key.clone()));
        }
        let seconds = run.ran(now)?;
        let whole = log_seconds(seconds)?;
        match outcome {
            RunOutcome::Discarded => return None,
            RunOutcome::Censored => self.censored(&run, whole),
            RunOutcome::Completed => self.completed(&run, whole),
        }
        (outcome == RunOutcome::Completed).then_some(seconds)
    }

    /// Records a run that was found completed, though this leader saw neither its end nor perhaps its start:
    /// it ended at about `about`. (Without such runs, those of just the length from a failover's burst of starts
    /// to the next gap between leaders would always be missing.) `day` and `split`: as for
    /// [`Learner::infer_start_times`]. Returns whether it could be dated.
    pub fn record_found_completed(
        &mut self,
        key: &RunKey,
        work: Workload<'_>,
        about: Micros,
        day: Micros,
        split: &dyn Fn(Attempt) -> (u64, Micros),
    ) -> bool {
        let (token, after) = split(key.1);
        let Some(granted) = self.token_granted_at(token) else {
            return false;
        };
        let latency = Micros::from_secs_f64(self.start_latency_s(work.class));
        let ran = ((day + about) - (granted + after + latency)).as_secs_f64();
        if let Some(whole) = log_seconds(ran.max(0.5)) {
            let d = self.estimate(work, None).distribution;
            let run = Running {
                class: self.interned(&self.classes, work.class),
                team: self.interned(&self.teams, work.team),
                estimate: log_seconds(work.estimate_s),
                machines: Vec::new(),
                factor: 0.0,
                started_at: about,
                elapsed_before: None,
                band: Band::of(&d, 0.0),
                is_overdue: false,
                expected_end: None,
            };
            self.completed(&run, whole);
        }
        true
    }

    fn censored(&mut self, run: &Running, whole: f32) {
        let (x, memory) = (whole - run.factor, self.limits.decay_runs);
        // A censored run gives only a lower bound, so it opens no model of a new class.
        if let Some(e) = self.classes.get_mut(&run.class) {
            e.model.censored(x, run.estimate, memory);
            self.page_allocator.touch(e.page);
        }
        if let Some(e) = self.teams.get_mut(&run.team) {
            e.model.censored(x, run.estimate, memory);
        }
    }

    fn completed(&mut self, run: &Running, whole: f32) {
        self.clock += 1;
        if !self.classes.contains_key(&run.class) {
            self.add_entry(EntryKind::Team, &run.team);
            self.add_entry(EntryKind::Class, &run.class);
        }
        let memory = self.limits.decay_runs;
        let x = whole - run.factor;
        let mut team = self.teams.get_mut(&run.team);
        if let Some(class) = self.classes.get_mut(&run.class) {
            // The deviation that neither the class nor the drift of all its recent runs explains is
            // due to the machine. A gang runs at the speed of its slowest: with several machines it
            // is not known which that was.
            if class.model.level.weight() >= 5.0 {
                let models = [
                    Some(&class.model),
                    team.as_ref().map(|e| &e.model),
                    Some(&self.all.model),
                ];
                let deviation = whole - Model::predict_median(&models, run.estimate) - class.drift;
                class.drift += 0.15 * deviation.clamp(-1.0, 1.0);
                if let [machine] = run.machines.as_slice() {
                    self.machines.observe(machine, deviation);
                }
            }
            class.completed(run, x, whole, memory, self.clock);
            self.page_allocator.touch(class.page);
        }
        if let Some(team) = &mut team {
            team.completed(run, x, whole, memory, self.clock);
            self.page_allocator.touch(team.page);
        }
        // The model of all work serves only classes and teams without runs: every fourth run suffices.
        if self.all.model.runs < 64 || self.clock.is_multiple_of(4) {
            self.all.model.completed(x, run.estimate, memory);
            self.page_allocator.touch(self.all.page);
        }
    }

    /// Adds an empty model for a class or team that has none, evicting others at the limit.
    fn add_entry(&mut self, kind: EntryKind, name: &Rc<str>) {
        let (entries, max_entries) = match kind {
            EntryKind::Team => (&mut self.teams, MAX_TEAMS),
            _ => (&mut self.classes, self.limits.classes.max(1)),
        };
        if entries.contains_key(name) {
            return;
        }
        if entries.len() >= max_entries {
            // An eighth is evicted at once, so that this is rare: those least recently used, the
            // fewer their runs the sooner.
            let worth = |e: &Entry| e.used as f64 + 100.0 * f64::from(e.model.runs).ln_1p();
            let mut worths: Vec<f64> = entries.values().map(worth).collect();
            let cut = (max_entries / 8).max(1).min(worths.len() - 1);
            let bound = *worths.select_nth_unstable_by(cut, f64::total_cmp).1;
            let count_before = entries.len();
            let page_allocator = &mut self.page_allocator;
            entries.retain(|_, e| {
                let stays = worth(e) > bound;
                if !stays {
                    page_allocator.release(e.page);
                }
                stays
            });
            self.evicted += (count_before - entries.len()) as u64;
        }
        let page = self.page_allocator.assign();
        entries.insert(name.clone(), Entry::new(Model::default(), self.clock, page));
    }
}
