//! Speed factor of each machine, apart from what it ran.

use hopyoke_types::MachineId;
use std::collections::BTreeMap;

/// Upper bound on the weight of a machine's past runs: machines change, too.
const MAX_WEIGHT: f32 = 20.0;
/// Prior weight, in runs, of a factor of 1.
const PRIOR_WEIGHT: f32 = 4.0;
/// Lower bound on the standard deviation of one run (logarithms), whatever the machine.
const MIN_STD_DEV: f32 = 0.2;
/// Standard errors below the mean at which a machine is still credibly slow: a one-sided 95% bound.
const CONFIDENCE_Z: f32 = 1.64;

#[derive(Debug, Clone, Copy, Default)]
struct Speed {
    weight: f32,
    /// The mean and the mean square of logarithms of actual over predicted.
    mean: f32,
    mean_square: f32,
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
pub(crate) struct MachineSpeeds(BTreeMap<MachineId, Speed>);

impl MachineSpeeds {
    /// Records a run that took `exp(deviation)` times what was predicted.
    pub(crate) fn record(&mut self, id: &MachineId, deviation: f32) {
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
        entry.mean_square += (d * d - entry.mean_square) / entry.weight;
    }

    /// Removes a machine that is gone.
    pub(crate) fn remove(&mut self, id: &MachineId) {
        self.0.remove(id);
    }

    /// The logarithm of how many times as long runs take there.
    pub(crate) fn log_factor(&self, id: &MachineId) -> f32 {
        self.0
            .get(id)
            .map_or(0.0, |s| s.mean * s.weight / (s.weight + PRIOR_WEIGHT))
    }

    /// Whether a machine is credibly at least `bound` times as slow as its peers.
    pub(crate) fn slow_machine(&self, id: &MachineId, bound: f64) -> Option<SlowMachine> {
        let s = self.0.get(id)?;
        if s.weight < 3.0 {
            return None;
        }
        let std_dev = (s.mean_square - s.mean * s.mean)
            .max(0.0)
            .sqrt()
            .max(MIN_STD_DEV);
        let lower_bound = s.mean - CONFIDENCE_Z * std_dev / s.weight.sqrt();
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
            .filter_map(|id| self.slow_machine(id, bound))
            .collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
