//! Adaptive timeouts of requests to the key-value store, derived from the measured latency and bounded by the purpose
//! of the request.

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
    /// Numbers of timed-out requests, by priority.
    timeout_counts: [Cell<u64>; RequestPriority::ALL.len()],
}

impl RequestTimeouts {
    /// Creates timeouts without measurements. `leader_ttl` is the TTL of the leader lease.
    pub(crate) fn new(leader_ttl: Micros) -> RequestTimeouts {
        RequestTimeouts {
            latency: RefCell::default(),
            policy: TimeoutPolicy::new(leader_ttl, JOB_WATCH_TIMEOUT),
            timeout_counts: Default::default(),
        }
    }

    /// Returns the timeout of a request that is sent now.
    pub(crate) fn timeout(&self, kind: RequestKind, priority: RequestPriority) -> Micros {
        let bounds = self.policy.bounds(kind, timeout_purpose(priority));
        self.latency.borrow().timeout(kind, bounds, runtime::now())
    }

    /// Returns the expected latency of a request that is sent now, or `None` without a recent measurement.
    pub(crate) fn expected_latency(&self, kind: RequestKind) -> Option<Micros> {
        self.latency.borrow().expected(kind, runtime::now())
    }

    /// Returns the longest expected latency over all kinds of requests, or zero without a recent measurement.
    pub(crate) fn max_expected_latency(&self) -> Micros {
        self.latency
            .borrow()
            .expected_of_slowest(runtime::now())
            .unwrap_or_default()
    }

    /// Returns the smoothed latency of a kind of requests, or `None` if it was never measured.
    pub(crate) fn smoothed_latency(&self, kind: RequestKind) -> Option<Micros> {
        self.latency.borrow().of(kind).smoothed()
    }

    /// Returns the number of timed-out requests of a priority.
    pub(crate) fn timeout_count(&self, priority: RequestPriority) -> u64 {
        self.timeout_counts[priority as usize].get()
    }

    /// Returns whether the store counts as slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.latency.borrow().is_slow()
    }

    /// Records the latency of an answered request.
    pub(crate) fn record_response(&self, kind: RequestKind, latency: Micros) {
        self.latency
            .borrow_mut()
            .record_response(kind, latency, runtime::now());
        self.log_speed_change(kind);
    }

    /// Records the duration of an answered watch, an unknown part of which was the store's wait for changes.
    pub(crate) fn record_watch_response(&self, latency: Micros) {
        self.latency
            .borrow_mut()
            .record_upper_bound(RequestKind::Watch, latency, runtime::now());
    }

    /// Records that a request sent at `sent_at` was not answered within its timeout.
    pub(crate) fn record_timeout(
        &self,
        kind: RequestKind,
        priority: RequestPriority,
        sent_at: Micros,
    ) {
        let count = &self.timeout_counts[priority as usize];
        count.set(count.get() + 1);
        self.latency
            .borrow_mut()
            .record_timeout(kind, sent_at, runtime::now());
        self.log_speed_change(kind);
    }

    fn log_speed_change(&self, kind: RequestKind) {
        let change = self.latency.borrow_mut().speed_change(runtime::now());
        let Some(change) = change else {
            return;
        };
        let latency_ms = self.smoothed_latency(kind).map(Micros::as_millis);
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

/// Returns the purpose that requests of a priority serve.
fn timeout_purpose(priority: RequestPriority) -> Purpose {
    match priority {
        RequestPriority::Critical => Purpose::Lease,
        RequestPriority::Records | RequestPriority::Background => Purpose::Term,
        RequestPriority::Cancels | RequestPriority::Accepts | RequestPriority::Polls => {
            Purpose::User
        }
    }
}
