//! How fast each machine is, apart from what it ran.

use hopyoke_types::MachineId;
use std::collections::BTreeMap;

/// Runs of one machine count for at most this many: machines change, too.
const MEMORY: f32 = 20.0;
/// A machine's factor leans on 1 by this many runs.
const LEAN: f32 = 4.0;
/// What one run tells differs by this much (logarithms) whatever the machine.
const LEAST_SPREAD: f32 = 0.2;
/// Standard errors that a machine must be beyond the bound to count as credibly slow.
const CREDIBLE: f32 = 1.64;

#[derive(Debug, Clone, Copy, Default)]
struct Speed {
    weight: f32,
    /// The mean and the mean square of logarithms of actual over predicted.
    mean: f32,
    square: f32,
}

/// A machine that is credibly far slower than its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct Slow {
    pub machine: MachineId,
    /// How many times as long its runs take.
    pub factor: f64,
    /// How many runs that rests on; old ones count less.
    pub runs: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Machines(BTreeMap<MachineId, Speed>);

impl Machines {
    /// A run there took `exp(deviation)` times what was predicted.
    pub fn note(&mut self, id: &MachineId, deviation: f32) {
        if !deviation.is_finite() {
            return;
        }
        let d = deviation.clamp(-2.0, 2.0);
        let entry = match self.0.get_mut(id) {
            Some(s) => s,
            None => self.0.entry(id.clone()).or_default(),
        };
        entry.weight = (entry.weight + 1.0).min(MEMORY);
        entry.mean += (d - entry.mean) / entry.weight;
        entry.square += (d * d - entry.square) / entry.weight;
    }

    /// The machine is gone.
    pub fn forget(&mut self, id: &MachineId) {
        self.0.remove(id);
    }

    /// The logarithm of how many times as long runs take there.
    pub fn factor(&self, id: &MachineId) -> f32 {
        self.0
            .get(id)
            .map_or(0.0, |s| s.mean * s.weight / (s.weight + LEAN))
    }

    /// Whether a machine is credibly at least `bound` times as slow as its peers.
    pub fn slow(&self, id: &MachineId, bound: f64) -> Option<Slow> {
        let s = self.0.get(id)?;
        if s.weight < 3.0 {
            return None;
        }
        let spread = (s.square - s.mean * s.mean)
            .max(0.0)
            .sqrt()
            .max(LEAST_SPREAD);
        let sure = s.mean - CREDIBLE * spread / s.weight.sqrt();
        let slow = f64::from(sure) >= bound.max(1.0).ln() * 0.75
            && f64::from(s.mean) >= bound.max(1.0).ln();
        slow.then(|| Slow {
            machine: id.clone(),
            factor: f64::from(s.mean).exp(),
            runs: f64::from(s.weight),
        })
    }

    /// All machines that are credibly slow.
    pub fn all_slow(&self, bound: f64) -> Vec<Slow> {
        self.0
            .keys()
            .filter_map(|id| self.slow(id, bound))
            .collect()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
