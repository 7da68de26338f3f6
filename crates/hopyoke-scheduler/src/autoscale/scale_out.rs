//! Scale-out: instances requested from the cloud for unmet demand, and the watch over their provisioning.

use crate::autoscale::provisioning::ProvisioningState;
use crate::ledger::{Machine, MachinePhase};
use crate::{Action, Scheduler};
use hopyoke_types::MachineId;
use hopyoke_types::Micros;
use std::collections::BTreeMap;
use tracing::info;

/// A kind of instance that the cloud offers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    /// Its type in the catalog.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it away.
    pub spot: bool,
}

/// What a plan found to be missing.
pub(crate) struct Demand {
    /// Instances to be requested.
    pub offers: BTreeMap<Offer, u32>,
    /// Machines that wait for work of this plan: they don't count as idle.
    pub reserved_machines: Vec<MachineId>,
}

/// How a scale-out request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ScaleOutOutcome {
    /// These instances were created; they may be fewer than requested.
    Created(Vec<MachineId>),
    /// The cloud has no such instances now.
    NoCapacity,
    /// Not executed for another reason, or no answer: the same request is to be sent again.
    Unknown,
}

/// A scale-out request that the cloud has not answered for good.
struct PendingScaleOut {
    offer: Offer,
    count: u32,
    attempts: u32,
    retry_at: Option<Micros>,
}

/// An offer without capacity is not requested again for a while, longer each time.
#[derive(Default)]
struct CapacityBackoff {
    until: Micros,
    failures: u32,
}

/// Scale-out requests under way, by their names, and offers that lack capacity.
#[derive(Default)]
pub(crate) struct PendingScaleOuts {
    requests: BTreeMap<String, PendingScaleOut>,
    backoffs: BTreeMap<Offer, CapacityBackoff>,
}

impl PendingScaleOuts {
    /// Requests under way, with how many instances.
    pub(crate) fn requests(&self) -> Vec<(Offer, u32)> {
        self.requests
            .values()
            .map(|r| (r.offer.clone(), r.count))
            .collect()
    }

    /// The offer lacked capacity a short time ago.
    pub(crate) fn is_in_backoff(&self, offer: &Offer, now: Micros) -> bool {
        self.backoffs.get(offer).is_some_and(|r| now < r.until)
    }

    fn back_off(&mut self, offer: &Offer, pause: Micros, now: Micros) {
        let r = self.backoffs.entry(offer.clone()).or_default();
        r.failures += 1;
        r.until = now + pause.times(1 << (r.failures - 1).min(2));
    }
}

const MAX_INSTANCES_PER_REQUEST: u32 = 50;
const MAX_ATTEMPTS: u32 = 8;

impl Scheduler {
    /// Requests instances for what a plan found missing, and repeats requests without an answer.
    pub(crate) fn scale_out(&mut self, demand: Demand, now: Micros) {
        for m in &demand.reserved_machines {
            if let Some(m) = self.machines.get_mut(m) {
                m.idle_since = None;
            }
        }
        let due_retries: Vec<String> = self
            .pending_scale_outs
            .requests
            .iter()
            .filter(|(_, r)| r.retry_at.is_some_and(|t| now >= t))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due_retries {
            if let Some(r) = self.pending_scale_outs.requests.get_mut(&name) {
                r.retry_at = None;
                self.actions.push_back(scale_out_action(&name, r));
            }
        }
        if self.is_receive_overloaded(now) {
            return;
        }
        for (offer, count) in demand.offers {
            let is_pending = self
                .pending_scale_outs
                .requests
                .values()
                .any(|r| r.offer == offer);
            if is_pending || self.pending_scale_outs.requests.len() >= self.tuning.rent_requests {
                continue;
            }
            let request = self.new_request();
            let open = PendingScaleOut {
                offer,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
                attempts: 0,
                retry_at: None,
            };
            self.actions.push_back(scale_out_action(&request, &open));
            self.pending_scale_outs.requests.insert(request, open);
        }
    }

    /// A scale-out request ended.
    pub fn scale_out_ended(&mut self, request: &str, outcome: ScaleOutOutcome, now: Micros) {
        let Some(open) = self.pending_scale_outs.requests.get_mut(request) else {
            return;
        };
        self.placement_schedule.request();
        match outcome {
            ScaleOutOutcome::Created(ids) => {
                let Some(open) = self.pending_scale_outs.requests.remove(request) else {
                    return;
                };
                let o = open.offer;
                info!(machine_type = %o.machine_type, zone = %o.zone, spot = o.spot, wanted = open.count, got = ids.len(), "rented");
                if (ids.len() as u32) < open.count {
                    self.pending_scale_outs
                        .back_off(&o, self.tuning.refusal_pause, now);
                } else {
                    self.pending_scale_outs.backoffs.remove(&o);
                }
                for id in ids {
                    if self.inventory.deleted.contains_key(&id) {
                        continue;
                    }
                    // A machine that we have requested ourselves was never commanded by anyone else.
                    let m = self.machines.entry(id.clone()).or_insert_with(|| {
                        Machine::new(id, o.machine_type.clone(), o.zone.clone(), o.spot, now)
                    });
                    m.created_by_this_leader = true;
                    m.is_request_time_known = true;
                }
            }
            ScaleOutOutcome::NoCapacity => {
                if let Some(open) = self.pending_scale_outs.requests.remove(request) {
                    info!(machine_type = %open.offer.machine_type, zone = %open.offer.zone, spot = open.offer.spot, "no capacity");
                    self.pending_scale_outs
                        .back_off(&open.offer, self.tuning.refusal_pause, now);
                }
            }
            ScaleOutOutcome::Unknown => {
                open.attempts += 1;
                if open.attempts >= MAX_ATTEMPTS {
                    // Should it have been executed, the machines show up in heartbeats or the list.
                    self.pending_scale_outs.requests.remove(request);
                } else {
                    open.retry_at = Some(now + Micros::from_secs(1u64 << open.attempts.min(3)));
                }
            }
        }
    }

    /// Updates what is expected of machines that are being provisioned. One that is overdue is no longer counted on, so that what waits for it has
    /// another requested; nothing that keeps a rule looks at this.
    pub(crate) fn update_provisioning_states(&mut self, now: Micros) {
        if self.is_receive_overloaded(now) {
            return;
        }
        let partitioned_zones: Vec<String> = self
            .cfg
            .zones
            .iter()
            .filter(|z| self.is_zone_partitioned(z))
            .cloned()
            .collect();
        let Scheduler {
            machines,
            types,
            provisioning_estimator,
            ..
        } = self;
        let mut booting: BTreeMap<&str, (f64, Vec<f64>, Vec<&mut Machine>)> = BTreeMap::new();
        for m in machines.values_mut().filter(|m| {
            m.phase == MachinePhase::Provisioning && m.is_request_time_known && !m.deleting
        }) {
            let Some(t) = types
                .iter()
                .find(|t| t.name == m.machine_type && t.boot_s > 0.0)
            else {
                continue;
            };
            let (nominal, ages, of_type) = booting.entry(&t.name).or_default();
            *nominal = t.boot_s;
            ages.push((now - m.requested_at).as_secs_f64() / t.boot_s);
            of_type.push(m);
        }
        for (kind, (nominal, ages, of_type)) in booting {
            for (m, expected) in of_type.into_iter().zip(provisioning_estimator.assess(
                kind,
                &ages,
                now.as_secs_f64() / nominal,
            )) {
                if m.provisioning == ProvisioningState::Awaited
                    && expected != ProvisioningState::Awaited
                {
                    info!(machine = %m.id, zone = %m.zone, spot = m.spot, "machine late: no longer counted on");
                }
                // In a zone that is cut off it may be up without our hearing of it.
                let may_be_up =
                    expected == ProvisioningState::Failed && partitioned_zones.contains(&m.zone);
                m.provisioning = if may_be_up {
                    ProvisioningState::Overdue
                } else {
                    expected
                };
            }
        }
    }
}

fn scale_out_action(request: &str, r: &PendingScaleOut) -> Action {
    Action::ScaleOut {
        request: request.to_owned(),
        machine_type: r.offer.machine_type.clone(),
        zone: r.offer.zone.clone(),
        spot: r.offer.spot,
        count: r.count,
    }
}
