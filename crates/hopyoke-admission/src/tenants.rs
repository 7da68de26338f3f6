//! Fair share of admissions by team: an equal part for each team that is active.

use hopyoke_types::Micros;

/// A tenant whose last request is no older than this counts as active.
const ACTIVE_WINDOW: Micros = Micros::from_secs(8);
/// Unused share is accumulated over so many seconds.
const BURST_S: f64 = 2.0;
/// The weight of a team without a guarantee; that of one with a guarantee is 1.
const UNGUARANTEED_WEIGHT: f64 = 0.25;

/// How many jobs were admitted and rejected since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TenantCounts {
    /// Jobs admitted.
    pub admitted: u64,
    /// Jobs rejected, each retry counted.
    pub rejected: u64,
}

#[derive(Debug, Clone)]
struct Tenant {
    weight: f64,
    /// Admissions that are left of its own share.
    credit: f64,
    refilled_at: Micros,
    last_request_at: Option<Micros>,
    counts: TenantCounts,
}

/// The teams of the settings, and one entry for all others.
#[derive(Debug, Clone)]
pub(crate) struct Tenants {
    tenants: Vec<Tenant>,
}

impl Tenants {
    /// `guaranteed[i]`: the i-th team has a guarantee.
    pub(crate) fn new(guaranteed: &[bool], now: Micros) -> Tenants {
        let tenant = |guaranteed: bool| Tenant {
            weight: if guaranteed { 1.0 } else { UNGUARANTEED_WEIGHT },
            // Cut down to the burst of its share at the first request of any tenant.
            credit: f64::MAX,
            refilled_at: now,
            last_request_at: None,
            counts: TenantCounts::default(),
        };
        Tenants {
            tenants: guaranteed
                .iter()
                .copied()
                .chain([false])
                .map(tenant)
                .collect(),
        }
    }

    /// Maps any index to that of a tenant: teams that the settings do not name share the last.
    pub(crate) fn index(&self, tenant: usize) -> usize {
        tenant.min(self.tenants.len() - 1)
    }

    /// A tenant requests an admission, while `rate` jobs a second are admitted: refills all shares.
    pub(crate) fn requested(&mut self, tenant: usize, rate: f64, now: Micros) {
        self.tenants[tenant].last_request_at = Some(now);
        let is_active = |t: &Tenant| t.last_request_at.is_some_and(|at| now < at + ACTIVE_WINDOW);
        let active_weight: f64 = self
            .tenants
            .iter()
            .filter(|t| is_active(t))
            .map(|t| t.weight)
            .sum();
        for t in &mut self.tenants {
            let share = rate * t.weight / active_weight.max(t.weight);
            let span = now.saturating_sub(t.refilled_at).as_secs_f64();
            t.refilled_at = t.refilled_at.max(now);
            t.credit = (t.credit + share * span).min((share * BURST_S).max(1.0));
        }
    }

    /// The tenant has not used up its own share.
    pub(crate) fn is_within_share(&self, tenant: usize) -> bool {
        self.tenants[tenant].credit >= 1.0
    }

    pub(crate) fn admitted(&mut self, tenant: usize) {
        let t = &mut self.tenants[tenant];
        t.credit = (t.credit - 1.0).max(0.0);
        t.counts.admitted += 1;
    }

    pub(crate) fn rejected(&mut self, tenant: usize) {
        self.tenants[tenant].counts.rejected += 1;
    }

    /// Counters by tenant index.
    pub(crate) fn counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.tenants.iter().map(|t| t.counts)
    }
}
