//! What a node promises its peers for an outage of the state service.

use hopyoke_core::entitlement::PROMISE;
use hopyoke_runtime as runtime;
use hopyoke_types::{JobId, Micros};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// What peers may rely on while the state service refuses everybody; see [`hopyoke_core::entitlement`].
pub struct Promises {
    /// Tells this process from its predecessors and successors.
    pub process: u64,
    /// This process promised not to try to lead before this.
    until: Cell<Micros>,
    /// The process before it may have promised as much.
    inherited_until: Micros,
    /// It leads or tries to, or a try may still succeed late: it can't promise.
    pub leads: Cell<bool>,
    /// Jobs of which users were told here, of late, that they are cancelled.
    cancelled: RefCell<VecDeque<(Micros, JobId)>>,
}

impl Promises {
    /// Of a process that starts now. What a former one promised is forgotten, so all that it can
    /// have promised is kept.
    pub fn of_new_process() -> Promises {
        Promises {
            process: rand::random(),
            until: Cell::new(Micros::ZERO),
            inherited_until: runtime::now() + PROMISE.with_drift(),
            leads: Cell::new(false),
            cancelled: RefCell::default(),
        }
    }

    /// This node must not try to lead before this. If its former process still holds the lead, that
    /// had no promise open.
    pub fn kept_until(&self, own_former: bool) -> Micros {
        if own_former { self.until.get() } else { self.until.get().max(self.inherited_until) }
    }

    /// Remembers a cancellation until any leader must have heard of it from the state service.
    pub fn note_cancelled(&self, job: &JobId) {
        let now = runtime::now();
        let mut cancelled = self.cancelled.borrow_mut();
        cancelled.push_back((now, job.clone()));
        while cancelled.front().is_some_and(|(t, _)| now > *t + Micros::from_secs(60)) || cancelled.len() > 1000 {
            cancelled.pop_front();
        }
    }

    pub fn cancelled(&self) -> Vec<String> {
        self.cancelled.borrow().iter().map(|(_, id)| id.to_string()).collect()
    }

    /// Promises not to lead, if that can be kept; for how long.
    pub fn promise(&self) -> Option<Micros> {
        if self.leads.get() {
            return None;
        }
        self.until.set(self.until.get().max(runtime::now() + PROMISE.with_drift()));
        Some(PROMISE)
    }
}
