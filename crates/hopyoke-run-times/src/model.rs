//! The model of one class, of one team, or of all work.

use crate::distribution::{Distribution, GRID, MEDIAN, P10, P90};
use crate::view::{SavedView, View};
use serde::{Deserialize, Serialize};

/// Learning rate of the band's half-widths; after Gibbs and Candès, adaptive conformal inference.
const CALIBRATION_RATE: f32 = 0.05;
/// Added to [`CALIBRATION_RATE`] at first, fading over some twenty runs.
const INITIAL_CALIBRATION_RATE: f32 = 0.15;
/// Prior weight, in runs, of the parent (a class's team, a team's all work) for the median.
const PRIOR_MEDIAN_WEIGHT: f32 = 3.0;
/// Prior weight, in runs, of the parent for the width of the band: the median is known sooner than the tails.
const PRIOR_WIDTH_WEIGHT: f32 = 6.0;
/// How much wider the band of a class without any run is than its parent's.
const UNSEEN_CLASS_WIDENING: f32 = 0.6;

/// Run times of similar work.
#[derive(Debug, Clone)]
pub(crate) struct Model {
    /// Logarithms of run times.
    pub(crate) level: View,
    /// Logarithms of run times over owners' estimates.
    pub(crate) ratio: View,
    /// The band's lower and upper half-widths, relative to the views' own.
    lower_scale: f32,
    upper_scale: f32,
    /// Seconds from a start command until the task runs, mostly the image's pull.
    pub(crate) start_latency_s: f32,
    /// Completed runs.
    pub(crate) runs: u32,
    /// Page's test: runs that outlive their band, against those that do not.
    pub(crate) overdue_statistic: f32,
}

/// The stored form of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedModel {
    #[serde(rename = "v")]
    level: SavedView,
    #[serde(rename = "r")]
    ratio: SavedView,
    /// Half-widths and start latency in hundredths, and the number of runs.
    #[serde(rename = "w")]
    parameters: [u32; 4],
    /// Runs that outlived their band, in hundredths.
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

/// The prior distribution, before any run: half of the owner's estimate to one and a half of it
/// is likely, and without an estimate anything from seconds to hours.
fn prior_quantiles(estimate: Option<f32>) -> [f32; 13] {
    // Quantiles of a normal distribution at the grid's probabilities.
    const NORMAL: [f32; 13] = [
        -2.33, -1.64, -1.28, -0.84, -0.52, -0.25, 0.0, 0.25, 0.52, 0.84, 1.28, 1.64, 2.33,
    ];
    match estimate {
        Some(e) => NORMAL.map(|z| e + 0.6 * z),
        None => NORMAL.map(|z| 5.0 + 1.6 * z),
    }
}

impl Model {
    /// Records a run that completed: the logarithms of its length and its owner's estimate. True on a change.
    pub(crate) fn record_completed(
        &mut self,
        x: f32,
        estimate: Option<f32>,
        decay_runs: f32,
    ) -> bool {
        self.runs = self.runs.saturating_add(1);
        let mut changed = self.level.record_completed(x, decay_runs);
        if let Some(e) = estimate {
            changed |= self.ratio.record_completed(x - e, decay_runs);
        }
        changed
    }

    /// Records a run that was censored.
    pub(crate) fn record_censored(&mut self, x: f32, estimate: Option<f32>, decay_runs: f32) {
        self.level.record_censored(x, decay_runs);
        if let Some(e) = estimate {
            self.ratio.record_censored(x - e, decay_runs);
        }
    }

    /// Moves to runs under way (logarithms of their time so far, and of estimates) that have outlived their
    /// band. A view whose p90 they exceed moves its median to theirs; the other stays. True if one moved.
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

    /// Adjusts the half-widths to a run that its predicted band has hit or missed.
    pub(crate) fn calibrate_band(&mut self, x: f32, p10: f32, p90: f32) {
        let rate = CALIBRATION_RATE + INITIAL_CALIBRATION_RATE * (-(self.runs as f32) / 20.0).exp();
        let log_step = |miss: bool| rate * if miss { 0.9 } else { -0.1 };
        self.lower_scale = (self.lower_scale * log_step(x < p10).exp()).clamp(0.2, 6.0);
        self.upper_scale = (self.upper_scale * log_step(x > p90).exp()).clamp(0.2, 6.0);
    }

    /// Weight of the ratio to the owner's estimate against the class's own level, 0 to 1.
    pub(crate) fn ratio_weight(&self, estimate: Option<f32>) -> f32 {
        if estimate.is_none() || self.ratio.grid().is_none() {
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

    /// The quantiles of this model's own runs, and their weight. Of several classes
    /// together (a team's, or all) only the ratio to estimates means something, where there is one.
    fn own_quantiles(&self, estimate: Option<f32>, is_class: bool) -> Option<([f32; 13], f32)> {
        let has_ratio = estimate.is_some() && self.ratio.grid().is_some();
        let share = if has_ratio && !is_class {
            1.0
        } else {
            self.ratio_weight(estimate)
        };
        let mut out = [0.0; 13];
        if share < 1.0 {
            let level = self.level.grid()?;
            out.iter_mut()
                .zip(level)
                .for_each(|(o, q)| *o += (1.0 - share) * q);
        }
        if share > 0.0
            && let (Some(e), Some(ratio)) = (estimate, self.ratio.grid())
        {
            out.iter_mut()
                .zip(ratio)
                .for_each(|(o, q)| *o += share * (e + q));
        }
        let weight = (1.0 - share) * self.level.weight() + share * self.ratio.weight();
        Some((out, weight))
    }

    /// The median alone of [`Model::predict`].
    pub(crate) fn predict_median(models: &[Option<&Model>], estimate: Option<f32>) -> f32 {
        let mut out = prior_quantiles(estimate)[MEDIAN];
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let ratio = estimate.zip(model.ratio.grid()).map(|(e, q)| e + q[MEDIAN]);
            let level = model.level.grid().map(|q| q[MEDIAN]);
            let (own, weight) = match (ratio, level) {
                (None, None) => continue,
                (Some(ratio), Some(level)) if i == 0 => {
                    let share = model.ratio_weight(estimate);
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

    /// The distribution of a run to come, by its class's model and its parents', nearest first.
    pub(crate) fn predict(models: &[Option<&Model>], estimate: Option<f32>) -> Distribution {
        let mut out = prior_quantiles(estimate);
        let mut class_weight = 0.0;
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let Some((own, weight)) = model.own_quantiles(estimate, i == 0) else {
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
        // Parents' runs predict a class less well than themselves.
        let widening = 1.0 + UNSEEN_CLASS_WIDENING * (-class_weight / PRIOR_MEDIAN_WEIGHT).exp();
        let median = out[MEDIAN];
        Distribution::from_log_quantiles(out.map(|q| median + widening * (q - median)))
    }

    /// The form in which the model is stored.
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

    /// Reads a model back; `None` if it holds what no model can.
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

/// A predicted band, as logarithms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Band {
    pub(crate) p10: f32,
    pub(crate) p90: f32,
}

impl Band {
    /// The band of a distribution whose run times are all multiplied by `exp(factor)`.
    pub(crate) fn from_distribution(d: &Distribution, log_factor: f32) -> Band {
        Band {
            p10: d.0[P10] + log_factor,
            p90: d.0[P90] + log_factor,
        }
    }
}
