//! The changes that one node may spend on new work: its own share, less what it lends, plus what it borrows.

use crate::rate_limiter::SharedLimit;
use crate::write_demand::MAX_RECORDS_SHARE;
use hopyoke_types::Micros;

/// The part of all changes that is allocated to records and new work.
const ALLOCATED_SHARE: f64 = 0.9;
/// The part of all changes that is reserved for the leader's records however little they need: their demand can rise
/// before the peers learn of it.
const MIN_RECORDS_SHARE: f64 = 0.1;
/// An announcement of the leader, and a loan, are valid for this long from when they were requested.
pub(crate) const VALIDITY: Micros = Micros::from_millis(2_500);
/// The part of its own share that a node never lends, however little it uses: users may come at any moment.
const RETAINED_SHARE: f64 = 0.3;

/// A rate that was lent to a peer, borrowed from it, or announced by the leader.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    /// Changes a second.
    rate: f64,
    expires_at: Micros,
}

impl Loan {
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
    loan: Loan,
}

/// The changes a second that one node may spend on new work.
///
/// Without any message it is what is safe whatever the others do: the shares of all nodes and all that the leader's
/// records may need stay within the limit. An announcement of the leader that it needs less makes each share larger;
/// a peer that uses little of its share lends to one that asks.
///
/// A loan counts from when it was requested at the borrower, and from the answer at the lender, which is later:
/// messages that are lost, delayed, repeated or reordered never let both spend the same rate. Only the leader's
/// demand can rise before its peers learn of it: for `VALIDITY` at the most, together they may then exceed the limit
/// by up to half of it, which the service refuses.
#[derive(Debug, Clone)]
pub struct RateShare {
    limit: SharedLimit,
    /// The write demand that the leader announced last.
    announced_demand: Option<Loan>,
    /// By peer: loans to it that it may still rely on.
    lent: Vec<Vec<Loan>>,
    /// By peer: its latest loan to this node.
    borrowed: Vec<BorrowedLoan>,
}

impl RateShare {
    /// For a node with `limit.nodes - 1` peers.
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

    /// The leader announced the changes a second that its records need; `sent_at` is when this node sent its request,
    /// so that no announcement is used for longer than it is valid. What is not a finite number from 0 on is ignored.
    pub fn write_demand_received(&mut self, write_demand: f64, sent_at: Micros) {
        let expires_at = sent_at + VALIDITY;
        if write_demand.is_finite()
            && write_demand >= 0.0
            && self
                .announced_demand
                .is_none_or(|d| expires_at >= d.expires_at)
        {
            self.announced_demand = Some(Loan {
                rate: write_demand,
                expires_at,
            });
        }
    }

    /// This node's own share, in changes a second, without loans.
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

    /// The changes a second that may be spent on new work.
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let borrowed: f64 = self.borrowed.iter().map(|b| b.loan.rate_at(now)).sum();
        (self.own_share(now) - self.total_lent(now)).max(0.0) + borrowed
    }

    fn total_lent(&self, now: Micros) -> f64 {
        (0..self.lent.len()).map(|p| self.lent_to(p, now)).sum()
    }

    /// The peer may not have received a later, smaller loan yet: the largest counts.
    fn lent_to(&self, peer: usize, now: Micros) -> f64 {
        self.lent.get(peer).map_or(0.0, |l| {
            l.iter().map(|l| l.rate_at(now)).fold(0.0, f64::max)
        })
    }

    /// Grants a peer that asks for `requested` changes a second a loan, in place of earlier loans to it, and returns
    /// its rate. This node uses `used` changes a second itself; while it is `overloaded`, it lends nothing.
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
            let loan = Loan {
                rate,
                expires_at: now + VALIDITY.with_drift(),
            };
            // One loan stands for those that expire before it and are no larger.
            lent.retain(|l| l.rate > rate);
            lent.push(loan);
        }
        rate
    }

    /// A peer granted a loan of `rate` changes a second, in answer to a request sent at `sent_at`. An answer to an
    /// earlier request than that of the latest loan is ignored.
    pub fn loan_received(&mut self, peer: usize, rate: f64, sent_at: Micros) {
        if let Some(borrowed) = self.borrowed.get_mut(peer)
            && sent_at >= borrowed.requested_at
            && rate.is_finite()
        {
            *borrowed = BorrowedLoan {
                requested_at: sent_at,
                loan: Loan {
                    rate: rate.clamp(0.0, self.limit.per_second),
                    expires_at: sent_at + VALIDITY,
                },
            };
        }
    }
}
