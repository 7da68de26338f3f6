//! Which kinds of machine can be rented, and which is the cheapest for a job.

use super::request::PlacementRequest;
use super::snapshot::{Bin, ClusterSnapshot, OfferView};
use crate::Scheduler;
use crate::autoscale::scale_out::Offer;
use hopyoke_types::Micros;

/// A kind of machine that other work has no alternative to counts as so much dearer.
const NICHE_BURDEN: f64 = 1.25;

impl ClusterSnapshot {
    /// The cheapest offer per task that the job can place on it.
    pub(super) fn best_offer(
        &self,
        request: &PlacementRequest,
        zone: Option<usize>,
        left: u32,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (i, o) in self.offers.iter().enumerate() {
            if !request.kinds[o.kind]
                || (o.spot && !request.spec.spot)
                || zone.is_some_and(|want| want != o.zone)
                || request.zone.is_some_and(|want| want != o.zone)
                || !request.zone_allows(o.zone)
            {
                continue;
            }
            let allocations = self.kinds[o.kind].holds(&request.task).min(left.max(1));
            let avoided = self.fragmentation.avoids(o.kind, request.choices);
            let cost = o.cost * if avoided { NICHE_BURDEN } else { 1.0 } / f64::from(allocations);
            if allocations > 0 && best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Counts on one more machine for a task of the job; its bin.
    pub(super) fn open_new(
        &mut self,
        request: &PlacementRequest,
        zone: Option<usize>,
        left: u32,
    ) -> Option<usize> {
        let offer = self.best_offer(request, zone, left)?;
        self.demand[offer] += 1;
        let o = &self.offers[offer];
        self.bins
            .push(Bin::rented(o.kind, o.zone, o.spot, self.kinds[o.kind]));
        self.open.push(self.bins.len() - 1);
        Some(self.bins.len() - 1)
    }
}

impl Scheduler {
    /// What can be rented, but for what the cloud refused of late.
    pub(super) fn offers(&self, now: Micros) -> Vec<OfferView> {
        let mut here = vec![0u32; self.cfg.zones.len() + 1];
        for m in self.machines.values() {
            here[self.cfg.zone_index(&m.zone)] += 1;
        }
        let all = f64::from(here.iter().sum::<u32>().max(1));
        let mut offers = Vec::new();
        for (kind, t) in self.types.iter().enumerate() {
            let zones = if t.zones.is_empty() {
                &self.cfg.zones
            } else {
                &t.zones
            };
            for z in zones {
                let zone = self.cfg.zone_index(z);
                // Zones that hold less of the fleet are preferred, slightly.
                let burden =
                    1.0 + self.tuning.zone_burden * f64::from(here[zone]) / all + 0.001 * t.boot_s;
                for spot in [true, false] {
                    let price = if spot { t.spot_price } else { t.price };
                    let offer = Offer {
                        machine_type: t.name.clone(),
                        zone: z.clone(),
                        spot,
                    };
                    if (spot && price <= 0.0)
                        || self.pending_scale_outs.refused(&offer, now)
                        || self.is_zone_partitioned(z)
                    {
                        continue;
                    }
                    offers.push(OfferView {
                        offer,
                        kind,
                        zone,
                        spot,
                        cost: price * burden,
                    });
                }
            }
        }
        offers
    }
}
