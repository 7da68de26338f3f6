//! Gangs: all tasks get places at once, or machines are reserved until they can.

use super::Start;
use super::request::PlacementRequest;
use super::snapshot::ClusterSnapshot;
use crate::Scheduler;
use crate::ledger::WaitReason;
use crate::reconcile::restart_check::RestartDecision;
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, JobSpec};
use hopyoke_types::{JobId, Micros};
use std::cmp::Reverse;
use tracing::debug;

impl Scheduler {
    /// Gangs: all tasks at once, or the replacements that a waiting gang lacks.
    pub(super) fn place_gang(
        &mut self,
        id: &JobId,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> Option<WaitReason> {
        let (Some(request), Some(job)) = (self.request(id), self.jobs.get(id)) else {
            return None;
        };
        let n = job.spec.tasks;
        let missing: Vec<u32> = (0..n).filter(|i| !job.attempts.contains_key(i)).collect();
        if missing.is_empty() || job.is_done() {
            return None;
        }
        // Tasks of the old attempt stay where they are until they exit: nothing new before that.
        if job.gang_failing || (job.gang_started && missing.len() < n as usize) {
            return Some(WaitReason::PreviousAttempt);
        }
        if missing
            .iter()
            .any(|&i| self.check(job, i) != RestartDecision::Restart)
        {
            return Some(WaitReason::Reconciliation);
        }
        let anew = missing.len() == n as usize;
        let start_attempt = job.start_attempt;
        let count = missing.len() as u32;
        if !snapshot.charge(&request, count, &self.cfg.teams) {
            if snapshot.keeps_room && !request.is_crash_looping {
                self.reserve_quota(&request, snapshot, count);
            }
            return Some(WaitReason::TeamLimit);
        }
        // For a gang that failed on several machines nothing is rented and no room is kept.
        let offers = request
            .is_crash_looping
            .then(|| std::mem::take(&mut snapshot.offers));
        let chosen = self.choose_all(&request, snapshot, count);
        if let Some(offers) = offers {
            snapshot.offers = offers;
        }
        let Some(bins) = chosen else {
            snapshot.refund(&request, count);
            if snapshot.keeps_room && !request.is_crash_looping {
                self.reserve(&request, snapshot, count, now);
            }
            return Some(WaitReason::Machines);
        };
        if !bins.iter().all(|&b| snapshot.bins[b].ready) {
            if !snapshot.keeps_room {
                snapshot.lend_ready(&request, &bins);
            }
            return Some(WaitReason::Provisioning);
        }
        let attempt = if anew {
            self.new_attempt(now)
        } else {
            start_attempt
        };
        if anew && let Some(job) = self.jobs.get_mut(id) {
            // Written before any of its tasks is told to start.
            job.start_attempt = attempt;
            job.gang_started = false;
            let waited_ms = (now - job.first_seen_at).as_millis();
            let (class, tasks, waited_for) = (
                &job.spec.class,
                job.spec.tasks,
                job.last_wait_reason.map_or("", WaitReason::as_str),
            );
            let warm = bins
                .iter()
                .filter(|b| snapshot.had_image(&snapshot.bins[**b], request.image))
                .count();
            debug!(job = %id, class, tasks, waited_ms, waited_for, warm, first = start_attempt.0 == 0, "gang start");
            self.writes.mark_dirty(id);
        }
        for (index, bin) in missing.into_iter().zip(bins) {
            if let Some(machine) = snapshot.bins[bin].machine.clone() {
                let image = snapshot.had_image(&snapshot.bins[bin], request.image);
                snapshot.starts.push(Start {
                    job: id.clone(),
                    index,
                    machine,
                    attempt,
                    image,
                });
            }
        }
        None
    }

    /// Finds room for `count` tasks at once, in one zone if the job asks for it. Room on machines
    /// that are not ready yet is taken in the plan, so that it is kept for this gang.
    pub(super) fn choose_all(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
    ) -> Option<Vec<usize>> {
        let zones: Vec<Option<usize>> = if request.spec.one_zone {
            let mut room = vec![(0u32, 0u32, 0u32); self.cfg.zones.len()];
            for &i in &snapshot.open {
                let b = &snapshot.bins[i];
                let Some(room) = room.get_mut(b.zone) else {
                    continue;
                };
                let holds = b.free.holds(&request.task);
                if holds > 0 && self.allowed(request, b) {
                    room.0 += if b.ready { holds } else { 0 };
                    room.1 += holds;
                    room.2 += if b.ready && snapshot.has_image(b, request.image) {
                        holds
                    } else {
                        0
                    };
                }
            }
            let mut zones: Vec<usize> = (0..room.len()).collect();
            // Where all can start now; among those where most have the image: the last to fetch it is
            // the one that all wait for.
            zones.sort_by_key(|&z| {
                Reverse((
                    room[z].0.min(count),
                    room[z].1.min(count),
                    room[z].2.min(count),
                ))
            });
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        for zone in zones {
            let mut taking = request.clone();
            let mut candidates = self.candidates(request, snapshot, zone);
            let mut taken: Vec<usize> = Vec::new();
            let (bins, open, demand) = (
                snapshot.bins.len(),
                snapshot.open.len(),
                snapshot.demand.clone(),
            );
            let mut undo = Vec::new();
            for left in (1..=count).rev() {
                let found = candidates
                    .best(&taking, snapshot, |b| snapshot.score(&taking, b))
                    .or_else(|| {
                        let new = snapshot.open_new(&taking, zone, left)?;
                        candidates.put_first(new, snapshot.bins[new].zone);
                        Some(new)
                    });
                let Some(bin) = found else { break };
                if bin < bins {
                    undo.push((bin, snapshot.bins[bin].before()));
                }
                snapshot.take(bin, &mut taking);
                taken.push(bin);
            }
            if taken.len() == count as usize {
                return Some(taken);
            }
            for (bin, before) in undo.into_iter().rev() {
                snapshot.bins[bin].restore(before);
            }
            snapshot.bins.truncate(bins);
            snapshot.open.truncate(open);
            snapshot.demand = demand;
        }
        None
    }

    /// A gang that its team's limit keeps waiting (in plans that keep room) holds later work of the team back, so that what ends makes
    /// room for it: without this, single tasks take every piece of the limit that falls free, and a gang that
    /// needs much of it never begins. Not if the team's services, which don't end, leave it no room anyway.
    /// (Scenario largest_begin.)
    fn reserve_quota(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
    ) {
        let Some(team) = request.team else { return };
        self.add_visited(self.jobs.len());
        let of_team =
            |spec: &JobSpec| spec.kind == JobKind::Service && spec.team == request.spec.team;
        let lasting = self.jobs.values().filter(|j| of_team(&j.spec));
        let lasting = lasting.fold(Resources::default(), |sum, j| {
            sum + j.task.times(j.attempts.len() as f64)
        });
        let gang = request.task.times(f64::from(count));
        if self.cfg.teams[team].allows(&(lasting + gang)) {
            snapshot.used[team] = snapshot.used[team] + gang;
        }
    }

    /// A gang that finds no room keeps lesser work off the machines that will hold it: without
    /// this, single tasks take every place that falls free, and gangs starve. Machines without
    /// replicas, which stay long, are chosen; the emptiest first, and in one zone if it must be.
    pub(super) fn reserve(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        count: u32,
        now: Micros,
    ) {
        if snapshot.reservations >= self.tuning.gang_reservations {
            return;
        }
        snapshot.reservations += 1;
        self.add_visited(snapshot.bins.len());
        let holds: Vec<u32> = snapshot
            .kinds
            .iter()
            .map(|k| k.holds(&request.task))
            .collect();
        let zones = if request.spec.one_zone {
            self.cfg.zones.len() + 1
        } else {
            1
        };
        let mut fits: Vec<Vec<(u32, u32, usize)>> = vec![Vec::new(); zones];
        for (i, b) in snapshot.bins.iter().enumerate() {
            if b.replicas == 0 && holds[b.kind] > 0 && self.allowed(request, b) {
                fits[b.zone.min(zones - 1)].push((b.free.holds(&request.task), holds[b.kind], i));
            }
        }
        let mut best: Option<(u32, u32, Vec<usize>)> = None;
        for mut fits in fits {
            fits.sort_unstable_by_key(|f| Reverse((f.0, f.1)));
            let (mut room, mut now, mut taken) = (0, 0, Vec::new());
            for (free, total, i) in fits {
                if room >= count {
                    break;
                }
                room += total;
                now += free;
                taken.push(i);
            }
            if best
                .as_ref()
                .is_none_or(|b| (room.min(count), now) > (b.0, b.1))
            {
                best = Some((room.min(count), now, taken));
            }
        }
        if let Some((room, _, taken)) = best
            && room >= count
        {
            if self.tuning.use_for_backfill {
                self.lend(&taken, snapshot, now);
            }
            for i in taken {
                snapshot.bins[i].wanted = true;
                snapshot.bins[i].free = Resources::default();
            }
        }
    }
}
