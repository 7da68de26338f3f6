//! Estimates of provisioning times, without I/O.
//!
//! Most requested machines are up after about the nominal boot time of their type, some take several times as
//! long, and some never come up. [`ProvisioningEstimator`] learns a survival curve for each type from machines
//! that came up and, as censored observations, from machines that have not. [`ProvisioningEstimator::assess`]
//! compares an overdue machine with one that would be requested now, and counts it as overdue only if the new
//! one is likely to be up first. While provisioning is slow for all machines, a replacement would be as slow,
//! and none is requested.
//!
//! Ages and times are in nominal boot times of the type. No clock is read here.

use std::collections::BTreeMap;

/// Width of an age bucket, in nominal boot times.
const BUCKET_WIDTH: f64 = 0.25;
/// Number of age buckets. The last one also holds all older ages.
const BUCKETS: usize = 32;
/// Weight of the prior distribution, as a number of machines.
const PRIOR_WEIGHT: f64 = 4.0;
/// Time in which the weight of an observation falls to 1/e, in nominal boot times. Recent requests are the best
/// evidence of whether provisioning has become slow.
const DECAY_TIME: f64 = 4.0;
/// Horizon of the comparison with a new machine, in nominal boot times. A new machine is most likely up by then.
const HORIZON: f64 = 1.5;
/// Minimum lead of a new machine in the probability of being up within [`HORIZON`] for a machine to be overdue.
const MIN_PROBABILITY_GAIN: f64 = 0.4;
/// Minimum probability of being up within one nominal boot time for an overdue machine to be kept.
const MIN_PROBABILITY: f64 = 0.12;

/// A component of the prior distribution: machines that come up at a uniform rate between two ages.
struct PriorComponent {
    /// Share of all machines, 0 to 1.
    share: f64,
    /// Age at which the first come up, in nominal boot times.
    from: f64,
    /// Age by which all are up, in nominal boot times.
    to: f64,
}

/// Prior distribution of each type. The shares add up to less than 1: the remaining machines never come up.
const PRIOR: [PriorComponent; 2] = [
    PriorComponent {
        share: 0.97,
        from: 0.6,
        to: 1.5,
    },
    PriorComponent {
        share: 0.02,
        from: 1.5,
        to: 5.0,
    },
];

/// Assessment of a machine that is being provisioned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProvisioningState {
    /// Expected to come up. Placement relies on it.
    Awaited,
    /// A machine requested now is likely to be up first. It is still used if it comes up.
    Overdue,
    /// Overdue, and unlikely ever to come up. It is to be deleted.
    Failed,
}

/// Survival curve of one type, as weighted numbers of machines by age bucket: how many reached an age without being up,
/// and how many came up before the next.
#[derive(Debug, Clone, PartialEq)]
struct SurvivalCurve {
    /// Machines that reached the bucket without being up.
    at_risk: [f64; BUCKETS],
    /// Machines that came up in the bucket.
    provisioned: [f64; BUCKETS],
    /// Time of the last update, in nominal boot times.
    updated_at: f64,
}

impl SurvivalCurve {
    fn prior() -> SurvivalCurve {
        let share_between = |from: f64, to: f64| -> f64 {
            let shares = PRIOR
                .iter()
                .map(|p| p.share * (to.min(p.to) - from.max(p.from)).max(0.0) / (p.to - p.from));
            shares.sum()
        };
        let mut curve = SurvivalCurve {
            at_risk: [0.0; BUCKETS],
            provisioned: [0.0; BUCKETS],
            updated_at: 0.0,
        };
        for k in 0..BUCKETS {
            let from = k as f64 * BUCKET_WIDTH;
            curve.at_risk[k] = PRIOR_WEIGHT * (1.0 - share_between(0.0, from));
            curve.provisioned[k] = PRIOR_WEIGHT * share_between(from, from + BUCKET_WIDTH);
        }
        curve
    }

    /// Decays the weight of the observations up to `now`. The prior keeps its weight.
    fn decay(&mut self, now: f64) {
        let factor = if now > self.updated_at {
            (-(now - self.updated_at) / DECAY_TIME).exp()
        } else {
            1.0
        };
        self.updated_at = self.updated_at.max(now);
        let prior = SurvivalCurve::prior();
        for (k, (at_risk, provisioned)) in
            prior.at_risk.into_iter().zip(prior.provisioned).enumerate()
        {
            self.at_risk[k] = at_risk + (self.at_risk[k] - at_risk) * factor;
            self.provisioned[k] = provisioned + (self.provisioned[k] - provisioned) * factor;
        }
    }

    /// Adds a machine that came up at this age, or, if `is_up` is false, had not come up by this age (a censored
    /// observation).
    fn add(&mut self, age: f64, is_up: bool) {
        let last = bucket_index(age);
        for k in 0..last {
            self.at_risk[k] += 1.0;
        }
        // A censored machine was observed for a part of its last bucket only.
        let observed_part = ((age - last as f64 * BUCKET_WIDTH) / BUCKET_WIDTH).clamp(0.0, 1.0);
        self.at_risk[last] += if is_up { 1.0 } else { observed_part };
        self.provisioned[last] += f64::from(u8::from(is_up));
    }

    /// Returns the probability that a machine of this age comes up within `span`.
    fn probability_of_up(&self, age: f64, span: f64) -> f64 {
        let mut survival = 1.0;
        for k in bucket_index(age)..BUCKETS {
            let from = (k as f64 * BUCKET_WIDTH).max(age);
            let to = ((k + 1) as f64 * BUCKET_WIDTH).min(age + span);
            if to <= from {
                break;
            }
            let hazard = if self.at_risk[k] > 0.0 {
                (self.provisioned[k] / self.at_risk[k]).min(1.0)
            } else {
                0.0
            };
            survival *= (1.0 - hazard).powf((to - from) / BUCKET_WIDTH);
        }
        1.0 - survival
    }

    fn assess(&self, age: f64) -> ProvisioningState {
        if age < 1.0
            || self.probability_of_up(age, HORIZON) + MIN_PROBABILITY_GAIN
                >= self.probability_of_up(0.0, HORIZON)
        {
            return ProvisioningState::Awaited;
        }
        if self.probability_of_up(age, 1.0) < MIN_PROBABILITY {
            ProvisioningState::Failed
        } else {
            ProvisioningState::Overdue
        }
    }
}

fn bucket_index(age: f64) -> usize {
    if age.is_finite() {
        ((age / BUCKET_WIDTH).max(0.0) as usize).min(BUCKETS - 1)
    } else {
        BUCKETS - 1
    }
}

/// Provisioning times learned by machine type.
#[derive(Debug, Clone, Default)]
pub struct ProvisioningEstimator {
    curves: BTreeMap<String, SurvivalCurve>,
}

impl ProvisioningEstimator {
    fn curve(&mut self, machine_type: &str) -> &mut SurvivalCurve {
        self.curves
            .entry(machine_type.to_owned())
            .or_insert_with(SurvivalCurve::prior)
    }

    /// Records a machine that came up at this age. `age` and `now` are in nominal boot times of the type, `now`
    /// since any fixed point in time.
    pub fn record_provisioned(&mut self, machine_type: &str, age: f64, now: f64) {
        let curve = self.curve(machine_type);
        curve.decay(now);
        curve.add(age, true);
    }

    /// Records a machine that was abandoned at this age before it came up.
    pub fn record_abandoned(&mut self, machine_type: &str, age: f64, now: f64) {
        let curve = self.curve(machine_type);
        curve.decay(now);
        curve.add(age, false);
    }

    /// Returns one assessment for each machine of a type that is being provisioned, given their ages. The
    /// machines count as censored observations at `now`.
    pub fn assess(&mut self, machine_type: &str, ages: &[f64], now: f64) -> Vec<ProvisioningState> {
        if !ages.iter().any(|age| *age >= 1.0) {
            return vec![ProvisioningState::Awaited; ages.len()];
        }
        let mut curve = self.curve(machine_type).clone();
        curve.decay(now);
        for age in ages {
            curve.add(*age, false);
        }
        ages.iter().map(|age| curve.assess(*age)).collect()
    }
}
