//! Instance offers of the cloud, and selection of the cheapest one for a job.

use super::request::PlacementRequest;
use super::snapshot::{Bin, ClusterSnapshot, InstanceOffer};
use crate::Scheduler;
use crate::autoscale::scale_out::Offer;
use hopyoke_types::Micros;

/// Price factor for a type that is the only choice of other waiting work.
const SOLE_CHOICE_PRICE_FACTOR: f64 = 1.25;

impl ClusterSnapshot {
    /// Returns the index of the offer with the lowest cost per task, restricted to `zone` if given.
    ///
    /// At most `remaining` tasks share the cost of an instance. Returns `None` if no offer
    /// satisfies the job's constraints.
    pub(super) fn best_offer(
        &self,
        request: &PlacementRequest,
        zone: Option<usize>,
        remaining: u32,
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (i, o) in self.offers.iter().enumerate() {
            if !request.eligible_types[o.type_index]
                || (o.spot && !request.spec.spot)
                || zone.is_some_and(|only| only != o.zone)
                || request.zone.is_some_and(|only| only != o.zone)
                || !request.zone_allows(o.zone)
            {
                continue;
            }
            let tasks = self.type_resources[o.type_index]
                .max_tasks(&request.task_resources)
                .min(remaining.max(1));
            let is_avoided = self
                .sole_choice_types
                .should_avoid(o.type_index, request.eligible_type_count);
            let cost = o.cost
                * if is_avoided {
                    SOLE_CHOICE_PRICE_FACTOR
                } else {
                    1.0
                }
                / f64::from(tasks);
            if tasks > 0 && best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Adds an instance for tasks of the job to the demand. Returns its bin, or `None` if no offer
    /// satisfies the job's constraints.
    pub(super) fn reserve_new_instance(
        &mut self,
        request: &PlacementRequest,
        zone: Option<usize>,
        remaining: u32,
    ) -> Option<usize> {
        let index = self.best_offer(request, zone, remaining)?;
        self.demand[index] += 1;
        let offer = &self.offers[index];
        self.bins.push(Bin::requested(
            offer.type_index,
            offer.zone,
            offer.spot,
            self.type_resources[offer.type_index],
        ));
        self.open_bins.push(self.bins.len() - 1);
        Some(self.bins.len() - 1)
    }
}

impl Scheduler {
    /// Returns the catalog's offers, except those that the cloud refused recently and those in
    /// partitioned zones.
    pub(super) fn offers(&self, now: Micros) -> Vec<InstanceOffer> {
        let mut machines_by_zone = vec![0u32; self.cfg.zones.len() + 1];
        for m in self.machines.values() {
            machines_by_zone[self.cfg.zone_index(&m.zone)] += 1;
        }
        let total_machines = f64::from(machines_by_zone.iter().sum::<u32>().max(1));
        let mut offers = Vec::new();
        for (type_index, t) in self.types.iter().enumerate() {
            let zones = if t.zones.is_empty() {
                &self.cfg.zones
            } else {
                &t.zones
            };
            for z in zones {
                let zone = self.cfg.zone_index(z);
                // Spreads the fleet over zones: a zone's cost grows with its share of the machines.
                let cost_factor = 1.0
                    + self.tuning.zone_burden * f64::from(machines_by_zone[zone]) / total_machines
                    + 0.001 * t.boot_s;
                for spot in [true, false] {
                    let price = if spot { t.spot_price } else { t.price };
                    let offer = Offer {
                        machine_type: t.name.clone(),
                        zone: z.clone(),
                        spot,
                    };
                    if (spot && price <= 0.0)
                        || self.pending_scale_outs.is_in_backoff(&offer, now)
                        || self.is_zone_partitioned(z)
                    {
                        continue;
                    }
                    offers.push(InstanceOffer {
                        offer,
                        type_index,
                        zone,
                        spot,
                        cost: price * cost_factor,
                    });
                }
            }
        }
        offers
    }
}
