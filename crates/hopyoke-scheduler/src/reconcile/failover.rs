//! Reconciliation after a failover: tracks which machines may still execute commands of earlier leaders.

use crate::Scheduler;
use crate::ledger::{Machine, MachinePhase};
use hopyoke_types::Micros;
use tracing::info;

/// Longest time after sending a heartbeat at which an agent accepts the response.
const MAX_RESPONSE_DELAY: Micros = Micros::from_millis(4_010);

/// State of the reconciliation that follows this leader's election.
#[derive(Debug)]
pub(crate) struct Reconciliation {
    /// When this leader learned that its fencing token was granted.
    granted_at: Micros,
    is_active: bool,
}

impl Reconciliation {
    pub(crate) fn new(granted_at: Micros, is_active: bool) -> Reconciliation {
        Reconciliation {
            granted_at,
            is_active,
        }
    }

    pub(crate) fn granted_at(&self) -> Micros {
        self.granted_at
    }

    pub(crate) fn is_active(&self) -> bool {
        self.is_active
    }
}

impl Scheduler {
    /// Returns true while a machine may hold tasks that no agent has reported to this leader.
    pub fn is_reconciling(&self) -> bool {
        self.reconciliation.is_active
    }

    /// Ends reconciliation once every registered machine is accounted for: it sent a heartbeat after seeing
    /// this leader's token, its lease has expired, or the cloud confirmed its deletion. Tasks are started
    /// only on registered machines, so a task that is unreported by then runs nowhere. Guards the
    /// invariants `ran_twice` and `quota`.
    ///
    /// Elapsed time alone accounts only for machines on pages that can't be decoded. A machine whose
    /// heartbeat this leader answered keeps its lease, and a command of a stale leaseholder may have
    /// reached it between its heartbeat and the response (scenario reconciliation_outlasts_leases).
    pub(crate) fn update_reconciliation(&mut self, now: Micros) {
        if !self.reconciliation.is_active {
            return;
        }
        let has_unreadable_pages = self.registry.has_unreadable_pages();
        let unreconciled = self
            .machines
            .values()
            .filter(|m| self.is_unreconciled(m))
            .count();
        if unreconciled == 0
            && (!has_unreadable_pages
                || now >= self.reconciliation.granted_at + self.cfg.lease_bound())
        {
            self.reconciliation.is_active = false;
            self.placement_schedule.request();
            self.registry.reconciliation_ended();
            info!(
                token = self.token.0,
                after_ms = (now - self.reconciliation.granted_at).as_millis(),
                "reconciliation completed"
            );
        }
    }

    /// Returns true if a stale leaseholder may have started tasks on the machine, and may still do so.
    ///
    /// A machine that was not in the registry when this leader loaded it holds no tasks of earlier leaders:
    /// a leader starts tasks on a machine only after the write of its registry page is known to be applied
    /// (scenario reconciliation_new_machines).
    pub(crate) fn is_unreconciled(&self, m: &Machine) -> bool {
        let may_hold =
            m.inherited || (self.registry.has_unreadable_pages() && m.phase == MachinePhase::Up);
        may_hold && m.phase != MachinePhase::Lost && !m.is_reconciled(self.token)
    }

    /// Returns true once every agent epoch from before this leader's grant has either expired or accepted a
    /// response of this leader. From then on a heartbeat with an older token is of an epoch that began
    /// after the grant, so no stale leaseholder can have sent it commands. The bound includes
    /// [`MAX_RESPONSE_DELAY`], as an agent accepts a response that long after sending its heartbeat.
    pub(crate) fn earlier_epochs_expired(&self, now: Micros) -> bool {
        now >= self.reconciliation.granted_at + self.cfg.lease_bound() + MAX_RESPONSE_DELAY
    }
}
