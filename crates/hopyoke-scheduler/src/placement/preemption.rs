//! Room for production work by stopping tasks of arrays.

use super::TaskKey;
use super::request::PlacementRequest;
use super::snapshot::ClusterSnapshot;
use crate::Scheduler;
use crate::ledger::Allocation;
use crate::resources::Resources;
use hopyoke_protocol::user::JobKind;
use hopyoke_types::Micros;

/// What making room costs, in which bin, and who must go.
type Room = (f64, usize, Vec<TaskKey>);

impl Scheduler {
    /// Makes room for a production task on a machine that is up by stopping tasks of arrays of
    /// lower priority: nobody else is preempted, for arrays lose least. The room is taken in the
    /// plan; the task starts once the others have exited. Returns the zone.
    pub(super) fn preempt(
        &self,
        request: &PlacementRequest,
        snapshot: &mut ClusterSnapshot,
        now: Micros,
    ) -> Option<usize> {
        if snapshot.preempt_searches >= self.tuning.preempt_searches {
            return None;
        }
        snapshot.preempt_searches += 1;
        self.add_visited(snapshot.bins.len());
        let mut best: Option<Room> = None;
        for (i, bin) in snapshot.bins.iter().enumerate() {
            if !bin.ready
                || !request
                    .task
                    .fits_in(&(bin.free + bin.freeing + bin.preemptible))
                || !self.allowed(request, bin)
                || !request.zone_allows(bin.zone)
            {
                continue;
            }
            let image = if snapshot.has_image(bin, request.image) {
                0.0
            } else {
                1000.0
            };
            if best.as_ref().is_some_and(|b| image >= b.0) {
                continue;
            }
            let mut room = bin.free + bin.freeing;
            let mut victims = Vec::new();
            let mut lost = 0.0;
            let Some(m) = bin.machine.as_ref().and_then(|m| self.machines.get(m)) else {
                continue;
            };
            let mut candidates: Vec<(f64, &TaskKey, &Allocation)> = m
                .allocations()
                .iter()
                .filter(|(k, s)| {
                    s.is_live() && s.stop.is_none() && !snapshot.victims.iter().any(|v| v.1 == **k)
                })
                .filter(|(_, s)| {
                    s.spec.as_ref().is_some_and(|v| {
                        v.kind == JobKind::Array && v.priority > request.spec.priority
                    })
                })
                .map(|(k, s)| (self.work_lost(k, s, now), k, s))
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (ran, key, allocation) in candidates {
                if request.task.fits_in(&room) {
                    break;
                }
                room = room + allocation.resources();
                lost += ran + 1.0;
                victims.push(key.clone());
            }
            if !request.task.fits_in(&room) {
                continue;
            }
            let cost = image + lost;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, victims));
            }
        }
        let (_, i, victims) = best?;
        let bin = &mut snapshot.bins[i];
        let machine = bin.machine.clone()?;
        let freed = victims
            .iter()
            .filter_map(|k| self.machines.get(&machine)?.allocations().get(k))
            .map(Allocation::resources);
        let freed = freed.fold(Resources::default(), |a, b| a + b);
        // Room that is promised to this task is neither free nor freeing for others.
        bin.freeing = bin.freeing + bin.free + freed - request.task;
        bin.preemptible = bin.preemptible - freed;
        bin.free = Resources::default();
        bin.wanted = true;
        snapshot
            .victims
            .extend(victims.into_iter().map(|k| (machine.clone(), k)));
        Some(snapshot.bins[i].zone)
    }
}
