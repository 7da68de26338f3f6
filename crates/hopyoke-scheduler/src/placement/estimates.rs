//! What learned run times are used for in a plan. Each use is a setting of its own; none decides
//! a rule: what may be stopped, charged or placed is settled elsewhere.

use super::request::PlacementRequest;
use super::snapshot::{ClusterSnapshot, Soon};
use super::{Keyed, TaskKey};
use crate::Scheduler;
use crate::ledger::{Allocation, MachinePhase};
use crate::resources::Resources;
use hopyoke_protocol::user::{JobKind, Priority};
use hopyoke_types::Micros;

impl Scheduler {
    /// Jobs with a deadline change places among themselves, within one importance, by when they
    /// must start at the latest. The places that they hold together stay the same.
    pub(super) fn order_by_latest_start(&self, keyed: &mut [Keyed]) {
        let mut from = 0;
        while from < keyed.len() {
            let importance = (keyed[from].0.0, keyed[from].0.1);
            let len = keyed[from..]
                .iter()
                .take_while(|k| (k.0.0, k.0.1) == importance)
                .count();
            let group = &mut keyed[from..from + len];
            from += len;
            let mut places = Vec::new();
            let mut due: Vec<(i64, Keyed)> = Vec::new();
            for (i, key) in group.iter().enumerate() {
                let Some(job) = self.jobs.get(&key.1) else {
                    continue;
                };
                let Some(deadline) = job.spec.deadline_s else {
                    continue;
                };
                let run = self.expected(&job.spec).distribution.quantile(0.9);
                let slack = (deadline - run).clamp(-1e9, 1e9);
                places.push(i);
                due.push((key.0.2 as i64 + (slack * 1e6) as i64, key.clone()));
            }
            due.sort();
            for (i, (_, key)) in places.into_iter().zip(due) {
                group[i] = key;
            }
        }
    }

    /// What stopping a task costs, in seconds: what it has run; more, the nearer it is to its end.
    pub(super) fn work_lost(&self, key: &TaskKey, allocation: &Allocation, now: Micros) -> f64 {
        let ran = allocation
            .running_since
            .map_or(0.0, |t| (now - t).as_secs_f64());
        if !self.tuning.use_for_victims {
            return ran;
        }
        let left = self.remaining_s(&key.0, key.1, 0.5, now).unwrap_or(ran);
        ran * (1.0 + ran / (ran + left).max(1e-6))
    }

    /// Room that is kept for a gang is lent until its last machine is expected to be free.
    pub(super) fn lend(&self, taken: &[usize], snapshot: &mut ClusterSnapshot, now: Micros) {
        let mut complete = 0.0f64;
        for &i in taken {
            let Some(m) = snapshot.bins[i]
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
            else {
                continue;
            };
            if m.phase == MachinePhase::Provisioning {
                complete = complete
                    .max((m.requested_at + self.boot_time(&m.machine_type) - now).as_secs_f64());
            }
            for ((task, attempt), allocation) in m.allocations().iter().filter(|(_, s)| s.is_live())
            {
                let left = match self.remaining_s(task, *attempt, 0.5, now) {
                    Some(s) => s,
                    None => allocation
                        .spec
                        .as_ref()
                        .map_or(0.0, |s| self.expected(s).distribution.quantile(0.5)),
                };
                complete = complete.max(left);
            }
        }
        for &i in taken {
            let bin = &mut snapshot.bins[i];
            if bin.ready && (bin.free.gpus > 0.0 || bin.free.cpus > 0.0) {
                bin.lent = Some((bin.free, complete));
                snapshot.lending.push(i);
            }
        }
    }

    /// A place on lent room for a task that will most likely be over before it is missed; whether
    /// its image is there.
    pub(super) fn borrow_room(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
    ) -> Option<(usize, bool)> {
        if snapshot.lending.is_empty()
            || request.spec.kind != JobKind::Array
            || request.cares_for_zones()
        {
            return None;
        }
        let run = self.expected(&request.spec).distribution.quantile(0.9);
        let found = snapshot.lending.iter().copied().find_map(|i| {
            let bin = &snapshot.bins[i];
            let (room, until) = bin.lent?;
            let image = snapshot.has_image(bin, request.image);
            let fetch = self.types[bin.kind].fetch_gb_per_s.max(0.05);
            let takes = run
                + if image {
                    0.0
                } else {
                    request.spec.image_gb / fetch
                };
            (request.task.fits_in(&room) && takes <= until && self.allowed(request, bin))
                .then_some((i, image))
        })?;
        let bin = &mut snapshot.bins[found.0];
        if let Some((room, _)) = &mut bin.lent {
            *room = *room - request.task;
        }
        bin.latest = Some(request.image);
        Some(found)
    }

    /// Running tasks will most likely have made room for one more task before a machine that is
    /// rented now has booted; that room is then spoken for.
    pub(super) fn room_soon(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> bool {
        if request.spec.priority == Priority::Production || request.cares_for_zones() {
            return false;
        }
        if snapshot.soon.is_none() {
            let boot = self
                .types
                .iter()
                .map(|t| t.boot_s)
                .fold(f64::INFINITY, f64::min);
            let span = Micros::from_secs_f64(if boot.is_finite() { boot } else { 0.0 });
            snapshot.soon = Some(self.soon_free(snapshot, now, span));
        }
        let Some(soon) = &mut snapshot.soon else {
            return false;
        };
        let fits = |s: &&mut Soon| {
            request.task.fits_in(&s.room)
                && request.kinds[s.kind]
                && request.zone.is_none_or(|z| z == s.zone)
                && (request.spec.spot || !s.spot)
        };
        let Some(found) = soon.iter_mut().find(fits) else {
            return false;
        };
        found.room = found.room - request.task;
        true
    }

    fn soon_free(&self, snapshot: &ClusterSnapshot, now: Micros, span: Micros) -> Vec<Soon> {
        let mut soon = Vec::new();
        // What this plan starts itself may end in time, too.
        for start in &snapshot.starts {
            let Some(job) = self
                .jobs
                .get(&start.job)
                .filter(|j| j.spec.kind == JobKind::Array)
            else {
                continue;
            };
            let lead = self.learned.learner.start_latency_s(&job.spec.class);
            let Some(m) = self.machines.get(&start.machine) else {
                continue;
            };
            let Some(kind) = self.types.iter().position(|t| t.name == m.machine_type) else {
                continue;
            };
            if lead + self.expected(&job.spec).distribution.quantile(0.9) <= span.as_secs_f64() {
                soon.push(Soon {
                    kind,
                    zone: self.cfg.zone_index(&m.zone),
                    spot: m.spot,
                    room: job.task,
                });
            }
        }
        for (task, _) in self.learned.learner.ending_within(now, span) {
            self.add_visited(1);
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let only = (!job.is_gang()).then_some(task.index);
            for (_, attempts) in job
                .attempts
                .iter()
                .filter(|(i, _)| only.is_none_or(|o| **i == o))
            {
                for (id, _) in attempts {
                    let Some(m) = self
                        .machines
                        .get(id)
                        .filter(|m| !m.faulty && !m.slow && !m.deleting)
                    else {
                        continue;
                    };
                    let Some(kind) = self.types.iter().position(|t| t.name == m.machine_type)
                    else {
                        continue;
                    };
                    let room: Resources = job.task;
                    soon.push(Soon {
                        kind,
                        zone: self.cfg.zone_index(&m.zone),
                        spot: m.spot,
                        room,
                    });
                }
            }
        }
        soon
    }
}
