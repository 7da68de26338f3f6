//! Scale-out: requests for instances to meet demand, and supervision of their provisioning.

use crate::autoscale::provisioning::ProvisioningState;
use crate::ledger::{Machine, MachinePhase};
use crate::{Action, Scheduler};
use hopyoke_types::MachineId;
use hopyoke_types::Micros;
use std::collections::BTreeMap;
use tracing::info;

/// An instance type in a zone, on demand or spot, as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    /// Machine type in the catalog.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// True for spot instances.
    pub spot: bool,
}

/// Demand for instances, computed by a placement cycle.
pub(crate) struct Demand {
    /// Number of instances to be requested, by offer.
    pub offers: BTreeMap<Offer, u32>,
    /// Machines that are reserved for waiting tasks and don't count as idle.
    pub reserved_machines: Vec<MachineId>,
}

/// Outcome of a scale-out request.
#[derive(Debug, Clone, PartialEq)]
pub enum ScaleOutOutcome {
    /// These instances were created, possibly fewer than requested.
    Created(Vec<MachineId>),
    /// The cloud lacks capacity for the offer.
    NoCapacity,
    /// Failed for another reason, or got no response. The same request is to be retried.
    Unknown,
}

/// A scale-out request without a final outcome.
struct PendingScaleOut {
    offer: Offer,
    count: u32,
    attempts: u32,
    retry_at: Option<Micros>,
}

/// Exponential backoff of an offer that lacks capacity.
#[derive(Default)]
struct CapacityBackoff {
    until: Micros,
    failures: u32,
}

/// Pending scale-out requests by idempotency key, and offers in backoff.
#[derive(Default)]
pub(crate) struct PendingScaleOuts {
    requests: BTreeMap<String, PendingScaleOut>,
    backoffs: BTreeMap<Offer, CapacityBackoff>,
}

impl PendingScaleOuts {
    /// Returns the offers of pending requests, with the number of instances.
    pub(crate) fn requests(&self) -> Vec<(Offer, u32)> {
        self.requests
            .values()
            .map(|r| (r.offer.clone(), r.count))
            .collect()
    }

    /// Returns true if the offer is in backoff because it lacked capacity.
    pub(crate) fn is_in_backoff(&self, offer: &Offer, now: Micros) -> bool {
        self.backoffs.get(offer).is_some_and(|r| now < r.until)
    }

    fn back_off(&mut self, offer: &Offer, pause: Micros, now: Micros) {
        let backoff = self.backoffs.entry(offer.clone()).or_default();
        backoff.failures += 1;
        backoff.until = now + pause.times(1 << (backoff.failures - 1).min(2));
    }
}

const MAX_INSTANCES_PER_REQUEST: u32 = 50;
const MAX_REQUEST_ATTEMPTS: u32 = 8;

impl Scheduler {
    /// Requests instances to meet demand, and retries requests with an unknown outcome.
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
            .map(|(request, _)| request.clone())
            .collect();
        for request in due_retries {
            if let Some(pending) = self.pending_scale_outs.requests.get_mut(&request) {
                pending.retry_at = None;
                self.actions.push_back(scale_out_action(&request, pending));
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
            let pending = PendingScaleOut {
                offer,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
                attempts: 0,
                retry_at: None,
            };
            self.actions.push_back(scale_out_action(&request, &pending));
            self.pending_scale_outs.requests.insert(request, pending);
        }
    }

    /// Handles the outcome of a scale-out request.
    pub fn scale_out_ended(&mut self, request: &str, outcome: ScaleOutOutcome, now: Micros) {
        let Some(pending) = self.pending_scale_outs.requests.get_mut(request) else {
            return;
        };
        self.placement_schedule.request();
        match outcome {
            ScaleOutOutcome::Created(ids) => {
                let Some(pending) = self.pending_scale_outs.requests.remove(request) else {
                    return;
                };
                let offer = pending.offer;
                info!(machine_type = %offer.machine_type, zone = %offer.zone, spot = offer.spot, wanted = pending.count, got = ids.len(), "instances created");
                if (ids.len() as u32) < pending.count {
                    self.pending_scale_outs
                        .back_off(&offer, self.tuning.refusal_pause, now);
                } else {
                    self.pending_scale_outs.backoffs.remove(&offer);
                }
                for id in ids {
                    if self.inventory.deleted.contains_key(&id) {
                        continue;
                    }
                    // No other leader can have sent commands to a machine that this leader requested.
                    let m = self.machines.entry(id.clone()).or_insert_with(|| {
                        Machine::new(
                            id,
                            offer.machine_type.clone(),
                            offer.zone.clone(),
                            offer.spot,
                            self.token,
                            now,
                        )
                    });
                    m.created_by_this_leader = true;
                    m.is_request_time_known = true;
                }
            }
            ScaleOutOutcome::NoCapacity => {
                if let Some(pending) = self.pending_scale_outs.requests.remove(request) {
                    info!(machine_type = %pending.offer.machine_type, zone = %pending.offer.zone, spot = pending.offer.spot, "cloud lacks capacity for offer");
                    self.pending_scale_outs.back_off(
                        &pending.offer,
                        self.tuning.refusal_pause,
                        now,
                    );
                }
            }
            ScaleOutOutcome::Unknown => {
                pending.attempts += 1;
                if pending.attempts >= MAX_REQUEST_ATTEMPTS {
                    // If the cloud executed it, the machines are found by their heartbeats or in the list.
                    self.pending_scale_outs.requests.remove(request);
                } else {
                    pending.retry_at =
                        Some(now + Micros::from_secs(1u64 << pending.attempts.min(3)));
                }
            }
        }
    }

    /// Updates the provisioning state of machines that are not up yet. Placement no longer relies on overdue
    /// machines, so that replacements are requested. No invariant depends on this state.
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
            let (nominal_boot_s, ages, machines_of_type) = booting.entry(&t.name).or_default();
            *nominal_boot_s = t.boot_s;
            ages.push((now - m.requested_at).as_secs_f64() / t.boot_s);
            machines_of_type.push(m);
        }
        for (machine_type, (nominal_boot_s, ages, machines_of_type)) in booting {
            for (m, assessed) in machines_of_type
                .into_iter()
                .zip(provisioning_estimator.assess(
                    machine_type,
                    &ages,
                    now.as_secs_f64() / nominal_boot_s,
                ))
            {
                if m.provisioning == ProvisioningState::Awaited
                    && assessed != ProvisioningState::Awaited
                {
                    info!(machine = %m.id, zone = %m.zone, spot = m.spot, "provisioning overdue: placement no longer relies on machine");
                }
                // In a partitioned zone it may be up although its heartbeats don't arrive.
                let may_be_up =
                    assessed == ProvisioningState::Failed && partitioned_zones.contains(&m.zone);
                m.provisioning = if may_be_up {
                    ProvisioningState::Overdue
                } else {
                    assessed
                };
            }
        }
    }
}

fn scale_out_action(request: &str, pending: &PendingScaleOut) -> Action {
    Action::ScaleOut {
        request: request.to_owned(),
        machine_type: pending.offer.machine_type.clone(),
        zone: pending.offer.zone.clone(),
        spot: pending.offer.spot,
        count: pending.count,
    }
}
