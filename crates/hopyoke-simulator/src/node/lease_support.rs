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
    /// Revision that the leader has applied; it must learn of later cancellations.
    applied: ModRevision,
    /// Whether the leader's lease is valid; otherwise no support is granted.
    lease_is_valid: bool,
    sent: Micros,
}

impl Simulation {
    /// Requests lease support from the peers, and the cancellations that they confirmed to users.
    pub(super) fn request_lease_support(&mut self, i: usize, process: u64) {
        let Some(leadership) = self.leadership(i, process) else {
            return;
        };
        let (applied, cursors) = (
            leadership.scheduler.applied_revision(),
            leadership.delivery_cursors.clone(),
        );
        let request = SupportRequest {
            node: i,
            process,
            applied,
            lease_is_valid: self.lease_is_valid(i),
            sent: self.now,
        };
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let cursors = cursors.clone();
            self.send(Host::Node(i), Host::Node(j), move |w| {
                w.lease_support_requested(j, request, &cursors)
            });
        }
        // The leader counts as one of its own peers, with the cancellations that it confirmed itself.
        let support = self.nodes[i]
            .cancellation_log
            .covers(applied)
            .then_some(SUPPORT_DURATION);
        if let Some(leadership) = self.leadership(i, process) {
            let sent = request.sent;
            leadership
                .leader_lease
                .support_answered(i, sent, support, sent);
        }
        self.timer(i, Micros::from_millis(600), move |w| {
            w.request_lease_support(i, process)
        });
    }

    /// Answers a leader's request at a peer, which grants support only if the store is unreachable for the peer as well
    /// and the response contains all cancellations that it confirmed.
    fn lease_support_requested(
        &mut self,
        j: usize,
        request: SupportRequest,
        cursors: &DeliveryCursors,
    ) {
        if !self.nodes[j].up {
            return;
        }
        let SupportRequest {
            node: i,
            process,
            applied,
            lease_is_valid,
            sent,
        } = request;
        let now = self.now;
        let store_unreachable = self.store_rejects(j)
            || self
                .partition_between(Host::Node(j), Host::KvStore)
                .is_some();
        let peer = &mut self.nodes[j];
        let cursor = cursors.cursor(j);
        let delta = peer
            .cancellation_log
            .delta_since(applied, cursor.sequence_in(peer.process));
        let may_support = lease_is_valid
            && delta.is_complete
            && peer.leadership.is_none()
            && peer.pending_campaigns == 0;
        let support = (store_unreachable && may_support).then_some(SUPPORT_DURATION);
        if support.is_some() {
            peer.campaign_not_before = peer
                .campaign_not_before
                .max(now + SUPPORT_DURATION.with_drift());
        }
        let peer_process = peer.process;
        // The request carries the leader's write demand.
        let demand = self.nodes[i]
            .limits_of_node
            .as_mut()
            .map(|p| p.admission.write_demand(now));
        if let (Some(demand), Some(p)) = (demand, self.nodes[j].limits_of_node.as_mut()) {
            p.admission.write_demand_received(demand, sent);
        }
        self.send(Host::Node(j), Host::Node(i), move |w| {
            let now = w.now;
            let Some(leadership) = w.leadership(i, process) else {
                return;
            };
            for id in &delta.jobs {
                leadership.scheduler.job_removed(id, now);
            }
            leadership
                .delivery_cursors
                .advance(j, peer_process, delta.last_sequence);
            leadership
                .leader_lease
                .support_answered(j, sent, support, now);
        });
    }
}
