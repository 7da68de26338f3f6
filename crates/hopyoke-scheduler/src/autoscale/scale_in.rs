//! Scale-in: idle, faulty and failed instances are returned to the cloud; what the cloud says of deletions.

use crate::ledger::MachinePhase;
use crate::provisioning::ProvisioningState;
use crate::{Action, Scheduler};
use hopyoke_protocol::user::Priority;
use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeMap;
use tracing::info;

const MOST_PER_DELETE: usize = 100;
/// Calls to the cloud are scarce: while one deletion is under way the next one gathers machines,
/// or a shrinking fleet is paid for while single deletions queue. A second may go out beside it,
/// for a failed one is only tried again after a pause.
const MOST_OPEN_DELETES: usize = 2;

impl Scheduler {
    /// The cloud confirmed a deletion: the machines and everything on them are gone.
    pub fn deleted(&mut self, ids: &[MachineId], now: Micros) {
        self.open_deletes = self.open_deletes.saturating_sub(1);
        for id in ids {
            self.probe_over(id);
            self.clear_allocations(id);
            self.machines.remove(id);
            self.registry.remove(id);
            self.learned.learner.forget_machine(id);
            self.gone.insert(id.clone(), now);
        }
        self.changed = true;
    }

    /// A deletion was not confirmed: it is tried again.
    pub fn delete_failed(&mut self, ids: &[MachineId]) {
        self.open_deletes = self.open_deletes.saturating_sub(1);
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                m.delete_sent = false;
            }
        }
    }

    /// A production job was first seen of late.
    pub fn production_arriving(&self, now: Micros) -> bool {
        let lately = self.tuning.keep_ready_for;
        self.jobs
            .values()
            .any(|j| j.spec.priority == Priority::Production && now < j.seen_at + lately)
    }

    /// Returns machines that nobody needs, that are faulty, or that never came up.
    pub(crate) fn return_idle(&mut self, now: Micros) {
        let idle_for = self.tuning.idle_return;
        let mut returns = Vec::new();
        // While production work arrives, one ordinary machine stays ready for the next of it.
        let arriving = self.production_arriving(now);
        let mut idle_ordinary = self
            .machines
            .values()
            .filter(|m| {
                !m.spot
                    && m.phase == MachinePhase::Up
                    && m.allocations().is_empty()
                    && !m.deleting
                    && !m.faulty
            })
            .count();
        let patience = |boot: Micros| Micros((boot.0 as f64 * self.tuning.boot_patience) as u64);
        let provisioning_estimator: BTreeMap<&str, Micros> = self
            .types
            .iter()
            .map(|t| (t.name.as_str(), Micros::from_secs_f64(t.boot_s)))
            .collect();
        for m in self.machines.values_mut() {
            if !m.allocations().is_empty() {
                m.idle_since = None;
            } else if m.idle_since.is_none() && m.phase == MachinePhase::Up {
                m.idle_since = Some(now);
            }
            let boot = provisioning_estimator
                .get(m.machine_type.as_str())
                .copied()
                .unwrap_or(Micros::from_secs(60));
            let never_up = m.phase == MachinePhase::Booting
                && (m.boot == ProvisioningState::Hopeless
                    || now >= m.rented_at + patience(boot) + Micros::from_secs(30));
            let idle = m.idle_since.is_some_and(|t| now >= t + idle_for) && !self.is_reconciling;
            let faulty = m.faulty && !m.has_live();
            let mut unneeded = (idle || (m.slow && m.allocations().is_empty())) && !m.has_live();
            if unneeded && !m.spot && !m.deleting && !m.slow {
                if arriving && idle_ordinary <= self.tuning.keep_ready {
                    unneeded = false;
                }
                idle_ordinary = idle_ordinary.saturating_sub(1);
            }
            if !m.deleting && (never_up || unneeded || faulty) {
                m.deleting = true;
                if never_up && m.dated && boot > Micros::ZERO {
                    let in_boots = |t: Micros| t.as_secs_f64() / boot.as_secs_f64();
                    self.provisioning_estimator.given_up(
                        &m.machine_type,
                        in_boots(now - m.rented_at),
                        in_boots(now),
                    );
                }
                info!(machine = %m.id, zone = %m.zone, spot = m.spot, never_up, faulty, "returning machine");
            }
            if m.deleting
                && !m.delete_sent
                && self.open_deletes < MOST_OPEN_DELETES
                && returns.len() < MOST_PER_DELETE
            {
                m.delete_sent = true;
                returns.push(m.id.clone());
            }
        }
        if !returns.is_empty() {
            self.open_deletes += 1;
            self.actions.push_back(Action::Delete { machines: returns });
        }
    }
}
