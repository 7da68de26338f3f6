//! Admission control of one node: the gate, at the rate that the node's share of the changes allows.

use crate::gate::{AdmissionGate, RetryAfter};
use crate::gossip::QueueGossip;
use crate::rate_limiter::SharedLimit;
use crate::rate_share::RateShare;
use crate::tenants::TenantCounts;
use crate::write_demand::WriteDemand;
use hopyoke_types::{JobId, Micros};

/// Decides which submissions are admitted, by what this node may spend on them of the changes that the key-value
/// store accepts.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    gate: AdmissionGate,
    share: RateShare,
    write_demand: WriteDemand,
}

/// The state of a node's admission control, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionStats {
    /// Submissions admitted since the start of the process.
    pub admitted: u64,
    /// Submissions rejected since the start of the process.
    pub rejected: u64,
    /// How long the queue of those that this node rejected would take to be admitted.
    pub estimated_wait: Micros,
    /// Submissions a second that are admitted at present.
    pub rate: f64,
}

impl AdmissionController {
    /// `changes`: the changes a second that the key-value store accepts from all nodes, and the number of nodes;
    /// `guaranteed`: of each team of the settings whether it has a guarantee.
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

    /// Admits a team's job, if there is room. `leads`: this node is the leader, so its own records need changes.
    ///
    /// # Errors
    /// There is no room: after how long the client may retry.
    pub fn admit(
        &mut self,
        job: &JobId,
        team: usize,
        leads: bool,
        now: Micros,
    ) -> Result<(), RetryAfter> {
        self.gate_at_current_rate(leads, now).admit(job, team, now)
    }

    /// Rejects a job that was admitted and then found no room at the key-value store.
    pub fn reject(&mut self, job: &JobId, team: usize, leads: bool, now: Micros) -> RetryAfter {
        self.gate_at_current_rate(leads, now).reject(job, team, now)
    }

    fn gate_at_current_rate(&mut self, leads: bool, now: Micros) -> &mut AdmissionGate {
        if leads {
            let write_demand = self.write_demand.rate(now);
            self.share.write_demand_received(write_demand, now);
        }
        self.gate
            .set_rate(self.share.rate(now), self.share.own_share(now), now);
        &mut self.gate
    }

    /// The leader announced the changes a second that its records need, in answer to a request sent at `sent_at`.
    pub fn write_demand_received(&mut self, write_demand: f64, sent_at: Micros) {
        self.share.write_demand_received(write_demand, sent_at);
    }

    /// The loan to ask a peer for, in changes a second: this node's own share while it is overloaded, else 0.
    pub fn requested_loan(&mut self, now: Micros) -> f64 {
        if self.is_overloaded(now) {
            self.share.own_share(now)
        } else {
            0.0
        }
    }

    /// Grants a peer that asks for `requested` changes a second a loan, and returns its rate.
    pub fn grant_loan(&mut self, peer: usize, requested: f64, now: Micros) -> f64 {
        let (used, overloaded) = (self.gate.admitted_rate(now), self.is_overloaded(now));
        self.share
            .grant_loan(peer, requested, used, overloaded, now)
    }

    /// A peer granted a loan of `rate` changes a second, in answer to a request sent at `sent_at`.
    pub fn loan_received(&mut self, peer: usize, rate: f64, sent_at: Micros) {
        self.share.loan_received(peer, rate, sent_at);
    }

    /// Takes the queue positions to announce to a peer now.
    pub fn take_gossip(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.gate.take_gossip(peer, now)
    }

    /// A peer announced changes of its queue positions.
    pub fn gossip_received(&mut self, peer: usize, gossip: &[QueueGossip], now: Micros) {
        self.gate.gossip_received(peer, gossip, now);
    }

    /// Some jobs were rejected and have not been retried. The load balancer spreads users, so the other nodes are
    /// likely to be overloaded as well.
    pub fn is_overloaded(&mut self, now: Micros) -> bool {
        self.gate.estimated_wait(now) > Micros::ZERO
    }

    /// This node, the leader, wrote so many changes.
    pub fn changes_written(&mut self, changes: usize, now: Micros) {
        self.write_demand.changes_written(changes, now);
    }

    /// This node, the leader, has more to write than the rate allows.
    pub fn writes_deferred(&mut self, now: Micros) {
        self.write_demand.writes_deferred(now);
    }

    /// The changes a second that this node's records need while it leads.
    pub fn write_demand(&mut self, now: Micros) -> f64 {
        self.write_demand.rate(now)
    }

    /// Counters, queue and rate, for operators.
    pub fn stats(&mut self, now: Micros) -> AdmissionStats {
        let TenantCounts { admitted, rejected } = self.gate.counts();
        AdmissionStats {
            admitted,
            rejected,
            estimated_wait: self.gate.estimated_wait(now),
            rate: self.share.rate(now),
        }
    }

    /// Counters by team, in the order of the settings; the last stands for all teams that the settings do not name.
    pub fn team_counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.gate.tenant_counts()
    }
}
