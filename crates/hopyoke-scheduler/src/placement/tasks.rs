//! Placement of arrays and services, one task at a time.

use super::Binding;
use super::request::{Candidates, PlacementRequest};
use super::snapshot::{ClusterSnapshot, EarlyStart};
use crate::Scheduler;
use crate::ledger::{Job, WaitReason};
use crate::reconcile::restart_check::RestartDecision;
use hopyoke_protocol::user::Priority;
use hopyoke_types::{JobId, Micros};

/// Maximum number of placed tasks of a job, as a multiple of its window. Tasks beyond the window
/// only use free resources: no instance is requested for them, and nothing is preempted.
const LOOKAHEAD_FACTOR: usize = 4;

/// Indices of a job's unplaced tasks that may be started.
#[derive(Default)]
struct StartableTasks {
    in_window: Vec<u32>,
    /// Tasks beyond the window; see [`LOOKAHEAD_FACTOR`].
    lookahead: Vec<u32>,
    /// Whether some tasks may have attempts that are not reconciled yet.
    has_unknown: bool,
}

/// Result of placing one task.
enum TaskOutcome {
    Placed,
    /// Running tasks are expected to free resources for it shortly.
    CapacityExpected,
    /// Neither this task nor later ones of the job can be placed.
    Blocked(WaitReason),
}

impl Scheduler {
    /// Places the tasks of an array or a service. Returns the reason why the job still waits, or
    /// `None` if it doesn't.
    pub(super) fn place_tasks(
        &mut self,
        id: &JobId,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> Option<WaitReason> {
        let (Some(mut request), Some(job)) = (self.placement_request(id), self.jobs.get(id)) else {
            return None;
        };
        let early_start = snapshot.early_starts.get(id).copied();
        if let Some(early) = early_start {
            request.tasks_by_zone[early.zone] += 1;
        }
        let mut tasks = self.startable_tasks(job, early_start);
        if request.is_crash_looping {
            // Probes whether the job still fails with one task at a time, on free resources only:
            // nothing is requested or preempted for it. Guards against faulty arrays that fill the
            // fleet again after each backoff. (Scenario `mistaken_array`.)
            tasks.lookahead = tasks
                .in_window
                .drain(..)
                .take(usize::from(job.attempts.is_empty()))
                .collect();
        }
        // Tasks that have not been reported yet count for zone constraints, but their zones are
        // unknown.
        if tasks.has_unknown && (request.spec.spread || request.spec.one_zone) {
            return Some(WaitReason::Reconciliation);
        }
        request.avoid_empty_on_demand = snapshot.reservations_enabled
            && request.spec.spot
            && snapshot
                .best_offer(&request, None, 1)
                .is_some_and(|o| snapshot.offers[o].spot);
        let mut candidates = self.candidates(&request, snapshot, None);
        let mut is_capacity_expected = false;
        let mut remaining = tasks.in_window.len() as u32;
        for index in tasks.in_window {
            if !snapshot.charge(&request, 1, &self.cfg.teams) {
                return Some(WaitReason::TeamLimit);
            }
            match self.place_task(
                index,
                remaining,
                &mut request,
                &mut candidates,
                snapshot,
                now,
            ) {
                TaskOutcome::Placed => {}
                TaskOutcome::CapacityExpected => is_capacity_expected = true,
                TaskOutcome::Blocked(reason) => return Some(reason),
            }
            remaining -= 1;
        }
        for index in tasks.lookahead {
            if !self.place_on_free_capacity(index, &mut request, &mut candidates, snapshot, now) {
                break;
            }
        }
        if request.is_crash_looping {
            Some(WaitReason::SingleTaskTrial)
        } else if tasks.has_unknown {
            Some(WaitReason::Reconciliation)
        } else {
            is_capacity_expected.then_some(WaitReason::EndingTasks)
        }
    }

    /// Returns the tasks without an attempt that may be started, in ascending order of index.
    fn startable_tasks(&self, job: &Job, early_start: Option<EarlyStart>) -> StartableTasks {
        let mut tasks = StartableTasks::default();
        let window = self.cfg.placement_window(job.max_done_chars) as usize;
        let span_end = job
            .done
            .first_missing()
            .saturating_add(self.cfg.placement_span(job.max_done_chars));
        let max_lookahead = (LOOKAHEAD_FACTOR * window).saturating_sub(job.attempts.len());
        for (n, index) in job.done.missing(job.spec.tasks).enumerate() {
            if n >= window && (index >= span_end || tasks.lookahead.len() >= max_lookahead) {
                break;
            }
            match self.restart_decision(job, index) {
                _ if early_start.is_some_and(|early| early.index == index) => {}
                RestartDecision::Restart if n >= window => tasks.lookahead.push(index),
                RestartDecision::Restart => tasks.in_window.push(index),
                RestartDecision::Unknown => tasks.has_unknown = true,
                RestartDecision::Reconnect | RestartDecision::AcceptResult => {}
            }
        }
        tasks
    }

    /// Places one task that is already charged to its team.
    ///
    /// Tries, in this order, a ready machine, preemption, backfill, a machine that is being
    /// provisioned, and an instance to be requested. `remaining` is the number of the job's tasks
    /// to place, including this one.
    fn place_task(
        &mut self,
        index: u32,
        remaining: u32,
        request: &mut PlacementRequest,
        candidates: &mut Candidates,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> TaskOutcome {
        let best = candidates.best(request, snapshot, |b| snapshot.score(request, b));
        if best.is_none_or(|bin| !snapshot.bins[bin].ready) {
            if request.spec.priority == Priority::Production
                && let Some(zone) = self.preempt(request, snapshot, now)
            {
                request.tasks_by_zone[zone] += 1;
                return TaskOutcome::Placed;
            }
            if self.tuning.use_for_backfill
                && let Some((bin, has_image)) = self.backfill(request, snapshot)
            {
                self.record_binding(bin, &request.id, index, has_image, snapshot, now);
                return TaskOutcome::Placed;
            }
        }
        let bin = match best {
            Some(bin) => bin,
            None if self.tuning.use_for_demand
                && self.claim_expected_capacity(request, snapshot, now) =>
            {
                snapshot.refund(request, 1);
                return TaskOutcome::CapacityExpected;
            }
            None => {
                let Some(bin) = snapshot.reserve_new_instance(request, None, remaining) else {
                    snapshot.refund(request, 1);
                    return TaskOutcome::Blocked(WaitReason::Machines);
                };
                candidates.put_first(bin, snapshot.bins[bin].zone);
                bin
            }
        };
        let has_image = snapshot.has_image(&snapshot.bins[bin], request.image);
        snapshot.reserve(bin, request);
        if snapshot.bins[bin].ready {
            self.record_binding(bin, &request.id, index, has_image, snapshot, now);
        }
        TaskOutcome::Placed
    }

    /// Places one task if it fits onto a ready machine and into the team's limit; returns false
    /// otherwise.
    fn place_on_free_capacity(
        &mut self,
        index: u32,
        request: &mut PlacementRequest,
        candidates: &mut Candidates,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> bool {
        let bin = candidates
            .best(request, snapshot, |b| snapshot.score(request, b))
            .filter(|b| snapshot.bins[*b].ready);
        let Some(bin) = bin.filter(|_| snapshot.charge(request, 1, &self.cfg.teams)) else {
            return false;
        };
        let has_image = snapshot.has_image(&snapshot.bins[bin], request.image);
        snapshot.reserve(bin, request);
        self.record_binding(bin, &request.id, index, has_image, snapshot, now);
        true
    }

    /// Places the first task of a starving array on free resources. Nothing is requested or
    /// preempted for it.
    pub(super) fn place_first_task(
        &mut self,
        id: &JobId,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        let (Some(mut request), Some(job)) = (self.placement_request(id), self.jobs.get(id)) else {
            return;
        };
        let index = job.done.first_missing();
        if request.is_crash_looping || self.restart_decision(job, index) != RestartDecision::Restart
        {
            return;
        }
        // Most starving arrays wait for their team's limit, so the limit is checked before bins are
        // searched.
        if !snapshot.charge(&request, 1, &self.cfg.teams) {
            return;
        }
        let mut candidates = self.candidates(&request, snapshot, None);
        let bin = candidates
            .best(&request, snapshot, |b| snapshot.score(&request, b))
            .filter(|b| snapshot.bins[*b].ready);
        let Some(bin) = bin else {
            return snapshot.refund(&request, 1);
        };
        let has_image = snapshot.has_image(&snapshot.bins[bin], request.image);
        snapshot.reserve(bin, &mut request);
        let zone = snapshot.bins[bin].zone;
        snapshot
            .early_starts
            .insert(id.clone(), EarlyStart { index, zone });
        self.record_binding(bin, id, index, has_image, snapshot, now);
    }

    /// Records a binding to be made at the end of the cycle. Its resources must be reserved
    /// already.
    fn record_binding(
        &mut self,
        bin: usize,
        job: &JobId,
        index: u32,
        has_image: bool,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        if let Some(machine) = snapshot.bins[bin].machine.clone() {
            let attempt = self.new_attempt(now);
            snapshot.bindings.push(Binding {
                job: job.clone(),
                index,
                machine,
                attempt,
                has_image,
            });
        }
    }
}
