//! Preemption: frees resources for production work by stopping tasks of arrays.

use super::AttemptKey;
use super::request::PlacementRequest;
use super::snapshot::{Bin, ClusterSnapshot};
use crate::Scheduler;
use crate::ledger::Allocation;
use crate::resources::Resources;
use hopyoke_protocol::user::JobKind;
use hopyoke_types::Micros;

/// Cost of fetching the task's image, in seconds of lost work. It outweighs the cost of the victims
/// on a machine that has the image.
const MISSING_IMAGE_COST_S: f64 = 1000.0;

/// The victims to preempt on one machine.
struct Preemption {
    /// Total cost in seconds of lost work, including the cost of a missing image.
    cost_s: f64,
    bin: usize,
    victims: Vec<AttemptKey>,
}

impl Scheduler {
    /// Reserves a ready machine's resources for a production task by preempting tasks of arrays of
    /// lower priority.
    ///
    /// Only arrays are preempted, as they lose the least work. The task starts once the victims
    /// have exited. Returns the machine's zone, or `None` if no preemption frees enough or the
    /// cycle's searches are used up.
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
        let mut best: Option<Preemption> = None;
        for (i, bin) in snapshot.bins.iter().enumerate() {
            let max_available = bin.free + bin.freeing + bin.preemptible;
            if !bin.ready
                || !request.task_resources.fits_in(&max_available)
                || !self.passes_filters(request, bin)
                || !request.zone_allows(bin.zone)
            {
                continue;
            }
            let image_cost_s = if snapshot.has_image(bin, request.image) {
                0.0
            } else {
                MISSING_IMAGE_COST_S
            };
            if best.as_ref().is_some_and(|b| image_cost_s >= b.cost_s) {
                continue;
            }
            let Some((victims, lost_work_s)) = self.select_victims(request, bin, snapshot, now)
            else {
                continue;
            };
            let cost_s = image_cost_s + lost_work_s;
            if best.as_ref().is_none_or(|b| cost_s < b.cost_s) {
                best = Some(Preemption {
                    cost_s,
                    bin: i,
                    victims,
                });
            }
        }
        self.reserve_by_preemption(request, best?, snapshot)
    }

    /// Selects the victims on one machine, those with the least lost work first, and sums up the
    /// seconds of lost work.
    ///
    /// Returns `None` if preempting all candidates does not free enough resources.
    fn select_victims(
        &self,
        request: &PlacementRequest,
        bin: &Bin,
        snapshot: &ClusterSnapshot,
        now: Micros,
    ) -> Option<(Vec<AttemptKey>, f64)> {
        let m = bin.machine.as_ref().and_then(|m| self.machines.get(m))?;
        let mut candidates: Vec<(f64, &AttemptKey, &Allocation)> = m
            .allocations()
            .iter()
            .filter(|(k, s)| {
                s.is_live() && s.stop.is_none() && !snapshot.victims.iter().any(|v| v.1 == **k)
            })
            .filter(|(_, s)| {
                s.spec
                    .as_ref()
                    .is_some_and(|v| v.kind == JobKind::Array && v.priority > request.spec.priority)
            })
            .map(|(k, s)| (self.lost_work_s(k, s, now), k, s))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut available = bin.free + bin.freeing;
        let mut victims = Vec::new();
        let mut lost_work_s = 0.0;
        for (lost_s, key, allocation) in candidates {
            if request.task_resources.fits_in(&available) {
                break;
            }
            available = available + allocation.resources();
            lost_work_s += lost_s + 1.0;
            victims.push(key.clone());
        }
        request
            .task_resources
            .fits_in(&available)
            .then_some((victims, lost_work_s))
    }

    /// Reserves the victims' resources and all others that are free or being freed on their
    /// machine. Returns the machine's zone.
    fn reserve_by_preemption(
        &self,
        request: &PlacementRequest,
        preemption: Preemption,
        snapshot: &mut ClusterSnapshot,
    ) -> Option<usize> {
        let bin = &mut snapshot.bins[preemption.bin];
        let machine = bin.machine.clone()?;
        let freed = preemption
            .victims
            .iter()
            .filter_map(|k| self.machines.get(&machine)?.allocations().get(k))
            .map(Allocation::resources);
        let freed = freed.fold(Resources::default(), |a, b| a + b);
        // Resources reserved for this task are neither free nor being freed for other tasks.
        bin.freeing = bin.freeing + bin.free + freed - request.task_resources;
        bin.preemptible = bin.preemptible - freed;
        bin.free = Resources::default();
        bin.reserved = true;
        let zone = bin.zone;
        snapshot
            .victims
            .extend(preemption.victims.into_iter().map(|k| (machine.clone(), k)));
        Some(zone)
    }
}
