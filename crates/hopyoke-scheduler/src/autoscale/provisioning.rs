//! How long machines take to come up, without any I/O.
//!
//! What is on order is no date but a distribution: most machines are up at about the nominal time, some
//! take several times as long, some never come. [`ProvisioningEstimator`] learns it for each type from machines that came
//! up and, as censored observations, from those that have not. [`ProvisioningEstimator::judge`] then compares a machine that
//! is late with one that would be ordered now: only if the new one is likely to be there first is the late
//! one no longer counted on. When all machines are slow a new one would be as slow, and nothing is ordered twice.
//!
//! Ages and times are counted in nominal boot times of the type; no clock is read here.

use std::collections::BTreeMap;

/// Ages are told apart by this much of a nominal boot.
const STEP: f64 = 0.25;
/// Ages from `STEPS * STEP` nominal boots on are not told apart.
const STEPS: usize = 32;
/// What is believed before anything was seen counts like so many machines.
const PRIOR: f64 = 4.0;
/// Nominal boots after which what was seen counts for a third: those on order now say most about whether boots
/// have become slow.
const MEMORY: f64 = 4.0;
/// Looked ahead by this many nominal boots: a new machine is most likely up by then.
const AHEAD: f64 = 1.5;
/// A new machine must be this much more likely to be up by then, or ordering twice is not worth it.
const GAIN: f64 = 0.4;
/// A late machine less likely than this to be up within a boot is given up.
const HOPE: f64 = 0.12;

/// What is believed of a type before anything was seen: of the machines, these parts are up from and to so
/// many nominal boots, evenly; what is missing to 1 never comes.
const BELIEVED: [(f64, f64, f64); 2] = [(0.97, 0.6, 1.5), (0.02, 1.5, 5.0)];

/// What to think of a machine that boots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProvisioningState {
    /// It is counted on.
    Awaited,
    /// A machine ordered now is likely to be there first. If this one comes all the same it is welcome.
    Late,
    /// As [`ProvisioningState::Late`], and it is most likely never to come: it is to be returned.
    Hopeless,
}

/// Machines of one type by age: how many reached it without being up, and how many came up before the next.
#[derive(Debug, Clone, PartialEq)]
struct Curve {
    reached: [f64; STEPS],
    came: [f64; STEPS],
    /// When it was last brought up to date.
    at: f64,
}

impl Curve {
    fn believed() -> Curve {
        let part = |from: f64, to: f64| -> f64 {
            let up = BELIEVED
                .iter()
                .map(|(p, a, b)| p * (to.min(*b) - from.max(*a)).max(0.0) / (b - a));
            up.sum()
        };
        let mut curve = Curve {
            reached: [0.0; STEPS],
            came: [0.0; STEPS],
            at: 0.0,
        };
        for k in 0..STEPS {
            let from = k as f64 * STEP;
            curve.reached[k] = PRIOR * (1.0 - part(0.0, from));
            curve.came[k] = PRIOR * part(from, from + STEP);
        }
        curve
    }

    /// What was seen counts for less, what was believed first as much as ever.
    fn fade(&mut self, now: f64) {
        let keep = if now > self.at {
            (-(now - self.at) / MEMORY).exp()
        } else {
            1.0
        };
        self.at = self.at.max(now);
        let first = Curve::believed();
        for (k, (reached, came)) in first.reached.into_iter().zip(first.came).enumerate() {
            self.reached[k] = reached + (self.reached[k] - reached) * keep;
            self.came[k] = came + (self.came[k] - came) * keep;
        }
    }

    /// One machine was seen up to this age; there it came up, or is no longer watched.
    fn add(&mut self, age: f64, up: bool) {
        let last = step_of(age);
        for k in 0..last {
            self.reached[k] += 1.0;
        }
        // One that is still watched has been through a part of its step.
        let part = ((age - last as f64 * STEP) / STEP).clamp(0.0, 1.0);
        self.reached[last] += if up { 1.0 } else { part };
        self.came[last] += f64::from(u8::from(up));
    }

    /// How likely a machine of this age is to be up within `span`.
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

    fn judge(&self, age: f64) -> ProvisioningState {
        if age < 1.0 || self.chance(age, AHEAD) + GAIN >= self.chance(0.0, AHEAD) {
            return ProvisioningState::Awaited;
        }
        if self.chance(age, 1.0) < HOPE {
            ProvisioningState::Hopeless
        } else {
            ProvisioningState::Late
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

/// What is known of how long machines take to come up, by type. As many types are kept as are named.
#[derive(Debug, Clone, Default)]
pub struct ProvisioningEstimator {
    curves: BTreeMap<String, Curve>,
}

impl ProvisioningEstimator {
    fn curve(&mut self, kind: &str) -> &mut Curve {
        self.curves
            .entry(kind.to_owned())
            .or_insert_with(Curve::believed)
    }

    /// A machine came up at this age, in nominal boots of its type; so is `now`, from any fixed point.
    pub fn came_up(&mut self, kind: &str, age: f64, now: f64) {
        let curve = self.curve(kind);
        curve.fade(now);
        curve.add(age, true);
    }

    /// A machine was given up at this age without having come up.
    pub fn given_up(&mut self, kind: &str, age: f64, now: f64) {
        let curve = self.curve(kind);
        curve.fade(now);
        curve.add(age, false);
    }

    /// Judges the machines of one type that boot, by their ages in nominal boots: a verdict for each. They count
    /// as seen up to now, so that what none of them has done yet is known.
    pub fn judge(&mut self, kind: &str, ages: &[f64], now: f64) -> Vec<ProvisioningState> {
        if !ages.iter().any(|age| *age >= 1.0) {
            return vec![ProvisioningState::Awaited; ages.len()];
        }
        let mut curve = self.curve(kind).clone();
        curve.fade(now);
        for age in ages {
            curve.add(*age, false);
        }
        ages.iter().map(|age| curve.judge(*age)).collect()
    }
}
