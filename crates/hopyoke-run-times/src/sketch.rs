//! Quantile sketch of log run times: a t-digest with exponential decay of the weights.

use crate::distribution::{GRID, MAX_LOG_S, MIN_LOG_S};
use serde::{Deserialize, Serialize};
use tdigest::{Centroid, TDigest};

/// Maximum number of centroids; enough for p10 and p90 of a few dozen runs.
const MAX_CENTROIDS: usize = 16;

/// Quantile sketch of values between [`MIN_LOG_S`] and [`MAX_LOG_S`].
#[derive(Debug, Clone)]
pub(crate) struct Sketch {
    pub(crate) digest: TDigest,
    /// Values not yet merged into the digest; a batch costs little more to merge than one value.
    pending: Vec<f64>,
    /// Number of values added since the last decay of the weights.
    added_since_decay: u16,
}

/// Serialized form of a [`Sketch`]: pairs of value in thousandths and weight in hundredths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct SavedSketch(Vec<(i32, u32)>);

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch {
            digest: TDigest::new_with_size(MAX_CENTROIDS),
            pending: Vec::new(),
            added_since_decay: 0,
        }
    }
}

impl Sketch {
    /// Adds a value. A value that is not finite is ignored. All weights decay once per `decay_runs / 4` values,
    /// so that a value's weight falls to 1/e after `decay_runs` further values.
    pub(crate) fn add(&mut self, x: f32, decay_runs: f32) {
        let x = f64::from(if x.is_finite() {
            x.clamp(MIN_LOG_S, MAX_LOG_S)
        } else {
            return;
        });
        self.pending.push(x);
        self.added_since_decay += 1;
        if f32::from(self.added_since_decay) >= decay_runs / 4.0 {
            let weight_factor =
                f64::from((-f32::from(self.added_since_decay) / decay_runs.max(1.0)).exp());
            self.added_since_decay = 0;
            self.rebuild(0.0, weight_factor);
        }
    }

    /// Returns the number of values not yet merged into the digest.
    pub(crate) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Merges the added values into the digest; quantiles reflect merged values only.
    pub(crate) fn merge_pending(&mut self) {
        if !self.pending.is_empty() {
            self.digest = self
                .digest
                .merge_unsorted(std::mem::take(&mut self.pending));
        }
    }

    /// Shifts all values by `by` and scales their total weight down to at most `max_weight`.
    pub(crate) fn shift(&mut self, by: f32, max_weight: f32) {
        self.merge_pending();
        let weight_factor = f64::from(max_weight) / self.digest.count().max(f64::from(max_weight));
        self.rebuild(f64::from(by), weight_factor);
    }

    fn rebuild(&mut self, by: f64, weight_factor: f64) {
        self.merge_pending();
        let clamp = |x: f64| (x + by).clamp(f64::from(MIN_LOG_S), f64::from(MAX_LOG_S));
        let centroids = self
            .digest
            .centroids()
            .iter()
            .map(|c| (clamp(c.mean()), c.weight() * weight_factor));
        self.digest = digest_from_centroids(centroids.filter(|(_, w)| *w > 1e-6).collect());
    }

    /// Returns the total weight of all values.
    pub(crate) fn weight(&self) -> f32 {
        self.digest.count() as f32 + self.pending.len() as f32
    }

    /// Returns the quantiles at the probabilities of [`GRID`], or `None` if no value has been merged.
    pub(crate) fn grid(&self) -> Option<[f32; 13]> {
        if self.digest.is_empty() {
            return None;
        }
        let found = self.digest.quantiles(&GRID.map(f64::from));
        let mut out = [0.0; 13];
        for (slot, q) in out.iter_mut().zip(found) {
            *slot = q? as f32;
        }
        Some(out)
    }

    /// Returns the serialized form.
    pub(crate) fn save(&self) -> SavedSketch {
        let mut merged = self.clone();
        merged.merge_pending();
        let encode = |c: &Centroid| {
            (
                (c.mean() * 1000.0).round() as i32,
                (c.weight() * 100.0).round().max(1.0) as u32,
            )
        };
        SavedSketch(merged.digest.centroids().iter().map(encode).collect())
    }

    /// Restores a sketch from its serialized form. Returns `None` if it has too many centroids or a
    /// value or weight is out of range.
    pub(crate) fn load(saved: &SavedSketch) -> Option<Sketch> {
        let is_valid = |(x, w): &(i32, u32)| {
            let x = *x as f32 / 1000.0;
            (MIN_LOG_S - 0.1..=MAX_LOG_S + 0.1).contains(&x) && (1..=1_000_000).contains(w)
        };
        if saved.0.len() > 4 * MAX_CENTROIDS || !saved.0.iter().all(is_valid) {
            return None;
        }
        let centroids = saved
            .0
            .iter()
            .map(|(x, w)| (f64::from(*x) / 1000.0, f64::from(*w) / 100.0))
            .collect();
        Some(Sketch {
            digest: digest_from_centroids(centroids),
            ..Sketch::default()
        })
    }
}

/// Builds a digest from pairs of value and weight.
fn digest_from_centroids(centroids: Vec<(f64, f64)>) -> TDigest {
    let (mut sum, mut count) = (0.0, 0.0);
    let (mut min, mut max) = (f64::INFINITY, f64::NEG_INFINITY);
    for (x, w) in &centroids {
        sum += x * w;
        count += w;
        min = min.min(*x);
        max = max.max(*x);
    }
    if count <= 0.0 {
        return TDigest::new_with_size(MAX_CENTROIDS);
    }
    let centroids = centroids
        .into_iter()
        .map(|(x, w)| Centroid::new(x, w))
        .collect();
    TDigest::new(centroids, sum, count, Some(max), Some(min), MAX_CENTROIDS)
}
