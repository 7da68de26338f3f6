//! Lease support: peers extend the validity of a leader's lease while the store is unreachable.

use crate::{Host, Simulation};
use hopyoke_consistency::DeliveryCursors;
use hopyoke_consistency::leader_lease::SUPPORT_DURATION;
use hopyoke_types::{Micros, ModRevision};

/// A leader's request for lease support.
#[derive(Debug, Clone, Copy)]
struct SupportRequest {
    node: usize,
    process: u64,
    /// Revision that the leader has applied. It must receive all later cancellations.
    applied: ModRevision,
    /// Whether the leader's lease is valid. Otherwise no support is granted.
    lease_is_valid: bool,
    sent: Micros,
}

impl Simulation {
    /// Requests lease support from the peers, and the cancellations that they acknowledged to users.
    pub(super) fn request_lease_support(&mut self, node: usize, process: u64) {
        let Some(leadership) = self.leadership(node, process) else {
            return;
        };
        let (applied, cursors) = (
            leadership.scheduler.applied_revision(),
            leadership.delivery_cursors.clone(),
        );
        let request = SupportRequest {
            node,
            process,
            applied,
            lease_is_valid: self.lease_is_valid(node),
            sent: self.now,
        };
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            let cursors = cursors.clone();
            self.send(Host::Node(node), Host::Node(peer), move |sim| {
                sim.lease_support_requested(peer, request, &cursors)
            });
        }
        // The leader counts as one of its own peers, with the cancellations that it acknowledged itself.
        let support = self.nodes[node]
            .cancellation_log
            .covers(applied)
            .then_some(SUPPORT_DURATION);
        if let Some(leadership) = self.leadership(node, process) {
            let sent = request.sent;
            leadership
                .leader_lease
                .support_answered(node, sent, support, sent);
        }
        self.timer(node, Micros::from_millis(600), move |sim| {
            sim.request_lease_support(node, process)
        });
    }

    /// Answers a leader's request at a peer, which grants support only if the store is unreachable for the peer as well
    /// and the response contains all cancellations that it acknowledged.
    fn lease_support_requested(
        &mut self,
        peer: usize,
        request: SupportRequest,
        cursors: &DeliveryCursors,
    ) {
        if !self.nodes[peer].up {
            return;
        }
        let SupportRequest {
            node,
            process,
            applied,
            lease_is_valid,
            sent,
        } = request;
        let now = self.now;
        let store_unreachable = self.store_rejects(peer)
            || self
                .partition_between(Host::Node(peer), Host::KvStore)
                .is_some();
        let state = &mut self.nodes[peer];
        let cursor = cursors.cursor(peer);
        let delta = state
            .cancellation_log
            .delta_since(applied, cursor.sequence_in(state.process));
        let may_support = lease_is_valid
            && delta.is_complete
            && state.leadership.is_none()
            && state.pending_campaigns == 0;
        let support = (store_unreachable && may_support).then_some(SUPPORT_DURATION);
        if support.is_some() {
            state.campaign_not_before = state
                .campaign_not_before
                .max(now + SUPPORT_DURATION.with_drift());
        }
        let peer_process = state.process;
        // The request carries the leader's write demand.
        let demand = self.nodes[node]
            .limits
            .as_mut()
            .map(|limits| limits.admission.write_demand(now));
        if let (Some(demand), Some(limits)) = (demand, self.nodes[peer].limits.as_mut()) {
            limits.admission.write_demand_received(demand, sent);
        }
        self.send(Host::Node(peer), Host::Node(node), move |sim| {
            let now = sim.now;
            let Some(leadership) = sim.leadership(node, process) else {
                return;
            };
            for id in &delta.jobs {
                leadership.scheduler.job_removed(id, now);
            }
            leadership
                .delivery_cursors
                .advance(peer, peer_process, delta.last_sequence);
            leadership
                .leader_lease
                .support_answered(peer, sent, support, now);
        });
    }
}
