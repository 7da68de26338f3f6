//! The changes that one node may spend on new work: its part, what it lends, and what it borrows.

use crate::rate_limiter::Bounds;
use crate::write_demand::RECORDS;
use hopyoke_types::Micros;

/// Of all changes this much is given out.
const GIVEN_OUT: f64 = 0.9;
/// Kept for the leader's records however little it needs: its need can rise before others hear.
const LEAST: f64 = 0.1;
/// A word of the leader, and a loan, hold for this long from when they were asked for.
pub const FRESH: Micros = Micros::from_millis(2_500);
/// Of its part a node keeps this much however little it uses: users may come at any moment.
const KEPT: f64 = 0.3;

/// What was lent to one peer, or borrowed from it.
#[derive(Debug, Clone, Copy, Default)]
struct Loan {
    rate: f64,
    until: Micros,
}

impl Loan {
    fn at(&self, now: Micros) -> f64 {
        if now < self.until { self.rate } else { 0.0 }
    }
}

/// The changes a second that one node may spend on new work.
///
/// Without any word it is what is safe whatever the others do: the parts of all nodes and all that the
/// leader's records may need stay within the limit. A word of the leader that it needs less makes each
/// part larger; a peer that uses little of its part lends to one that asks.
///
/// A loan counts from when it was asked for at the borrower, and from the answer at the lender, which
/// is later: messages that are lost, late, repeated or out of order never let both spend the same.
/// Only the leader's need can rise sooner than others hear of it: for [`FRESH`] at most, together they
/// may then spend up to half of the limit too much, which the service refuses.
#[derive(Debug, Clone)]
pub struct RateShare {
    bounds: Bounds,
    /// What the leader said that it needs.
    word: Option<Loan>,
    /// By peer: loans to it that it may still rely on.
    lent: Vec<Vec<Loan>>,
    /// By peer: its latest loan to us, and when it was asked for.
    borrowed: Vec<(Micros, Loan)>,
}

impl RateShare {
    /// For a node with `bounds.nodes - 1` peers.
    pub fn new(bounds: Bounds) -> RateShare {
        let peers = bounds.nodes.saturating_sub(1) as usize;
        let none = (Micros::ZERO, Loan::default());
        RateShare {
            bounds,
            word: None,
            lent: vec![Vec::new(); peers],
            borrowed: vec![none; peers],
        }
    }

    /// The leader says what its records need; `sent` is when it was asked, so that no word is
    /// believed for longer than the leader means it.
    pub fn heard(&mut self, write_demand: f64, sent: Micros) {
        let until = sent + FRESH;
        if write_demand.is_finite()
            && write_demand >= 0.0
            && self.word.is_none_or(|w| until >= w.until)
        {
            self.word = Some(Loan {
                rate: write_demand,
                until,
            });
        }
    }

    /// This node's own part.
    pub fn part(&self, now: Micros) -> f64 {
        let most = self.bounds.per_second * RECORDS;
        let write_demand = match self.word {
            Some(w) if now < w.until => w.rate.clamp(LEAST * self.bounds.per_second, most),
            _ => most,
        };
        (self.bounds.per_second * GIVEN_OUT - write_demand) / f64::from(self.bounds.nodes.max(1))
    }

    /// Changes a second that may be spent on new work.
    pub fn rate(&self, now: Micros) -> f64 {
        let borrowed: f64 = self.borrowed.iter().map(|(_, l)| l.at(now)).sum();
        (self.part(now) - self.all_lent(now)).max(0.0) + borrowed
    }

    fn all_lent(&self, now: Micros) -> f64 {
        (0..self.lent.len()).map(|p| self.lent_to(p, now)).sum()
    }

    /// It may not have heard of a later, smaller loan yet: the largest counts.
    fn lent_to(&self, peer: usize, now: Micros) -> f64 {
        self.lent
            .get(peer)
            .map_or(0.0, |l| l.iter().map(|l| l.at(now)).fold(0.0, f64::max))
    }

    /// A peer asks for `wants` changes a second; this node uses `used` itself, or more than it has if
    /// it is pressed. What is lent from now on, in place of earlier loans to that peer.
    pub fn lend(&mut self, peer: usize, wants: f64, used: f64, pressed: bool, now: Micros) -> f64 {
        let part = self.part(now);
        let others = self.all_lent(now) - self.lent_to(peer, now);
        let kept = (used * 1.25).max(part * KEPT);
        let free = if pressed {
            0.0
        } else {
            (part - kept - others).max(0.0)
        };
        let rate = if wants.is_finite() {
            wants.clamp(0.0, free)
        } else {
            0.0
        };
        let Some(lent) = self.lent.get_mut(peer) else {
            return 0.0;
        };
        lent.retain(|l| now < l.until);
        if rate > 0.0 {
            let loan = Loan {
                rate,
                until: now + FRESH.with_drift(),
            };
            // One loan stands for those that end before it and are no larger.
            lent.retain(|l| l.rate > rate);
            lent.push(loan);
        }
        rate
    }

    /// A peer lends `rate`, in answer to what was asked at `sent`.
    pub fn borrowed(&mut self, peer: usize, rate: f64, sent: Micros) {
        if let Some((asked, loan)) = self.borrowed.get_mut(peer)
            && sent >= *asked
            && rate.is_finite()
        {
            *asked = sent;
            *loan = Loan {
                rate: rate.clamp(0.0, self.bounds.per_second),
                until: sent + FRESH,
            };
        }
    }
}
