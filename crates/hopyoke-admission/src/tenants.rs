//! Weighted fair share of admissions among the active teams.

use hopyoke_types::Micros;

/// Time after its last request for which a tenant counts as active.
const ACTIVE_WINDOW: Micros = Micros::from_secs(8);
/// Seconds over which a tenant accumulates unused share.
const BURST_S: f64 = 2.0;
/// Weight of a team without a guarantee; teams with a guarantee have weight 1.
const UNGUARANTEED_WEIGHT: f64 = 0.25;

/// Numbers of jobs admitted and rejected since process start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TenantCounts {
    /// Jobs admitted.
    pub admitted: u64,
    /// Rejections, including those of retries.
    pub rejected: u64,
}

#[derive(Debug, Clone)]
struct Tenant {
    weight: f64,
    /// Admissions left in its own share.
    credit: f64,
    refilled_at: Micros,
    last_request_at: Option<Micros>,
    counts: TenantCounts,
}

/// The teams in the settings, and one entry for all others.
#[derive(Debug, Clone)]
pub(crate) struct Tenants {
    tenants: Vec<Tenant>,
}

impl Tenants {
    /// Creates the tenants. `guaranteed[i]` tells whether team `i` has a guarantee.
    pub(crate) fn new(guaranteed: &[bool], now: Micros) -> Tenants {
        let tenant = |guaranteed: bool| Tenant {
            weight: if guaranteed { 1.0 } else { UNGUARANTEED_WEIGHT },
            // Reduced to the burst of the share at the first request of any tenant.
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

    /// Maps a team index to a tenant index; teams not in the settings share the last tenant.
    pub(crate) fn index(&self, tenant: usize) -> usize {
        tenant.min(self.tenants.len() - 1)
    }

    /// Records a tenant's request and refills all shares, at an admission rate of `rate` jobs per second.
    pub(crate) fn record_request(&mut self, tenant: usize, rate: f64, now: Micros) {
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
            let elapsed_s = now.saturating_sub(t.refilled_at).as_secs_f64();
            t.refilled_at = t.refilled_at.max(now);
            t.credit = (t.credit + share * elapsed_s).min((share * BURST_S).max(1.0));
        }
    }

    /// Returns whether the tenant hasn't used up its own share.
    pub(crate) fn is_within_share(&self, tenant: usize) -> bool {
        self.tenants[tenant].credit >= 1.0
    }

    pub(crate) fn record_admission(&mut self, tenant: usize) {
        let t = &mut self.tenants[tenant];
        t.credit = (t.credit - 1.0).max(0.0);
        t.counts.admitted += 1;
    }

    pub(crate) fn record_rejection(&mut self, tenant: usize) {
        self.tenants[tenant].counts.rejected += 1;
    }

    /// Returns counters by tenant index.
    pub(crate) fn counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.tenants.iter().map(|t| t.counts)
    }
}
