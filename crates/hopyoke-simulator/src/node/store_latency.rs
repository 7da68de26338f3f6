//! How long a node waits for the store's answers: by the shared estimator, as the daemon does.

use super::WATCH_TIMEOUT;
use crate::Simulation;
use hopyoke_consistency::latency::{Purpose, RequestKind, TimeoutPolicy};
use hopyoke_types::Micros;

impl Simulation {
    /// How long the answer to a request is waited for that node `i` sends now.
    pub(crate) fn store_timeout(&self, i: usize, kind: RequestKind, purpose: Purpose) -> Micros {
        let bounds = TimeoutPolicy::new(self.lease_ttl, WATCH_TIMEOUT).bounds(kind, purpose);
        self.nodes[i].store_latency.timeout(kind, bounds, self.now)
    }

    /// The latency that node `i` expects of a request that it sends now, if it was measured lately.
    pub(crate) fn expected_latency(&self, i: usize, kind: RequestKind) -> Option<Micros> {
        self.nodes[i].store_latency.expected(kind, self.now)
    }

    /// Node `i` received the answer to a request that it sent at `sent`.
    pub(crate) fn store_answered(&mut self, i: usize, kind: RequestKind, sent: Micros) {
        let now = self.now;
        self.nodes[i]
            .store_latency
            .record_response(kind, now - sent, now);
    }

    /// Node `i` had no answer in time to a request that it sent at `sent`.
    pub(crate) fn store_timed_out(&mut self, i: usize, kind: RequestKind, sent: Micros) {
        let now = self.now;
        self.nodes[i].store_latency.record_timeout(kind, sent, now);
    }
}
