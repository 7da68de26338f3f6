//! Scale-in: idle, faulty and failed instances are returned to the cloud; what the cloud says of deletions.

use crate::autoscale::provisioning::ProvisioningState;
use crate::ledger::{Machine, MachinePhase};
use crate::{Action, Scheduler, Tuning};
use hopyoke_protocol::user::Priority;
use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::info;

/// The boot time assumed for a type that the catalog does not name.
const DEFAULT_BOOT_TIME: Micros = Micros::from_secs(60);

/// Instances deleted with one call.
const MAX_INSTANCES_PER_DELETION: usize = 100;
/// Calls to the cloud are scarce: while one deletion is under way the next one gathers machines,
/// or a shrinking fleet is paid for while single deletions queue. A second may go out beside it,
/// for a failed one is only tried again after a pause.
const MAX_DELETIONS_IN_FLIGHT: usize = 2;

impl Scheduler {
    /// The cloud confirmed a deletion: the machines and everything on them are gone.
    pub fn deletion_confirmed(&mut self, ids: &[MachineId], now: Micros) {
        self.inventory.deletions_in_flight = self.inventory.deletions_in_flight.saturating_sub(1);
        for id in ids {
            self.end_probe(id);
            self.clear_allocations(id);
            self.machines.remove(id);
            self.registry.remove(id);
            self.learned.learner.forget_machine(id);
            self.inventory.deleted.insert(id.clone(), now);
        }
        self.placement_schedule.request();
    }

    /// A deletion was not confirmed: it is tried again.
    pub fn deletion_failed(&mut self, ids: &[MachineId]) {
        self.inventory.deletions_in_flight = self.inventory.deletions_in_flight.saturating_sub(1);
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.deletion_requested = false;
            }
        }
    }

    /// A production job was first seen of late.
    pub fn has_recent_production_work(&self, now: Micros) -> bool {
        let keep_ready_for = self.tuning.keep_ready_for;
        self.jobs.values().any(|j| {
            j.spec.priority == Priority::Production && now < j.first_seen_at + keep_ready_for
        })
    }

    /// Returns machines that nobody needs, that are faulty, or that never came up.
    pub(crate) fn scale_in(&mut self, now: Micros) {
        // While production work arrives, one ordinary machine stays ready for the next of it.
        let keeps_ready = self.has_recent_production_work(now);
        let mut idle_ordinary = self.idle_ordinary_machines();
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
            let never_up = is_never_up(m, boot, tuning, now);
            let idle =
                m.idle_since.is_some_and(|t| now >= t + tuning.idle_return) && !is_reconciling;
            let faulty = m.faulty && !m.has_live_attempts();
            let mut unneeded =
                (idle || (m.slow && m.allocations().is_empty())) && !m.has_live_attempts();
            if unneeded && !m.spot && !m.deleting && !m.slow {
                if keeps_ready && idle_ordinary <= tuning.keep_ready {
                    unneeded = false;
                }
                idle_ordinary = idle_ordinary.saturating_sub(1);
            }
            if !m.deleting && (never_up || unneeded || faulty) {
                m.deleting = true;
                if never_up && m.is_request_time_known && boot > Micros::ZERO {
                    let in_boots = |t: Micros| t.as_secs_f64() / boot.as_secs_f64();
                    self.provisioning_estimator.record_abandoned(
                        &m.machine_type,
                        in_boots(now - m.requested_at),
                        in_boots(now),
                    );
                }
                info!(machine = %m.id, zone = %m.zone, spot = m.spot, never_up, faulty, "returning machine");
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

    fn idle_ordinary_machines(&self) -> usize {
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

/// It has taken so long to be provisioned that it is not waited for any longer.
fn is_never_up(m: &Machine, boot: Micros, tuning: &Tuning, now: Micros) -> bool {
    let patience = Micros((boot.0 as f64 * tuning.boot_patience) as u64);
    m.phase == MachinePhase::Provisioning
        && (m.provisioning == ProvisioningState::Failed
            || now >= m.requested_at + patience + Micros::from_secs(30))
}
