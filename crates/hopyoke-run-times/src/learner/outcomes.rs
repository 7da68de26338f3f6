//! Updates the models of class and team, and the machine's speed factor, when a run ends.

use super::{ActiveRun, Entry, Learner, RunKey, RunOutcome, Workload, log_seconds};
use crate::model::{Band, Model};
use crate::pages::EntryKind;
use hopyoke_types::{Attempt, Micros};
use std::rc::Rc;

/// Amount by which a run within its band lowers the overdue statistic. It is above zero because one
/// run in twenty exceeds its band by chance.
const OVERDUE_DECAY: f32 = 0.25;
/// Maximum number of teams with a model.
const MAX_TEAMS: usize = 64;

impl Entry {
    /// Records a completed run by its log run time. `adjusted` is that time less its machine's log factor.
    fn record_completed(
        &mut self,
        run: &ActiveRun,
        adjusted: f32,
        log_run_time: f32,
        decay_runs: f32,
        observation_count: u64,
    ) {
        self.last_used = observation_count;
        if self
            .model
            .record_completed(adjusted, run.log_estimate, decay_runs)
        {
            self.drift = 0.0;
        }
        self.model
            .calibrate_band(log_run_time, run.band.p10, run.band.p90);
        if !run.is_overdue {
            self.model.overdue_statistic = (self.model.overdue_statistic - OVERDUE_DECAY).max(0.0);
        }
    }
}

impl Learner {
    /// Records the end of a run. Returns its run time in seconds if it completed and the time is known
    /// and within range.
    pub fn record_end(&mut self, key: &RunKey, outcome: RunOutcome, now: Micros) -> Option<f64> {
        self.remove_start_command(key);
        let run = self.running.remove(key)?;
        if let Some(at) = run.expected_end {
            self.expected_ends.remove(&(at, key.clone()));
        }
        let seconds = run.elapsed_s(now)?;
        let log_run_time = log_seconds(seconds)?;
        match outcome {
            RunOutcome::Discarded => return None,
            RunOutcome::Censored => self.record_censored(&run, log_run_time),
            RunOutcome::Completed => self.record_completed(&run, log_run_time),
        }
        (outcome == RunOutcome::Completed).then_some(seconds)
    }

    /// Records a run that is first reported after a failover and has already completed, at about
    /// `ended_about`. Without such runs the models would be biased: runs that start right after one
    /// failover and end during the next would never be observed.
    ///
    /// `clock_offset` and `split_attempt` are those of [`Learner::infer_start_times`]. Returns whether
    /// the run's start time could be inferred.
    pub fn record_found_completed(
        &mut self,
        key: &RunKey,
        workload: Workload<'_>,
        ended_about: Micros,
        clock_offset: Micros,
        split_attempt: &dyn Fn(Attempt) -> (u64, Micros),
    ) -> bool {
        let (token, granted_to_command) = split_attempt(key.1);
        let Some(granted_at) = self.token_granted_at(token) else {
            return false;
        };
        let start_latency = Micros::from_secs_f64(self.start_latency_s(workload.class));
        let elapsed_s = ((clock_offset + ended_about)
            - (granted_at + granted_to_command + start_latency))
            .as_secs_f64();
        if let Some(log_run_time) = log_seconds(elapsed_s.max(0.5)) {
            let d = self.estimate(workload, None).distribution;
            let run = ActiveRun {
                class: self.shared_name(&self.classes, workload.class),
                team: self.shared_name(&self.teams, workload.team),
                log_estimate: log_seconds(workload.estimate_s),
                machines: Vec::new(),
                log_factor: 0.0,
                started_at: ended_about,
                elapsed_before: None,
                band: Band::from_distribution(&d, 0.0),
                is_overdue: false,
                expected_end: None,
            };
            self.record_completed(&run, log_run_time);
        }
        true
    }

    fn record_censored(&mut self, run: &ActiveRun, log_run_time: f32) {
        let (adjusted, decay_runs) = (log_run_time - run.log_factor, self.limits.decay_runs);
        // A lower bound alone is not enough to create a model for a new class.
        if let Some(e) = self.classes.get_mut(&run.class) {
            e.model
                .record_censored(adjusted, run.log_estimate, decay_runs);
            self.page_allocator.touch(e.page);
        }
        if let Some(e) = self.teams.get_mut(&run.team) {
            e.model
                .record_censored(adjusted, run.log_estimate, decay_runs);
        }
    }

    fn record_completed(&mut self, run: &ActiveRun, log_run_time: f32) {
        self.observation_count += 1;
        if !self.classes.contains_key(&run.class) {
            self.add_entry(EntryKind::Team, &run.team);
            self.add_entry(EntryKind::Class, &run.class);
        }
        let decay_runs = self.limits.decay_runs;
        let adjusted = log_run_time - run.log_factor;
        let mut team = self.teams.get_mut(&run.team);
        if let Some(class) = self.classes.get_mut(&run.class) {
            // A deviation that neither the class model nor the drift of its recent runs explains is
            // attributed to the machine. A gang runs at the speed of its slowest machine, and with
            // several machines that one is not known.
            if class.model.level.weight() >= 5.0 {
                let models = [
                    Some(&class.model),
                    team.as_ref().map(|e| &e.model),
                    Some(&self.all.model),
                ];
                let deviation =
                    log_run_time - Model::predict_median(&models, run.log_estimate) - class.drift;
                class.drift += 0.15 * deviation.clamp(-1.0, 1.0);
                if let [machine] = run.machines.as_slice() {
                    self.machines.record(machine, deviation);
                }
            }
            class.record_completed(
                run,
                adjusted,
                log_run_time,
                decay_runs,
                self.observation_count,
            );
            self.page_allocator.touch(class.page);
        }
        if let Some(team) = &mut team {
            team.record_completed(
                run,
                adjusted,
                log_run_time,
                decay_runs,
                self.observation_count,
            );
            self.page_allocator.touch(team.page);
        }
        // The model of all work matters only for classes and teams with few runs, so it samples every
        // fourth run.
        if self.all.model.runs < 64 || self.observation_count.is_multiple_of(4) {
            self.all
                .model
                .record_completed(adjusted, run.log_estimate, decay_runs);
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
            // Evicts the lowest-scoring eighth together to amortize the cost. Recent use and many runs
            // raise the score.
            let retention_score =
                |e: &Entry| e.last_used as f64 + 100.0 * f64::from(e.model.runs).ln_1p();
            let mut retention_scores: Vec<f64> = entries.values().map(retention_score).collect();
            let eviction_index = (max_entries / 8).max(1).min(retention_scores.len() - 1);
            let score_bound = *retention_scores
                .select_nth_unstable_by(eviction_index, f64::total_cmp)
                .1;
            let count_before = entries.len();
            let page_allocator = &mut self.page_allocator;
            entries.retain(|_, e| {
                let is_kept = retention_score(e) > score_bound;
                if !is_kept {
                    page_allocator.release(e.page);
                }
                is_kept
            });
            self.evicted += (count_before - entries.len()) as u64;
        }
        let page = self.page_allocator.assign();
        entries.insert(
            name.clone(),
            Entry::new(Model::default(), self.observation_count, page),
        );
    }
}
