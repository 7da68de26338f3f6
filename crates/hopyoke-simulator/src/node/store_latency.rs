//! Timeouts of a node's store requests, by the latency estimator that the daemon uses too.

use super::WATCH_TIMEOUT;
use crate::Simulation;
use hopyoke_consistency::latency::{Purpose, RequestKind, TimeoutPolicy};
use hopyoke_types::Micros;

impl Simulation {
    /// Returns the timeout of a request that a node sends now.
    pub(crate) fn store_timeout(&self, node: usize, kind: RequestKind, purpose: Purpose) -> Micros {
        let bounds = TimeoutPolicy::new(self.lease_ttl, WATCH_TIMEOUT).bounds(kind, purpose);
        self.nodes[node]
            .store_latency
            .timeout(kind, bounds, self.now)
    }

    /// Returns the latency that a node expects of a request sent now. Returns `None` without a recent measurement.
    pub(crate) fn expected_latency(&self, node: usize, kind: RequestKind) -> Option<Micros> {
        self.nodes[node].store_latency.expected(kind, self.now)
    }

    /// Records that a node received the response to a request sent at `sent`.
    pub(crate) fn store_answered(&mut self, node: usize, kind: RequestKind, sent: Micros) {
        let now = self.now;
        self.nodes[node]
            .store_latency
            .record_response(kind, now - sent, now);
    }

    /// Records that a request of a node, sent at `sent`, timed out.
    pub(crate) fn store_timed_out(&mut self, node: usize, kind: RequestKind, sent: Micros) {
        let now = self.now;
        self.nodes[node]
            .store_latency
            .record_timeout(kind, sent, now);
    }
}
