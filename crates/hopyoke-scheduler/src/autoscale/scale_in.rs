//! Scale-in: deletion of idle, slow, faulty and failed instances.

use crate::autoscale::provisioning::ProvisioningState;
use crate::ledger::{Machine, MachinePhase};
use crate::{Action, Scheduler, Tuning};
use hopyoke_protocol::user::Priority;
use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::info;

/// Boot time assumed for types that are missing from the catalog.
const DEFAULT_BOOT_TIME: Micros = Micros::from_secs(60);

/// Maximum number of instances in one deletion request.
const MAX_INSTANCES_PER_DELETION: usize = 100;
/// Maximum number of concurrent deletion requests. The cloud limits the rate of requests, so machines are
/// batched while requests are in flight. A second request keeps deletions going while a failed one backs off.
const MAX_DELETIONS_IN_FLIGHT: usize = 2;

impl Scheduler {
    /// Removes machines whose deletion the cloud confirmed, and all their allocations.
    pub fn deletion_confirmed(&mut self, ids: &[MachineId], now: Micros) {
        self.inventory.deletions_in_flight = self.inventory.deletions_in_flight.saturating_sub(1);
        for id in ids {
            self.end_probe(id);
            self.clear_allocations(id);
            self.machines.remove(id);
            self.registry.remove(id);
            self.learned.learner.remove_machine(id);
            self.inventory.deleted.insert(id.clone(), now);
        }
        self.placement_schedule.request();
    }

    /// Records that a deletion request was not confirmed. The machines are deleted by a later request.
    pub fn deletion_failed(&mut self, ids: &[MachineId]) {
        self.inventory.deletions_in_flight = self.inventory.deletions_in_flight.saturating_sub(1);
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.deletion_requested = false;
            }
        }
    }

    /// Returns true if a production job was first seen within the last [`Tuning::keep_ready_for`].
    pub fn has_recent_production_work(&self, now: Micros) -> bool {
        let keep_ready_for = self.tuning.keep_ready_for;
        self.jobs.values().any(|j| {
            j.spec.priority == Priority::Production && now < j.first_seen_at + keep_ready_for
        })
    }

    /// Deletes machines that are idle, slow and unused, faulty, or failed to come up.
    pub(crate) fn scale_in(&mut self, now: Micros) {
        // While production jobs arrive, `keep_ready` on-demand machines are kept idle for the next of them.
        let keeps_ready = self.has_recent_production_work(now);
        let mut idle_on_demand = self.idle_on_demand_machines();
        let is_reconciling = self.reconciliation.is_active();
        let boot_times: BTreeMap<&str, Micros> = self
            .types
            .iter()
            .map(|t| (t.name.as_str(), Micros::from_secs_f64(t.boot_s)))
            .collect();
        let tuning = &self.tuning;
        let mut deletions = Vec::new();
        for m in self.machines.values_mut() {
            update_idle_since(m, now);
            let boot = boot_times
                .get(m.machine_type.as_str())
                .copied()
                .unwrap_or(DEFAULT_BOOT_TIME);
            let never_up = has_failed_to_come_up(m, boot, tuning, now);
            let idle =
                m.idle_since.is_some_and(|t| now >= t + tuning.idle_return) && !is_reconciling;
            let faulty = m.faulty && !m.has_live_attempts();
            let mut unneeded =
                (idle || (m.slow && m.allocations().is_empty())) && !m.has_live_attempts();
            if unneeded && !m.spot && !m.deleting && !m.slow {
                if keeps_ready && idle_on_demand <= tuning.keep_ready {
                    unneeded = false;
                }
                idle_on_demand = idle_on_demand.saturating_sub(1);
            }
            if !m.deleting && (never_up || unneeded || faulty) {
                m.deleting = true;
                if never_up && m.is_request_time_known && boot > Micros::ZERO {
                    let in_boot_times = |t: Micros| t.as_secs_f64() / boot.as_secs_f64();
                    self.provisioning_estimator.record_abandoned(
                        &m.machine_type,
                        in_boot_times(now - m.requested_at),
                        in_boot_times(now),
                    );
                }
                info!(machine = %m.id, zone = %m.zone, spot = m.spot, never_up, faulty, "scaling in machine");
            }
            if m.deleting
                && !m.deletion_requested
                && self.inventory.deletions_in_flight < MAX_DELETIONS_IN_FLIGHT
                && deletions.len() < MAX_INSTANCES_PER_DELETION
            {
                m.deletion_requested = true;
                deletions.push(m.id.clone());
            }
        }
        if !deletions.is_empty() {
            self.inventory.deletions_in_flight += 1;
            self.actions.push_back(Action::Delete {
                machines: deletions,
            });
        }
    }

    fn idle_on_demand_machines(&self) -> usize {
        self.machines
            .values()
            .filter(|m| {
                !m.spot
                    && m.phase == MachinePhase::Up
                    && m.allocations().is_empty()
                    && !m.deleting
                    && !m.faulty
            })
            .count()
    }
}

fn update_idle_since(m: &mut Machine, now: Micros) {
    if !m.allocations().is_empty() {
        m.idle_since = None;
    } else if m.idle_since.is_none() && m.phase == MachinePhase::Up {
        m.idle_since = Some(now);
    }
}

/// Returns true if the machine has been provisioning for so long that it is not expected to come up.
fn has_failed_to_come_up(m: &Machine, boot: Micros, tuning: &Tuning, now: Micros) -> bool {
    let timeout = Micros((boot.0 as f64 * tuning.boot_patience) as u64);
    m.phase == MachinePhase::Provisioning
        && (m.provisioning == ProvisioningState::Failed
            || now >= m.requested_at + timeout + Micros::from_secs(30))
}
