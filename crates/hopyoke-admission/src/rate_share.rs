//! Computes the write rate that one node may spend on new work: its own share, minus loans to peers, plus loans from
//! peers.

use crate::rate_limiter::SharedLimit;
use crate::write_demand::MAX_RECORDS_SHARE;
use hopyoke_types::Micros;

/// Share of the limit that is allocated to records and new work; the rest is headroom.
const ALLOCATED_SHARE: f64 = 0.9;
/// Minimum share of the limit that is reserved for the leader's records, as their demand can rise before the peers
/// receive an announcement of it.
const MIN_RECORDS_SHARE: f64 = 0.1;
/// Time for which a loan, or an announcement of the leader, is valid after it was requested.
pub(crate) const VALIDITY: Micros = Micros::from_millis(2_500);
/// Share of its own share that a node never lends, as its own load may rise at any time.
const RETAINED_SHARE: f64 = 0.3;

/// A rate with an expiry: lent to a peer, borrowed from a peer, or announced by the leader.
#[derive(Debug, Clone, Copy, Default)]
struct ExpiringRate {
    /// Changes per second.
    rate: f64,
    expires_at: Micros,
}

impl ExpiringRate {
    fn rate_at(&self, now: Micros) -> f64 {
        if now < self.expires_at {
            self.rate
        } else {
            0.0
        }
    }
}

/// The latest loan from one peer.
#[derive(Debug, Clone, Copy, Default)]
struct BorrowedLoan {
    requested_at: Micros,
    loan: ExpiringRate,
}

/// Computes the changes per second that one node may spend on new work.
///
/// Without any message, the rate is safe whatever the other nodes do: the shares of all nodes plus the maximum demand
/// of the leader's records stay within the limit. If the leader announces a lower demand, each share grows; a peer that
/// uses little of its share lends to one that asks.
///
/// The borrower counts the validity of a loan from its request, the lender from its answer, which is later. So messages
/// that are lost, delayed, repeated or reordered never let both spend the same rate. Only the leader's demand can rise
/// before its peers receive the announcement: for at most `VALIDITY`, all nodes together may then exceed the limit by
/// up to half of it, and the store refuses the excess.
#[derive(Debug, Clone)]
pub struct RateShare {
    limit: SharedLimit,
    /// Latest write demand that the leader announced.
    announced_demand: Option<ExpiringRate>,
    /// By peer: loans to it that may still be in use.
    lent: Vec<Vec<ExpiringRate>>,
    /// By peer: its latest loan to this node.
    borrowed: Vec<BorrowedLoan>,
}

impl RateShare {
    /// Creates the share of a node with `limit.nodes - 1` peers.
    #[must_use]
    pub fn new(limit: SharedLimit) -> RateShare {
        let peers = limit.nodes.saturating_sub(1) as usize;
        RateShare {
            limit,
            announced_demand: None,
            lent: vec![Vec::new(); peers],
            borrowed: vec![BorrowedLoan::default(); peers],
        }
    }

    /// Records the changes per second that the leader's records need, as announced in answer to a request that this
    /// node sent at `sent_at`, from which its validity counts. Ignores values that are negative or not finite, and
    /// outdated announcements.
    pub fn write_demand_received(&mut self, write_demand: f64, sent_at: Micros) {
        let expires_at = sent_at + VALIDITY;
        if write_demand.is_finite()
            && write_demand >= 0.0
            && self
                .announced_demand
                .is_none_or(|d| expires_at >= d.expires_at)
        {
            self.announced_demand = Some(ExpiringRate {
                rate: write_demand,
                expires_at,
            });
        }
    }

    /// Returns this node's own share, without loans, in changes per second.
    #[must_use]
    pub fn own_share(&self, now: Micros) -> f64 {
        let max_demand = self.limit.per_second * MAX_RECORDS_SHARE;
        let write_demand = match self.announced_demand {
            Some(d) if now < d.expires_at => d
                .rate
                .clamp(MIN_RECORDS_SHARE * self.limit.per_second, max_demand),
            _ => max_demand,
        };
        (self.limit.per_second * ALLOCATED_SHARE - write_demand)
            / f64::from(self.limit.nodes.max(1))
    }

    /// Returns the rate that may be spent on new work, in changes per second.
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let borrowed: f64 = self.borrowed.iter().map(|b| b.loan.rate_at(now)).sum();
        (self.own_share(now) - self.total_lent(now)).max(0.0) + borrowed
    }

    fn total_lent(&self, now: Micros) -> f64 {
        (0..self.lent.len()).map(|p| self.lent_to(p, now)).sum()
    }

    /// Returns the largest valid loan to a peer, which may not have received a later, smaller one yet.
    fn lent_to(&self, peer: usize, now: Micros) -> f64 {
        self.lent.get(peer).map_or(0.0, |l| {
            l.iter().map(|l| l.rate_at(now)).fold(0.0, f64::max)
        })
    }

    /// Grants a loan to a peer that requests `requested` changes per second, and returns its rate. It replaces earlier
    /// loans to that peer. `used` is the rate that this node uses itself; while it is `overloaded`, it lends nothing.
    pub fn grant_loan(
        &mut self,
        peer: usize,
        requested: f64,
        used: f64,
        overloaded: bool,
        now: Micros,
    ) -> f64 {
        let own_share = self.own_share(now);
        let lent_to_others = self.total_lent(now) - self.lent_to(peer, now);
        let retained = (used * 1.25).max(own_share * RETAINED_SHARE);
        let free = if overloaded {
            0.0
        } else {
            (own_share - retained - lent_to_others).max(0.0)
        };
        let rate = if requested.is_finite() {
            requested.clamp(0.0, free)
        } else {
            0.0
        };
        let Some(lent) = self.lent.get_mut(peer) else {
            return 0.0;
        };
        lent.retain(|l| now < l.expires_at);
        if rate > 0.0 {
            let loan = ExpiringRate {
                rate,
                expires_at: now + VALIDITY.with_drift(),
            };
            // Earlier loans that are no larger expire before this one, so it covers them.
            lent.retain(|l| l.rate > rate);
            lent.push(loan);
        }
        rate
    }

    /// Records that a peer granted a loan of `rate` changes per second, in answer to a request sent at `sent_at`.
    /// Ignores answers to requests that were sent before that of the latest loan.
    pub fn loan_received(&mut self, peer: usize, rate: f64, sent_at: Micros) {
        if let Some(borrowed) = self.borrowed.get_mut(peer)
            && sent_at >= borrowed.requested_at
            && rate.is_finite()
        {
            *borrowed = BorrowedLoan {
                requested_at: sent_at,
                loan: ExpiringRate {
                    rate: rate.clamp(0.0, self.limit.per_second),
                    expires_at: sent_at + VALIDITY,
                },
            };
        }
    }
}
