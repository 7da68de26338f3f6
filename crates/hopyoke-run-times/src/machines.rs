//! Speed factor of each machine, independent of the work that it ran.

use hopyoke_types::MachineId;
use std::collections::BTreeMap;

/// Maximum weight, in runs, of a machine's history, so that the factor follows changes.
const MAX_WEIGHT: f32 = 20.0;
/// Weight, in runs, of the prior factor of 1.
const PRIOR_WEIGHT: f32 = 4.0;
/// Lower bound on the standard deviation of the log deviation of a single run.
const MIN_STD_DEV: f32 = 0.2;
/// Number of standard errors below the mean that forms the one-sided 95% lower confidence bound.
const CONFIDENCE_Z: f32 = 1.64;

/// Running statistics of the log ratio of actual to predicted run time on one machine.
#[derive(Debug, Clone, Copy, Default)]
struct Speed {
    weight: f32,
    mean: f32,
    mean_square: f32,
}

/// A machine that is significantly slower than its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowMachine {
    /// The machine.
    pub machine: MachineId,
    /// Ratio of its run times to those on its peers.
    pub factor: f64,
    /// Weight of the observed runs; bounded, as older runs decay.
    pub runs: f64,
}

/// Speed factors of all machines with observed runs.
#[derive(Debug, Default)]
pub(crate) struct MachineSpeeds(BTreeMap<MachineId, Speed>);

impl MachineSpeeds {
    /// Records a run that took `exp(deviation)` times its predicted run time.
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

    /// Removes a machine that has left the cluster.
    pub(crate) fn remove(&mut self, id: &MachineId) {
        self.0.remove(id);
    }

    /// Returns the log of the machine's run time factor, shrunk towards 0. Returns 0 if it has no observed
    /// runs.
    pub(crate) fn log_factor(&self, id: &MachineId) -> f32 {
        self.0
            .get(id)
            .map_or(0.0, |s| s.mean * s.weight / (s.weight + PRIOR_WEIGHT))
    }

    /// Returns the machine if its mean factor is at least `bound` and the 95% lower confidence bound of
    /// the factor is at least `bound` to the power of 0.75. Returns `None` otherwise, and with fewer than
    /// three observed runs.
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

    /// Returns all machines for which [`MachineSpeeds::slow_machine`] returns a value.
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
