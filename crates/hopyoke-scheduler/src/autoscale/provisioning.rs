//! How long instances take to be provisioned, without any I/O.
//!
//! The time until a requested machine is up follows a distribution: most are up at about the nominal boot time, some take
//! several times as long, some never come up. [`ProvisioningEstimator`] learns it for each type from machines that came
//! up and, as censored observations, from those that have not. [`ProvisioningEstimator::assess`] then compares an overdue
//! machine with one that would be requested now: only if the new one is likely to be up first is the overdue one no
//! longer counted on. When all machines are slow a new one would be as slow, and nothing is requested twice.
//!
//! Ages and times are in nominal boot times of the type; no clock is read here.

use std::collections::BTreeMap;

/// Resolution of ages, in nominal boot times.
const STEP: f64 = 0.25;
/// Number of steps; older ages count as of the last one.
const STEPS: usize = 32;
/// Weight of the prior distribution, in machines.
const PRIOR_WEIGHT: f64 = 4.0;
/// Nominal boot times after which an observation counts for a third: recent requests say most about whether
/// provisioning has become slow.
const MEMORY: f64 = 4.0;
/// Horizon in nominal boot times: a new machine is most likely up by then.
const HORIZON: f64 = 1.5;
/// A new machine must be this much more likely to be up by then, or a second request is not worth it.
const MIN_GAIN: f64 = 0.4;
/// An overdue machine less likely than this to be up within one nominal boot time is abandoned.
const MIN_CHANCE: f64 = 0.12;

/// A part of the prior distribution.
struct PriorPart {
    /// Share of the machines.
    share: f64,
    /// They come up evenly between these ages, in nominal boot times.
    from: f64,
    to: f64,
}

/// The prior distribution of a type; what its shares lack to 1 never comes up.
const PRIOR: [PriorPart; 2] = [
    PriorPart {
        share: 0.97,
        from: 0.6,
        to: 1.5,
    },
    PriorPart {
        share: 0.02,
        from: 1.5,
        to: 5.0,
    },
];

/// State of a machine that is being provisioned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProvisioningState {
    /// It is expected to come up; placement counts on it.
    Awaited,
    /// A machine requested now is likely to be up first. It is used if it comes up all the same.
    Overdue,
    /// As [`ProvisioningState::Overdue`], and it will most likely never come up: it is to be deleted.
    Failed,
}

/// Survival curve of one type: by age, how many machines reached it without being up, and how many came up before the
/// next step.
#[derive(Debug, Clone, PartialEq)]
struct Curve {
    reached: [f64; STEPS],
    came: [f64; STEPS],
    /// Time of the last update.
    updated_at: f64,
}

impl Curve {
    fn prior() -> Curve {
        let part = |from: f64, to: f64| -> f64 {
            let up = PRIOR
                .iter()
                .map(|p| p.share * (to.min(p.to) - from.max(p.from)).max(0.0) / (p.to - p.from));
            up.sum()
        };
        let mut curve = Curve {
            reached: [0.0; STEPS],
            came: [0.0; STEPS],
            updated_at: 0.0,
        };
        for k in 0..STEPS {
            let from = k as f64 * STEP;
            curve.reached[k] = PRIOR_WEIGHT * (1.0 - part(0.0, from));
            curve.came[k] = PRIOR_WEIGHT * part(from, from + STEP);
        }
        curve
    }

    /// Reduces the weight of observations by age; the prior keeps its weight.
    fn fade(&mut self, now: f64) {
        let keep = if now > self.updated_at {
            (-(now - self.updated_at) / MEMORY).exp()
        } else {
            1.0
        };
        self.updated_at = self.updated_at.max(now);
        let first = Curve::prior();
        for (k, (reached, came)) in first.reached.into_iter().zip(first.came).enumerate() {
            self.reached[k] = reached + (self.reached[k] - reached) * keep;
            self.came[k] = came + (self.came[k] - came) * keep;
        }
    }

    /// Adds a machine observed up to this age, at which it came up or the observation ends (censored).
    fn add(&mut self, age: f64, up: bool) {
        let last = step_of(age);
        for k in 0..last {
            self.reached[k] += 1.0;
        }
        // A censored one has been through a part of its step.
        let part = ((age - last as f64 * STEP) / STEP).clamp(0.0, 1.0);
        self.reached[last] += if up { 1.0 } else { part };
        self.came[last] += f64::from(u8::from(up));
    }

    /// Probability that a machine of this age comes up within `span`.
    fn chance(&self, age: f64, span: f64) -> f64 {
        let mut stays = 1.0;
        for k in step_of(age)..STEPS {
            let from = (k as f64 * STEP).max(age);
            let to = ((k + 1) as f64 * STEP).min(age + span);
            if to <= from {
                break;
            }
            let hazard = if self.reached[k] > 0.0 {
                (self.came[k] / self.reached[k]).min(1.0)
            } else {
                0.0
            };
            stays *= (1.0 - hazard).powf((to - from) / STEP);
        }
        1.0 - stays
    }

    fn assess(&self, age: f64) -> ProvisioningState {
        if age < 1.0 || self.chance(age, HORIZON) + MIN_GAIN >= self.chance(0.0, HORIZON) {
            return ProvisioningState::Awaited;
        }
        if self.chance(age, 1.0) < MIN_CHANCE {
            ProvisioningState::Failed
        } else {
            ProvisioningState::Overdue
        }
    }
}

fn step_of(age: f64) -> usize {
    if age.is_finite() {
        ((age / STEP).max(0.0) as usize).min(STEPS - 1)
    } else {
        STEPS - 1
    }
}

/// Learned provisioning times by machine type. One curve is kept for each type named.
#[derive(Debug, Clone, Default)]
pub struct ProvisioningEstimator {
    curves: BTreeMap<String, Curve>,
}

impl ProvisioningEstimator {
    fn curve(&mut self, kind: &str) -> &mut Curve {
        self.curves
            .entry(kind.to_owned())
            .or_insert_with(Curve::prior)
    }

    /// Records a machine that came up at this age. `age` and `now` are in nominal boot times of the type, `now` since any
    /// fixed point.
    pub fn record_provisioned(&mut self, kind: &str, age: f64, now: f64) {
        let curve = self.curve(kind);
        curve.fade(now);
        curve.add(age, true);
    }

    /// Records a machine that was abandoned at this age without having come up.
    pub fn record_abandoned(&mut self, kind: &str, age: f64, now: f64) {
        let curve = self.curve(kind);
        curve.fade(now);
        curve.add(age, false);
    }

    /// Assesses the machines of one type that are being provisioned, by their ages; one state for each. They count as
    /// censored observations up to now.
    pub fn assess(&mut self, kind: &str, ages: &[f64], now: f64) -> Vec<ProvisioningState> {
        if !ages.iter().any(|age| *age >= 1.0) {
            return vec![ProvisioningState::Awaited; ages.len()];
        }
        let mut curve = self.curve(kind).clone();
        curve.fade(now);
        for age in ages {
            curve.add(*age, false);
        }
        ages.iter().map(|age| curve.assess(*age)).collect()
    }
}
