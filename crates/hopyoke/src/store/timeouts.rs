//! How long answers of the key-value store are waited for: by the latency measured, within what each request serves.

use hopyoke_admission::RequestPriority;
use hopyoke_consistency::latency::{
    Purpose, RequestKind, SpeedChange, StoreLatency, TimeoutPolicy,
};
use hopyoke_event_loop as runtime;
use hopyoke_settings::JOB_WATCH_TIMEOUT;
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use tracing::warn;

/// Timeouts of this node's requests to the store.
pub(crate) struct RequestTimeouts {
    latency: RefCell<StoreLatency>,
    policy: TimeoutPolicy,
    /// Requests without an answer in time, by priority.
    counts: [Cell<u64>; RequestPriority::ALL.len()],
}

impl RequestTimeouts {
    /// `leader_ttl`: the time to live of the leader lease.
    pub(crate) fn new(leader_ttl: Micros) -> RequestTimeouts {
        RequestTimeouts {
            latency: RefCell::default(),
            policy: TimeoutPolicy::new(leader_ttl, JOB_WATCH_TIMEOUT),
            counts: Default::default(),
        }
    }

    /// How long the answer to a request is waited for that is sent now.
    pub(crate) fn timeout(&self, kind: RequestKind, priority: RequestPriority) -> Micros {
        let bounds = self.policy.bounds(kind, purpose_of(priority));
        self.latency.borrow().timeout(kind, bounds, runtime::now())
    }

    /// The latency to expect of a request that is sent now; `None` if none was measured lately.
    pub(crate) fn expected(&self, kind: RequestKind) -> Option<Micros> {
        self.latency.borrow().expected(kind, runtime::now())
    }

    /// The longest latency to expect of a request of any kind that is sent now; zero if none was measured lately.
    pub(crate) fn expected_of_slowest(&self) -> Micros {
        self.latency
            .borrow()
            .expected_of_slowest(runtime::now())
            .unwrap_or_default()
    }

    /// The smoothed latency of a kind of requests, for operators.
    pub(crate) fn smoothed(&self, kind: RequestKind) -> Option<Micros> {
        self.latency.borrow().of(kind).smoothed()
    }

    /// Requests of a priority without an answer in time, for operators.
    pub(crate) fn count(&self, priority: RequestPriority) -> u64 {
        self.counts[priority as usize].get()
    }

    /// The store counts as slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.latency.borrow().is_slow()
    }

    /// A request was answered.
    pub(crate) fn answered(&self, kind: RequestKind, latency: Micros) {
        self.latency
            .borrow_mut()
            .answered(kind, latency, runtime::now());
        self.log_speed_change(kind);
    }

    /// A watch was answered after this, of which the store may have waited a part for changes.
    pub(crate) fn watch_answered_within(&self, latency: Micros) {
        self.latency
            .borrow_mut()
            .answered_within(RequestKind::Watch, latency, runtime::now());
    }

    /// A request had no answer within its timeout.
    pub(crate) fn timed_out(&self, kind: RequestKind, priority: RequestPriority, sent_at: Micros) {
        let count = &self.counts[priority as usize];
        count.set(count.get() + 1);
        self.latency
            .borrow_mut()
            .timed_out(kind, sent_at, runtime::now());
        self.log_speed_change(kind);
    }

    fn log_speed_change(&self, kind: RequestKind) {
        let change = self.latency.borrow_mut().speed_change(runtime::now());
        let Some(change) = change else {
            return;
        };
        let latency_ms = self.smoothed(kind).map(Micros::as_millis);
        let timeout_ms = self.timeout(kind, RequestPriority::Critical).as_millis();
        match change {
            SpeedChange::Slow => warn!(?kind, latency_ms, timeout_ms, "key-value store is slow"),
            SpeedChange::Fast => {
                warn!(
                    ?kind,
                    latency_ms, timeout_ms, "key-value store is fast again"
                );
            }
        }
    }
}

/// What requests of a priority serve.
fn purpose_of(priority: RequestPriority) -> Purpose {
    match priority {
        RequestPriority::Critical => Purpose::Lease,
        RequestPriority::Records | RequestPriority::Background => Purpose::Term,
        RequestPriority::Cancels | RequestPriority::Accepts | RequestPriority::Polls => {
            Purpose::User
        }
    }
}
