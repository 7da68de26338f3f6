//! The support that a node grants to a peer's leader lease during an outage of the key-value store.

use hopyoke_consistency::CancellationLog;
use hopyoke_consistency::leader_lease::SUPPORT_DURATION;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};

/// Cancellations remembered for leaders that may not know of them: minutes' worth at the highest rates of
/// changes, some 2 MB at the most. A leader that is further behind gets no support.
const MAX_LOGGED_CANCELLATIONS: usize = 8192;

/// What peers may rely on while the key-value store refuses all nodes; see [`hopyoke_consistency::leader_lease`].
pub(crate) struct LeaseSupport {
    /// Distinguishes this process from its predecessors and successors.
    pub(crate) incarnation: u64,
    /// This process has granted support, and must not campaign, until then.
    granted_until: Cell<Micros>,
    /// Its predecessor may have granted support until then.
    predecessor_granted_until: Micros,
    /// This node leads, campaigns, or has a campaign of unknown outcome: it can't grant support.
    is_campaigning: Cell<bool>,
    /// Cancellations that this node has acknowledged to users.
    pub(crate) cancellation_log: RefCell<CancellationLog>,
}

impl LeaseSupport {
    /// The state of a process that starts now. It does not know what its predecessor has granted, so it keeps to
    /// all that this can have been.
    pub(crate) fn for_new_process() -> LeaseSupport {
        LeaseSupport {
            incarnation: rand::random(),
            granted_until: Cell::new(Micros::ZERO),
            predecessor_granted_until: runtime::now() + SUPPORT_DURATION.with_drift(),
            is_campaigning: Cell::new(false),
            cancellation_log: RefCell::new(CancellationLog::new(MAX_LOGGED_CANCELLATIONS)),
        }
    }

    /// When this node may campaign at the earliest. A predecessor that still holds the leader lease had granted
    /// no support.
    pub(crate) fn campaign_not_before(&self, is_own_former_lease: bool) -> Micros {
        if is_own_former_lease {
            self.granted_until.get()
        } else {
            self.granted_until.get().max(self.predecessor_granted_until)
        }
    }

    /// From now on no support is granted.
    pub(crate) fn begin_campaign(&self) {
        self.is_campaigning.set(true);
    }

    /// This node neither leads nor can a campaign of its own still succeed.
    pub(crate) fn end_campaign(&self) {
        self.is_campaigning.set(false);
    }

    /// Grants support to a peer's lease, if this node can refrain from campaigning; for how long.
    pub(crate) fn grant_support(&self) -> Option<Micros> {
        if self.is_campaigning.get() {
            return None;
        }
        self.granted_until.set(
            self.granted_until
                .get()
                .max(runtime::now() + SUPPORT_DURATION.with_drift()),
        );
        Some(SUPPORT_DURATION)
    }
}
