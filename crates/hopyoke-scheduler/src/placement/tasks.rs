//! Arrays and services: each task gets a place for itself.

use super::Start;
use super::snapshot::ClusterSnapshot;
use crate::Scheduler;
use crate::ledger::WaitReason;
use crate::reconcile::restart_check::RestartDecision;
use hopyoke_protocol::user::Priority;
use hopyoke_types::{JobId, Micros};

/// In all so many times a job's window may be under way. What is ahead of the window takes room that is
/// there; no machine is rented for it, and nothing is stopped.
const AHEAD: usize = 4;

impl Scheduler {
    /// Arrays and services: each task for itself.
    pub(super) fn place_each(
        &mut self,
        id: &JobId,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> Option<WaitReason> {
        let (Some(mut request), Some(job)) = (self.request(id), self.jobs.get(id)) else {
            return None;
        };
        let begun = snapshot.begun.get(id).copied();
        if let Some((_, zone)) = begun {
            request.zones[zone] += 1;
        }
        let (mut unknown, mut soon) = (false, false);
        let mut startable = Vec::new();
        let mut ahead = Vec::new();
        let window = self.cfg.window() as usize;
        let far = job.done.first_missing().saturating_add(self.cfg.span());
        let most_ahead = (AHEAD * window).saturating_sub(job.attempts.len());
        for (n, index) in job.done.missing(job.spec.tasks).enumerate() {
            if n >= window && (index >= far || ahead.len() >= most_ahead) {
                break;
            }
            match self.check(job, index) {
                _ if begun.is_some_and(|(first, _)| first == index) => {}
                RestartDecision::Restart if n >= window => ahead.push(index),
                RestartDecision::Restart => startable.push(index),
                RestartDecision::Unknown => unknown = true,
                RestartDecision::Reconnect | RestartDecision::AcceptResult => {}
            }
        }
        if request.is_crash_looping {
            // It failed on several machines: one task at a time shows whether it still does, on room that
            // is there. Nothing is rented or stopped for it. (Guards against arrays with a mistake that
            // fill the fleet again after each backoff; scenario failing_array_tried_singly.)
            ahead = startable
                .drain(..)
                .take(usize::from(job.attempts.is_empty()))
                .collect();
        }
        let mut left = startable.len() as u32;
        // A zone rule must not be broken by tasks that nobody has reported yet.
        if unknown && (request.spec.spread || request.spec.one_zone) {
            return Some(WaitReason::Reconciliation);
        }
        request.spare_ordinary = snapshot.keeps_room
            && request.spec.spot
            && snapshot
                .best_offer(&request, None, 1)
                .is_some_and(|o| snapshot.offers[o].spot);
        let mut candidates = self.candidates(&request, snapshot, None);
        let production = request.spec.priority == Priority::Production;
        for index in startable {
            if !snapshot.charge(&request, 1, &self.cfg.teams) {
                return Some(WaitReason::TeamLimit);
            }
            let found = candidates.best(&request, snapshot, |b| snapshot.score(&request, b));
            let bin = match found {
                Some(bin) if snapshot.bins[bin].ready => bin,
                _ => {
                    if production && let Some(zone) = self.preempt(&request, snapshot, now) {
                        request.zones[zone] += 1;
                        left -= 1;
                        continue;
                    }
                    if self.tuning.use_for_backfill
                        && let Some((bin, image)) = self.borrow_room(&request, snapshot)
                    {
                        left -= 1;
                        self.start_on(bin, id, index, image, snapshot, now);
                        continue;
                    }
                    match found {
                        Some(bin) => bin,
                        None if self.tuning.use_for_demand
                            && self.room_soon(&request, snapshot, now) =>
                        {
                            // Its room is on its way: it is looked for again then.
                            snapshot.refund(&request, 1);
                            left -= 1;
                            soon = true;
                            continue;
                        }
                        None => match snapshot.open_new(&request, None, left) {
                            Some(bin) => {
                                candidates.put_first(bin, snapshot.bins[bin].zone);
                                bin
                            }
                            None => {
                                snapshot.refund(&request, 1);
                                return Some(WaitReason::Machines);
                            }
                        },
                    }
                }
            };
            left -= 1;
            let image = snapshot.has_image(&snapshot.bins[bin], request.image);
            snapshot.take(bin, &mut request);
            if snapshot.bins[bin].ready {
                self.start_on(bin, id, index, image, snapshot, now);
            }
        }
        for index in ahead {
            let bin = candidates
                .best(&request, snapshot, |b| snapshot.score(&request, b))
                .filter(|b| snapshot.bins[*b].ready);
            let Some(bin) = bin.filter(|_| snapshot.charge(&request, 1, &self.cfg.teams)) else {
                break;
            };
            let image = snapshot.has_image(&snapshot.bins[bin], request.image);
            snapshot.take(bin, &mut request);
            self.start_on(bin, id, index, image, snapshot, now);
        }
        match (unknown, soon) {
            _ if request.is_crash_looping => Some(WaitReason::SingleTaskTrial),
            (true, _) => Some(WaitReason::Reconciliation),
            (_, true) => Some(WaitReason::EndingTasks),
            _ => None,
        }
    }

    /// Lets an array that is overdue begin, with one task on room that is there: nothing is rented or stopped for it.
    pub(super) fn place_first(&mut self, id: &JobId, snapshot: &mut ClusterSnapshot, now: Micros) {
        let (Some(mut request), Some(job)) = (self.request(id), self.jobs.get(id)) else {
            return;
        };
        let index = job.done.first_missing();
        if request.is_crash_looping || self.check(job, index) != RestartDecision::Restart {
            return;
        }
        // Most that are overdue wait for their team's limit: no bins are looked at for them.
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
        let image = snapshot.has_image(&snapshot.bins[bin], request.image);
        snapshot.take(bin, &mut request);
        snapshot
            .begun
            .insert(id.clone(), (index, snapshot.bins[bin].zone));
        self.start_on(bin, id, index, image, snapshot, now);
    }

    /// Has the plan start a task in a bin for which room was taken.
    fn start_on(
        &mut self,
        bin: usize,
        job: &JobId,
        index: u32,
        image: bool,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) {
        if let Some(machine) = snapshot.bins[bin].machine.clone() {
            let attempt = self.new_attempt(now);
            snapshot.starts.push(Start {
                job: job.clone(),
                index,
                machine,
                attempt,
                image,
            });
        }
    }
}
