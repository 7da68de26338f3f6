//! Reconciliation after a failover: which machines may still execute commands of an earlier leader.

use crate::Scheduler;
use crate::ledger::{Machine, MachinePhase};
use hopyoke_types::Micros;
use tracing::info;

/// An agent takes an answer no later than this after it sent its heartbeat.
const MAX_RESPONSE_DELAY: Micros = Micros::from_millis(4_010);

/// The state of reconciliation after this leader's failover.
#[derive(Debug)]
pub(crate) struct Reconciliation {
    /// When this leader learned that its token was granted.
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
    /// True while tasks that nobody has reported may still be on a machine.
    pub fn is_reconciling(&self) -> bool {
        self.reconciliation.is_active
    }

    /// Reconciliation ends when every machine in the machine registry is accounted for: it reported after
    /// having seen our token, its epoch has expired, or the cloud confirmed its deletion. Tasks
    /// are only ever started on registered machines, so what nobody reported by then is nowhere.
    /// (Guards `ran_twice` and `quota`.)
    ///
    /// Time alone ends it only for machines on pages that can't be read: whoever we have answered
    /// lives on, and an order of a stale leaseholder may have reached it between its heartbeat and our
    /// answer. (Scenario reconciliation_outlasts_leases.)
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
            self.plan_schedule.request();
            self.registry.reconciliation_ended();
            info!(
                token = self.token.0,
                after_ms = (now - self.reconciliation.granted_at).as_millis(),
                "recovered"
            );
        }
    }

    /// An stale leaseholder may have started something on it, and it has not shown yet that no more can come. What was
    /// not in the machine registry when we read it has nothing of theirs: they start nothing on a machine before its page is
    /// written for certain. (Scenario reconciliation_new_machines.)
    pub(crate) fn is_unreconciled(&self, m: &Machine) -> bool {
        let may_hold =
            m.inherited || (self.registry.has_unreadable_pages() && m.phase == MachinePhase::Up);
        may_hold && m.phase != MachinePhase::Lost && !m.is_reconciled(self.token)
    }

    /// A new heartbeat that still shows an older token, from now on, is of an epoch that began after our
    /// grant: one that is older was over when its lease ran out unless it took an answer of ours, and
    /// then it would show our token. No stale leaseholder can have commanded such an epoch.
    /// (An answer counts for heartbeats sent up to [`MAX_RESPONSE_DELAY`] before it.)
    pub(crate) fn earlier_epochs_expired(&self, now: Micros) -> bool {
        now >= self.reconciliation.granted_at + self.cfg.lease_bound() + MAX_RESPONSE_DELAY
    }
}
