//! What a node promises its peers for an outage of the state service.

use hopyoke_consistency::CancellationLog;
use hopyoke_consistency::leader_lease::SUPPORT_DURATION;
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};

/// Cancellations remembered for leaders that may not know of them: minutes' worth at the highest rates of
/// changes, some 2 MB at the most. One that is further behind gets no promise.
const MOST_CONFIRMED: usize = 8192;

/// What peers may rely on while the state service refuses everybody; see [`hopyoke_consistency::leader_lease`].
pub struct LeaseSupport {
    /// Tells this process from its predecessors and successors.
    pub process: u64,
    /// This process promised not to try to lead before this.
    until: Cell<Micros>,
    /// The process before it may have promised as much.
    inherited_until: Micros,
    /// It leads or tries to, or a try may still succeed late: it can't promise.
    pub leads: Cell<bool>,
    /// Cancellations that users were told of here.
    pub confirmed: RefCell<CancellationLog>,
}

impl LeaseSupport {
    /// Of a process that starts now. What a former one promised is forgotten, so all that it can
    /// have promised is kept.
    pub fn of_new_process() -> LeaseSupport {
        LeaseSupport {
            process: rand::random(),
            until: Cell::new(Micros::ZERO),
            inherited_until: runtime::now() + SUPPORT_DURATION.with_drift(),
            leads: Cell::new(false),
            confirmed: RefCell::new(CancellationLog::new(MOST_CONFIRMED)),
        }
    }

    /// This node must not try to lead before this. If its former process still holds the lead, that
    /// had no promise open.
    pub fn kept_until(&self, own_former: bool) -> Micros {
        if own_former {
            self.until.get()
        } else {
            self.until.get().max(self.inherited_until)
        }
    }

    /// Promises not to lead, if that can be kept; for how long.
    pub fn promise(&self) -> Option<Micros> {
        if self.leads.get() {
            return None;
        }
        self.until.set(
            self.until
                .get()
                .max(runtime::now() + SUPPORT_DURATION.with_drift()),
        );
        Some(SUPPORT_DURATION)
    }
}
