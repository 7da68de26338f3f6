//! Detects active runs that exceed their predicted bands. Many of them in one class indicate that its run
//! times have changed.

use super::{ActiveRun, Learner, RunKey, Workload, log_seconds};
use crate::distribution::{Distribution, GRID, P90};
use crate::model::Model;
use hopyoke_types::{Attempt, Micros};
use std::cmp::Reverse;
use std::rc::Rc;

/// Threshold of Page's test on the overdue runs of a class.
const OVERDUE_THRESHOLD: f32 = 4.0;
/// Time after its predicted end at which a run is dropped from the predicted ends. This removes runs
/// that were commanded to start but never reported as running.
const EXPECTED_END_EXPIRY: Micros = Micros::from_secs(60);

impl Learner {
    /// Schedules a check for the time at which the run reaches the p95 of its distribution, and predicts
    /// its end.
    pub(super) fn schedule_overdue_check(
        &mut self,
        key: &RunKey,
        run: &mut ActiveRun,
        d: &Distribution,
        is_first: bool,
    ) {
        let Some(elapsed_before) = run.elapsed_before else {
            return;
        };
        let after = |q: f32| {
            let total = Micros::from_secs_f64(f64::from((q + run.log_factor).exp()));
            run.started_at + (total - elapsed_before).max(Micros(1))
        };
        let overdue_at = after(d.0[GRID.len() - 2]);
        if is_first && overdue_at <= run.started_at + Micros(1) {
            // The run was already overdue before the failover, so the previous leader has counted it.
            run.is_overdue = true;
        } else {
            self.overdue_checks.push(Reverse((overdue_at, key.clone())));
        }
        if let Some(old) = run.expected_end.replace(after(d.0[P90])) {
            self.expected_ends.remove(&(old, key.clone()));
        }
        if let Some(end) = run.expected_end {
            self.expected_ends.insert((end, key.clone()));
        }
    }

    /// Infers the start time of active runs whose start was not observed: one start latency after the
    /// start command.
    ///
    /// `clock_offset` is the wall clock minus the monotonic clock. `split_attempt` returns an attempt's
    /// fencing token and the time from that token's grant to the start command. Runs whose token has no
    /// known grant time are unchanged.
    pub fn infer_start_times(
        &mut self,
        clock_offset: Micros,
        split_attempt: &dyn Fn(Attempt) -> (u64, Micros),
    ) {
        let keys_without_start: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, r)| r.elapsed_before.is_none())
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys_without_start {
            let (token, granted_to_command) = split_attempt(key.1);
            let Some(granted_at) = self.token_granted_at(token) else {
                continue;
            };
            let Some(mut run) = self.running.remove(&key) else {
                continue;
            };
            let start_latency = Micros::from_secs_f64(self.start_latency_s(&run.class));
            run.elapsed_before = Some(
                (clock_offset + run.started_at) - (granted_at + granted_to_command + start_latency),
            );
            let d = self.distribution_of(&run);
            self.schedule_overdue_check(&key, &mut run, &d, true);
            self.running.insert(key, run);
        }
    }

    /// Returns the time of the next check in [`Learner::tick`], or `None` if none is scheduled.
    pub fn next_overdue_check_at(&self) -> Option<Micros> {
        self.overdue_checks.peek().map(|Reverse((at, _))| *at)
    }

    /// Processes the overdue checks that are due. If many runs of a class are overdue, its model is
    /// shifted, which extends the remaining time of all its runs. Returns the classes whose models were
    /// shifted.
    pub fn tick(&mut self, now: Micros) -> Vec<Rc<str>> {
        self.expire_expected_ends(now);
        let mut changed = Vec::new();
        while let Some(Reverse((at, _))) = self.overdue_checks.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, key))) = self.overdue_checks.pop() else {
                break;
            };
            let Some(class) = self.record_overdue(&key) else {
                continue;
            };
            if self.shift_to_overdue(&class, now) {
                self.reschedule_overdue(&class);
                changed.push(class);
            }
        }
        changed
    }

    fn expire_expected_ends(&mut self, now: Micros) {
        while let Some((at, key)) = self
            .expected_ends
            .first()
            .filter(|(at, _)| now > *at + EXPECTED_END_EXPIRY)
            .cloned()
        {
            self.expected_ends.remove(&(at, key.clone()));
            self.commanded_ends.remove(&key);
        }
    }

    /// Marks a run as overdue and updates its class's statistic. Returns the class if the statistic
    /// indicates a change.
    fn record_overdue(&mut self, key: &RunKey) -> Option<Rc<str>> {
        let run = self.running.get_mut(key)?;
        run.is_overdue = true;
        let model = &mut self.classes.get_mut(&run.class)?.model;
        model.overdue_statistic += 1.0;
        // The first runs to complete after a change are short ones, so evidence from completed runs is
        // added to that from overdue runs.
        let evidence = model.overdue_statistic / OVERDUE_THRESHOLD + model.level.upward_evidence();
        if evidence < 1.0 || model.overdue_statistic < 2.0 || model.level.weight() < 4.0 {
            return None;
        }
        model.overdue_statistic = 0.0;
        Some(run.class.clone())
    }

    /// Shifts a class's model to its overdue runs, whose median run time is at least the median of their
    /// elapsed times. Returns whether the model was shifted.
    fn shift_to_overdue(&mut self, class: &Rc<str>, now: Micros) -> bool {
        let overdue: Vec<(f32, Option<f32>)> = self
            .running
            .values()
            .filter(|r| r.class == *class && r.is_overdue)
            .filter_map(|r| {
                Some((
                    log_seconds(r.elapsed_s(now)?)? - r.log_factor,
                    r.log_estimate,
                ))
            })
            .collect();
        let Some(entry) = self.classes.get_mut(class) else {
            return false;
        };
        if !entry.model.shift_to_overdue(&overdue) {
            return false;
        }
        entry.drift = 0.0;
        self.page_allocator.touch(entry.page);
        true
    }

    /// Schedules new checks for a class's overdue runs after its model was shifted.
    fn reschedule_overdue(&mut self, class: &Rc<str>) {
        let overdue: Vec<RunKey> = self
            .running
            .iter()
            .filter(|(_, r)| r.class == *class && r.is_overdue)
            .map(|(k, _)| k.clone())
            .collect();
        for key in overdue {
            let Some(mut run) = self.running.remove(&key) else {
                continue;
            };
            let d = self.distribution_of(&run);
            run.is_overdue = false;
            self.schedule_overdue_check(&key, &mut run, &d, false);
            self.running.insert(key, run);
        }
    }

    /// Returns the distribution of a run's total run time on an average machine.
    pub(super) fn distribution_of(&self, run: &ActiveRun) -> Distribution {
        let workload = Workload {
            class: &run.class,
            team: &run.team,
            estimate_s: 0.0,
        };
        Model::predict(&self.models(workload), run.log_estimate)
    }
}
