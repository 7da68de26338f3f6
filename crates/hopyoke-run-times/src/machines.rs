//! Speed factor of each machine, apart from what it ran.

use hopyoke_types::MachineId;
use std::collections::BTreeMap;

/// Upper bound on the weight of a machine's past runs: machines change, too.
const MAX_WEIGHT: f32 = 20.0;
/// Prior weight, in runs, of a factor of 1.
const PRIOR_WEIGHT: f32 = 4.0;
/// Lower bound on the standard deviation of one run (logarithms), whatever the machine.
const MIN_SPREAD: f32 = 0.2;
/// Standard errors below the mean at which a machine is still credibly slow: a one-sided 95% bound.
const STANDARD_ERRORS: f32 = 1.64;

#[derive(Debug, Clone, Copy, Default)]
struct Speed {
    weight: f32,
    /// The mean and the mean square of logarithms of actual over predicted.
    mean: f32,
    square: f32,
}

/// A machine that is credibly far slower than its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowMachine {
    /// The machine.
    pub machine: MachineId,
    /// How many times as long its runs take as on its peers.
    pub factor: f64,
    /// Number of runs observed there, faded.
    pub runs: f64,
}

/// Speed factors by machine.
#[derive(Debug, Default)]
pub(crate) struct Machines(BTreeMap<MachineId, Speed>);

impl Machines {
    /// Records a run that took `exp(deviation)` times what was predicted.
    pub(crate) fn observe(&mut self, id: &MachineId, deviation: f32) {
        if !deviation.is_finite() {
            return;
        }
        let d = deviation.clamp(-2.0, 2.0);
        let entry = match self.0.get_mut(id) {
            Some(s) => s,
            None => self.0.entry(id.clone()).or_default(),
        };
        entry.weight = (entry.weight + 1.0).min(MAX_WEIGHT);
        entry.mean += (d - entry.mean) / entry.weight;
        entry.square += (d * d - entry.square) / entry.weight;
    }

    /// Removes a machine that is gone.
    pub(crate) fn forget(&mut self, id: &MachineId) {
        self.0.remove(id);
    }

    /// The logarithm of how many times as long runs take there.
    pub(crate) fn factor(&self, id: &MachineId) -> f32 {
        self.0
            .get(id)
            .map_or(0.0, |s| s.mean * s.weight / (s.weight + PRIOR_WEIGHT))
    }

    /// Whether a machine is credibly at least `bound` times as slow as its peers.
    pub(crate) fn slow(&self, id: &MachineId, bound: f64) -> Option<SlowMachine> {
        let s = self.0.get(id)?;
        if s.weight < 3.0 {
            return None;
        }
        let spread = (s.square - s.mean * s.mean).max(0.0).sqrt().max(MIN_SPREAD);
        let lower_bound = s.mean - STANDARD_ERRORS * spread / s.weight.sqrt();
        let slow = f64::from(lower_bound) >= bound.max(1.0).ln() * 0.75
            && f64::from(s.mean) >= bound.max(1.0).ln();
        slow.then(|| SlowMachine {
            machine: id.clone(),
            factor: f64::from(s.mean).exp(),
            runs: f64::from(s.weight),
        })
    }

    /// All machines that are credibly slow.
    pub(crate) fn slow_machines(&self, bound: f64) -> Vec<SlowMachine> {
        self.0
            .keys()
            .filter_map(|id| self.slow(id, bound))
            .collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
