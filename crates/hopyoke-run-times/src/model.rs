//! Run time model of one class, one team, or all work.

use crate::distribution::{Distribution, GRID, MEDIAN, P10, P90};
use crate::view::{SavedView, View};
use serde::{Deserialize, Serialize};

/// Learning rate of the band scales (adaptive conformal inference, Gibbs and Candès).
const CALIBRATION_RATE: f32 = 0.05;
/// Initial addition to [`CALIBRATION_RATE`], decaying over about twenty runs.
const INITIAL_CALIBRATION_RATE: f32 = 0.15;
/// Weight, in runs, of the parent's median as a prior. The parent of a class is its team, and the
/// parent of a team is the model of all work.
const PRIOR_MEDIAN_WEIGHT: f32 = 3.0;
/// Weight, in runs, of the parent's band width as a prior; above [`PRIOR_MEDIAN_WEIGHT`] because
/// the tails need more runs than the median.
const PRIOR_WIDTH_WEIGHT: f32 = 6.0;
/// Relative widening of the band for a class without completed runs.
const UNSEEN_CLASS_WIDENING: f32 = 0.6;

/// Run time model of similar work.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    /// Log run times.
    pub(crate) level: View,
    /// Log ratios of run time to owner's estimate.
    pub(crate) ratio: View,
    /// Calibration factor of the band below the median.
    lower_scale: f32,
    /// Calibration factor of the band above the median.
    upper_scale: f32,
    /// Time from the start command until the task runs, in seconds; mostly image pull.
    pub(crate) start_latency_s: f32,
    /// Number of completed runs.
    pub(crate) runs: u32,
    /// Statistic of Page's test for runs that exceed their predicted band.
    pub(crate) overdue_statistic: f32,
}

/// Serialized form of a [`Model`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedModel {
    #[serde(rename = "v")]
    level: SavedView,
    #[serde(rename = "r")]
    ratio: SavedView,
    /// Lower scale, upper scale and start latency in hundredths, then the number of runs.
    #[serde(rename = "w")]
    parameters: [u32; 4],
    /// Overdue statistic in hundredths.
    #[serde(rename = "o", default)]
    overdue: u32,
}

impl Default for Model {
    fn default() -> Model {
        Model {
            level: View::default(),
            ratio: View::default(),
            lower_scale: 1.0,
            upper_scale: 1.0,
            start_latency_s: 0.0,
            runs: 0,
            overdue_statistic: 0.0,
        }
    }
}

/// Returns the log quantiles of the prior: about half to twice the owner's estimate, or seconds to
/// hours without one.
fn prior_quantiles(log_estimate: Option<f32>) -> [f32; 13] {
    // Quantiles of the standard normal distribution at the probabilities of `GRID`.
    const NORMAL: [f32; 13] = [
        -2.33, -1.64, -1.28, -0.84, -0.52, -0.25, 0.0, 0.25, 0.52, 0.84, 1.28, 1.64, 2.33,
    ];
    match log_estimate {
        Some(e) => NORMAL.map(|z| e + 0.6 * z),
        None => NORMAL.map(|z| 5.0 + 1.6 * z),
    }
}

impl Model {
    /// Records a completed run by its log run time and the log of its owner's estimate. Returns whether
    /// a change was detected.
    pub(crate) fn record_completed(
        &mut self,
        x: f32,
        log_estimate: Option<f32>,
        decay_runs: f32,
    ) -> bool {
        self.runs = self.runs.saturating_add(1);
        let mut changed = self.level.record_completed(x, decay_runs);
        if let Some(e) = log_estimate {
            changed |= self.ratio.record_completed(x - e, decay_runs);
        }
        changed
    }

    /// Records a right-censored run: `x` is a lower bound on its log run time.
    pub(crate) fn record_censored(&mut self, x: f32, log_estimate: Option<f32>, decay_runs: f32) {
        self.level.record_censored(x, decay_runs);
        if let Some(e) = log_estimate {
            self.ratio.record_censored(x - e, decay_runs);
        }
    }

    /// Shifts the model to active runs that have exceeded their band, given as log elapsed times and log
    /// estimates. A view whose p90 is below the median of these runs is shifted to that median; any
    /// other view is unchanged. Returns whether a view was shifted.
    pub(crate) fn shift_to_overdue(&mut self, overdue: &[(f32, Option<f32>)]) -> bool {
        let level: Vec<f32> = overdue.iter().map(|(x, _)| *x).collect();
        let ratio: Vec<f32> = overdue
            .iter()
            .filter_map(|(x, e)| Some(x - (*e)?))
            .collect();
        let mut shifted = false;
        for (view, mut values) in [(&mut self.level, level), (&mut self.ratio, ratio)] {
            values.sort_by(f32::total_cmp);
            let (Some(overdue_median), Some(grid)) = (values.get(values.len() / 2), view.grid())
            else {
                continue;
            };
            if *overdue_median > grid[P90] {
                let by = overdue_median - grid[MEDIAN];
                view.shift(by);
                shifted = true;
            }
        }
        shifted
    }

    /// Widens or narrows the band, depending on whether a completed run lies within its predicted band.
    pub(crate) fn calibrate_band(&mut self, x: f32, p10: f32, p90: f32) {
        let rate = CALIBRATION_RATE + INITIAL_CALIBRATION_RATE * (-(self.runs as f32) / 20.0).exp();
        let log_step = |miss: bool| rate * if miss { 0.9 } else { -0.1 };
        self.lower_scale = (self.lower_scale * log_step(x < p10).exp()).clamp(0.2, 6.0);
        self.upper_scale = (self.upper_scale * log_step(x > p90).exp()).clamp(0.2, 6.0);
    }

    /// Returns the weight of the ratio view against the level view, 0 to 1, from their recent losses.
    pub(crate) fn ratio_weight(&self, log_estimate: Option<f32>) -> f32 {
        if log_estimate.is_none() || self.ratio.grid().is_none() {
            return 0.0;
        }
        if self.level.grid().is_none() {
            return 1.0;
        }
        let (level_loss, ratio_loss) = (
            self.level.loss().max(0.01).powi(3),
            self.ratio.loss().max(0.01).powi(3),
        );
        level_loss / (level_loss + ratio_loss)
    }

    /// Returns the log quantiles of this model's own runs and their weight, or `None` without runs. A
    /// model of several classes (a team's, or that of all work) uses only the ratio view if it is
    /// available, because absolute run times of different classes are not comparable.
    fn own_quantiles(&self, log_estimate: Option<f32>, is_class: bool) -> Option<([f32; 13], f32)> {
        let has_ratio = log_estimate.is_some() && self.ratio.grid().is_some();
        let share = if has_ratio && !is_class {
            1.0
        } else {
            self.ratio_weight(log_estimate)
        };
        let mut out = [0.0; 13];
        if share < 1.0 {
            let level = self.level.grid()?;
            out.iter_mut()
                .zip(level)
                .for_each(|(o, q)| *o += (1.0 - share) * q);
        }
        if share > 0.0
            && let (Some(e), Some(ratio)) = (log_estimate, self.ratio.grid())
        {
            out.iter_mut()
                .zip(ratio)
                .for_each(|(o, q)| *o += share * (e + q));
        }
        let weight = (1.0 - share) * self.level.weight() + share * self.ratio.weight();
        Some((out, weight))
    }

    /// Returns the log median of [`Model::predict`] without computing the other quantiles.
    pub(crate) fn predict_median(models: &[Option<&Model>], log_estimate: Option<f32>) -> f32 {
        let mut out = prior_quantiles(log_estimate)[MEDIAN];
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let ratio = log_estimate
                .zip(model.ratio.grid())
                .map(|(e, q)| e + q[MEDIAN]);
            let level = model.level.grid().map(|q| q[MEDIAN]);
            let (own, weight) = match (ratio, level) {
                (None, None) => continue,
                (Some(ratio), Some(level)) if i == 0 => {
                    let share = model.ratio_weight(log_estimate);
                    let weight =
                        (1.0 - share) * model.level.weight() + share * model.ratio.weight();
                    (share * ratio + (1.0 - share) * level, weight)
                }
                (Some(ratio), _) => (ratio, model.ratio.weight()),
                (None, Some(level)) => (level, model.level.weight()),
            };
            out = (weight * own + PRIOR_MEDIAN_WEIGHT * out) / (weight + PRIOR_MEDIAN_WEIGHT);
        }
        out
    }

    /// Predicts the run time distribution of a future run from the models of its class, its team and all
    /// work, in this order.
    pub(crate) fn predict(models: &[Option<&Model>], log_estimate: Option<f32>) -> Distribution {
        let mut out = prior_quantiles(log_estimate);
        let mut class_weight = 0.0;
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let Some((own, weight)) = model.own_quantiles(log_estimate, i == 0) else {
                continue;
            };
            class_weight = if i == 0 { weight } else { 0.0 };
            let median = (weight * own[MEDIAN] + PRIOR_MEDIAN_WEIGHT * out[MEDIAN])
                / (weight + PRIOR_MEDIAN_WEIGHT);
            let share = weight / (weight + PRIOR_WIDTH_WEIGHT);
            let mut next = [0.0; 13];
            for (k, n) in next.iter_mut().enumerate() {
                let own_offset = own[k] - own[MEDIAN];
                let side = if GRID[k] < 0.5 {
                    model.lower_scale
                } else {
                    model.upper_scale
                };
                *n = median + side * (share * own_offset + (1.0 - share) * (out[k] - out[MEDIAN]));
            }
            out = next;
        }
        // The parents' models predict a class less well than their own runs.
        let widening = 1.0 + UNSEEN_CLASS_WIDENING * (-class_weight / PRIOR_MEDIAN_WEIGHT).exp();
        let median = out[MEDIAN];
        Distribution::from_log_quantiles(out.map(|q| median + widening * (q - median)))
    }

    /// Returns the serialized form.
    pub(crate) fn save(&self) -> SavedModel {
        let hundredths = |x: f32| (x * 100.0).round().clamp(0.0, 1e7) as u32;
        SavedModel {
            level: self.level.save(),
            ratio: self.ratio.save(),
            parameters: [
                hundredths(self.lower_scale),
                hundredths(self.upper_scale),
                hundredths(self.start_latency_s),
                self.runs,
            ],
            overdue: hundredths(self.overdue_statistic),
        }
    }

    /// Restores a model from its serialized form. Returns `None` if a value is out of range.
    pub(crate) fn load(saved: &SavedModel) -> Option<Model> {
        let [low, high, start_latency, runs] = saved.parameters;
        let scale = |x: u32| (x as f32 / 100.0).clamp(0.2, 6.0);
        Some(Model {
            level: View::load(&saved.level)?,
            ratio: View::load(&saved.ratio)?,
            lower_scale: scale(low),
            upper_scale: scale(high),
            start_latency_s: (start_latency as f32 / 100.0).min(3600.0),
            runs,
            overdue_statistic: (saved.overdue as f32 / 100.0).min(100.0),
        })
    }
}

/// A predicted interval of log run times.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Band {
    pub(crate) p10: f32,
    pub(crate) p90: f32,
}

impl Band {
    /// Returns the band of a distribution with all run times multiplied by `exp(log_factor)`.
    pub(crate) fn from_distribution(d: &Distribution, log_factor: f32) -> Band {
        Band {
            p10: d.0[P10] + log_factor,
            p90: d.0[P90] + log_factor,
        }
    }
}
