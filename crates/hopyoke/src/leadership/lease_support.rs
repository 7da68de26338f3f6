//! Support that a node grants to a peer's leader lease during an outage of the key-value store.

use hopyoke_consistency::CancellationLog;
use hopyoke_consistency::leader_lease::SUPPORT_DURATION;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};

/// Capacity of the log of cancellations that a leader may not know of; bounds its memory to about 2 MB. A leader that
/// has missed cancellations older than the log gets no support.
const MAX_LOGGED_CANCELLATIONS: usize = 8192;

/// Guarantees given to peers while the key-value store refuses all nodes; see [`hopyoke_consistency::leader_lease`].
pub(crate) struct LeaseSupport {
    /// Random ID of this process, which distinguishes it from earlier and later processes of this node.
    pub(crate) incarnation: u64,
    /// End of the support that this process has granted; it must not campaign before.
    granted_until: Cell<Micros>,
    /// Latest end of any support that the previous process of this node may have granted.
    predecessor_granted_until: Micros,
    /// This node leads, campaigns, or has a campaign of unknown outcome, so it must not grant support.
    is_campaigning: Cell<bool>,
    /// Log of the cancellations that this node has acknowledged to users.
    pub(crate) cancellation_log: RefCell<CancellationLog>,
}

impl LeaseSupport {
    /// Creates the state of a process that starts now. The process does not know what its predecessor granted, so it
    /// assumes support for the longest possible time.
    pub(crate) fn for_new_process() -> LeaseSupport {
        LeaseSupport {
            incarnation: rand::random(),
            granted_until: Cell::new(Micros::ZERO),
            predecessor_granted_until: runtime::now() + SUPPORT_DURATION.with_drift(),
            is_campaigning: Cell::new(false),
            cancellation_log: RefCell::new(CancellationLog::new(MAX_LOGGED_CANCELLATIONS)),
        }
    }

    /// Returns the earliest time at which this node may campaign. If the previous process of this node still holds the
    /// leader lease, it cannot have granted support.
    pub(crate) fn campaign_not_before(&self, is_own_former_lease: bool) -> Micros {
        if is_own_former_lease {
            self.granted_until.get()
        } else {
            self.granted_until.get().max(self.predecessor_granted_until)
        }
    }

    /// Stops granting support.
    pub(crate) fn begin_campaign(&self) {
        self.is_campaigning.set(true);
    }

    /// Allows granting support again. The caller ensures that this node neither leads nor has a campaign that can still
    /// succeed.
    pub(crate) fn end_campaign(&self) {
        self.is_campaigning.set(false);
    }

    /// Grants support to a peer's lease and returns its duration. Returns `None` while this node leads or may still be
    /// elected.
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
