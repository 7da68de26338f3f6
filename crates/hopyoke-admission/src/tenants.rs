//! What each team may take of what is let in: an equal part of it, if others want it too.

use hopyoke_types::Micros;

/// Who asked within this time counts as wanting its part.
const ACTIVE: Micros = Micros::from_secs(8);
/// A part that was not taken is kept for so many seconds.
const BURST: f64 = 2.0;
/// A team without a guarantee counts for so much of one that has one.
const GUEST: f64 = 0.25;

#[derive(Debug, Clone)]
struct Tenant {
    weight: f64,
    /// What it may still take of its own part.
    credit: f64,
    filled: Micros,
    asked: Option<Micros>,
    let_in: u64,
    refused: u64,
}

/// The teams of the settings, and one place for all others.
#[derive(Debug, Clone)]
pub(crate) struct Tenants {
    of: Vec<Tenant>,
}

impl Tenants {
    /// `guaranteed[i]`: the i-th team has a guarantee.
    pub(crate) fn new(guaranteed: &[bool], now: Micros) -> Tenants {
        let tenant = |guaranteed: bool| Tenant {
            weight: if guaranteed { 1.0 } else { GUEST },
            // More than any part: it is cut to what its part allows when somebody asks.
            credit: f64::MAX,
            filled: now,
            asked: None,
            let_in: 0,
            refused: 0,
        };
        Tenants {
            of: guaranteed
                .iter()
                .copied()
                .chain([false])
                .map(tenant)
                .collect(),
        }
    }

    /// Any index is one of a tenant: what the settings do not name shares the last.
    pub(crate) fn index(&self, tenant: usize) -> usize {
        tenant.min(self.of.len() - 1)
    }

    /// The tenant asks, while `rate` a second is let in.
    pub(crate) fn asks(&mut self, tenant: usize, rate: f64, now: Micros) {
        self.of[tenant].asked = Some(now);
        let wants = |t: &Tenant| t.asked.is_some_and(|at| now < at + ACTIVE);
        let all: f64 = self.of.iter().filter(|t| wants(t)).map(|t| t.weight).sum();
        for t in &mut self.of {
            let own = rate * t.weight / all.max(t.weight);
            let span = now.saturating_sub(t.filled).as_secs_f64();
            t.filled = t.filled.max(now);
            t.credit = (t.credit + own * span).min((own * BURST).max(1.0));
        }
    }

    /// It has not used up its own part.
    pub(crate) fn is_within(&self, tenant: usize) -> bool {
        self.of[tenant].credit >= 1.0
    }

    pub(crate) fn let_in(&mut self, tenant: usize) {
        let t = &mut self.of[tenant];
        t.credit = (t.credit - 1.0).max(0.0);
        t.let_in += 1;
    }

    pub(crate) fn refused(&mut self, tenant: usize) {
        self.of[tenant].refused += 1;
    }

    /// Let in and refused, by tenant.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (u64, u64)> {
        self.of.iter().map(|t| (t.let_in, t.refused))
    }
}
