//! Admission control of one node: the gate, run at the rate that the node's share of the write limit allows.

use crate::gate::{AdmissionGate, RetryAfter};
use crate::gossip::QueueGossip;
use crate::rate_limiter::SharedLimit;
use crate::rate_share::RateShare;
use crate::tenants::TenantCounts;
use crate::write_demand::WriteDemand;
use hopyoke_types::{JobId, Micros};

/// Admits submissions within this node's share of the key-value store's write limit.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    gate: AdmissionGate,
    share: RateShare,
    write_demand: WriteDemand,
}

/// State of a node's admission control, for the status page.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionStats {
    /// Submissions admitted since process start.
    pub admitted: u64,
    /// Submissions rejected since process start.
    pub rejected: u64,
    /// Estimated time until all submissions that this node rejected are admitted.
    pub estimated_wait: Micros,
    /// Current admission rate, in submissions per second.
    pub rate: f64,
}

impl AdmissionController {
    /// Creates the controller. `changes` is the rate of changes per second that the key-value store accepts from all
    /// nodes together, with the number of nodes; `guaranteed` tells for each configured team whether it has a
    /// guarantee.
    #[must_use]
    pub fn new(changes: SharedLimit, guaranteed: &[bool], now: Micros) -> AdmissionController {
        let share = RateShare::new(changes);
        let peers = changes.nodes.saturating_sub(1) as usize;
        AdmissionController {
            gate: AdmissionGate::new(share.rate(now), guaranteed, peers, now),
            share,
            write_demand: WriteDemand::new(changes, now),
        }
    }

    /// Admits a team's job if there is capacity. `is_leader`: this node is the leader, whose records need changes too.
    ///
    /// # Errors
    /// Returns after how long the client may retry if there is no capacity.
    pub fn admit(
        &mut self,
        job: &JobId,
        team: usize,
        is_leader: bool,
        now: Micros,
    ) -> Result<(), RetryAfter> {
        self.gate_at_current_rate(is_leader, now)
            .admit(job, team, now)
    }

    /// Rejects a job that was admitted but then refused by the key-value store. Returns after how long the client may
    /// retry.
    pub fn reject(&mut self, job: &JobId, team: usize, is_leader: bool, now: Micros) -> RetryAfter {
        self.gate_at_current_rate(is_leader, now)
            .reject(job, team, now)
    }

    fn gate_at_current_rate(&mut self, is_leader: bool, now: Micros) -> &mut AdmissionGate {
        if is_leader {
            let write_demand = self.write_demand.rate(now);
            self.share.write_demand_received(write_demand, now);
        }
        self.gate
            .set_rate(self.share.rate(now), self.share.own_share(now), now);
        &mut self.gate
    }

    /// Records the changes per second that the leader's records need, as announced in answer to a request sent at
    /// `sent_at`.
    pub fn write_demand_received(&mut self, write_demand: f64, sent_at: Micros) {
        self.share.write_demand_received(write_demand, sent_at);
    }

    /// Returns the loan to request from a peer, in changes per second: this node's own share while it is overloaded,
    /// else 0.
    pub fn requested_loan(&mut self, now: Micros) -> f64 {
        if self.is_overloaded(now) {
            self.share.own_share(now)
        } else {
            0.0
        }
    }

    /// Grants a loan to a peer that requests `requested` changes per second. Returns the rate of the loan.
    pub fn grant_loan(&mut self, peer: usize, requested: f64, now: Micros) -> f64 {
        let (used, overloaded) = (self.gate.admitted_rate(now), self.is_overloaded(now));
        self.share
            .grant_loan(peer, requested, used, overloaded, now)
    }

    /// Records that a peer granted a loan of `rate` changes per second, in answer to a request sent at `sent_at`.
    pub fn loan_received(&mut self, peer: usize, rate: f64, sent_at: Micros) {
        self.share.loan_received(peer, rate, sent_at);
    }

    /// Takes the updates of queue positions to send to a peer now.
    pub fn take_gossip(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.gate.take_gossip(peer, now)
    }

    /// Applies the updates of queue positions that a peer sent.
    pub fn gossip_received(&mut self, peer: usize, gossip: &[QueueGossip], now: Micros) {
        self.gate.gossip_received(peer, gossip, now);
    }

    /// Returns whether rejected jobs are still waiting for their retries. As users are load-balanced, the other nodes
    /// are likely to be overloaded as well.
    pub fn is_overloaded(&mut self, now: Micros) -> bool {
        self.gate.estimated_wait(now) > Micros::ZERO
    }

    /// Records that this node, as the leader, wrote `changes` changes.
    pub fn changes_written(&mut self, changes: usize, now: Micros) {
        self.write_demand.changes_written(changes, now);
    }

    /// Records that this node, as the leader, has more to write than the rate limit allows.
    pub fn writes_deferred(&mut self, now: Micros) {
        self.write_demand.writes_deferred(now);
    }

    /// Returns the changes per second that this node's records need while it is the leader.
    pub fn write_demand(&mut self, now: Micros) -> f64 {
        self.write_demand.rate(now)
    }

    /// Returns counters, estimated wait and rate for the status page.
    pub fn stats(&mut self, now: Micros) -> AdmissionStats {
        let TenantCounts { admitted, rejected } = self.gate.counts();
        AdmissionStats {
            admitted,
            rejected,
            estimated_wait: self.gate.estimated_wait(now),
            rate: self.share.rate(now),
        }
    }

    /// Returns counters by team, in the order of the settings; the last entry covers all teams not in the settings.
    pub fn team_counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.gate.tenant_counts()
    }
}
