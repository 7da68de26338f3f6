//! One view of a class's run times: quantiles, recent prediction loss and change detection.

use crate::distribution::{MEDIAN, P10, P90, probability_at, quantile_at};
use crate::sketch::{SavedSketch, Sketch};
use serde::{Deserialize, Serialize};

/// Slack of the cumulative sum, in standard deviations; smaller deviations are ignored.
const CUSUM_SLACK: f32 = 0.75;
/// Threshold at which the cumulative sum signals a change, in standard deviations.
const CUSUM_THRESHOLD: f32 = 5.0;
/// Maximum contribution of a single run to the cumulative sum, in standard deviations.
const MAX_STANDARDIZED_DEVIATION: f32 = 3.0;
/// Weight, in runs, kept from the distribution before a change, whose shape is still informative.
const WEIGHT_AFTER_CHANGE: f32 = 6.0;

/// Weight below which each run is merged immediately; above it, runs are merged in batches.
const SMALL_SAMPLE_WEIGHT: f32 = 20.0;
/// Minimum number of runs merged together above [`SMALL_SAMPLE_WEIGHT`].
const MERGE_BATCH: usize = 8;

/// One-sided cumulative sum of deviations (Page's test).
#[derive(Debug, Clone, Copy, Default)]
struct Cusum {
    statistic: f32,
    /// Sum of the raw deviations since the statistic was last zero.
    sum: f32,
    /// Number of deviations since the statistic was last zero.
    count: u16,
}

impl Cusum {
    /// Adds a deviation, given both in standard deviations and raw. Returns the mean raw deviation if a
    /// change is detected.
    fn add(&mut self, standardized: f32, deviation: f32) -> Option<f32> {
        self.statistic += standardized - CUSUM_SLACK;
        if self.statistic <= 0.0 {
            *self = Cusum::default();
            return None;
        }
        self.sum += deviation;
        self.count += 1;
        (self.statistic > CUSUM_THRESHOLD && self.count >= 3)
            .then(|| self.sum / f32::from(self.count))
    }
}

/// Quantiles of one quantity with change detection.
#[derive(Debug, Clone)]
pub(crate) struct View {
    sketch: Sketch,
    grid: Option<[f32; 13]>,
    /// Exponentially weighted mean of |log(actual / predicted)|.
    loss: f32,
    up: Cusum,
    down: Cusum,
    /// Number of changes detected.
    pub(crate) change_count: u32,
    /// Relative position in its tail at which the last censored run was imputed; see
    /// [`View::record_censored`].
    imputation_position: f32,
}

/// Serialized form of a [`View`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedView {
    #[serde(rename = "q")]
    sketch: SavedSketch,
    /// Loss in thousandths.
    #[serde(rename = "l")]
    loss: u32,
    /// Upward and downward cumulative sums (statistic and sum in hundredths, count). They are persisted
    /// so that a change is detected even if it takes longer than one leader's term.
    #[serde(rename = "c", default)]
    cusums: [(i32, i32, u16); 2],
}

impl Default for View {
    fn default() -> View {
        View {
            sketch: Sketch::default(),
            grid: None,
            loss: 1.0,
            up: Cusum::default(),
            down: Cusum::default(),
            change_count: 0,
            imputation_position: 0.5,
        }
    }
}

impl View {
    pub(crate) fn weight(&self) -> f32 {
        self.sketch.weight()
    }

    pub(crate) fn grid(&self) -> Option<&[f32; 13]> {
        self.grid.as_ref()
    }

    pub(crate) fn loss(&self) -> f32 {
        self.loss
    }

    fn std_dev(grid: &[f32; 13]) -> f32 {
        ((grid[P90] - grid[P10]) / 2.56).max(0.08)
    }

    /// Records a completed run. Returns whether a change was detected.
    pub(crate) fn record_completed(&mut self, x: f32, decay_runs: f32) -> bool {
        let mut change = None;
        if let Some(grid) = &self.grid {
            let deviation = x - grid[MEDIAN];
            let rate = if self.weight() < 8.0 { 0.25 } else { 0.1 };
            self.loss += rate * (deviation.abs() - self.loss);
            if self.weight() >= 4.0 {
                let standardized = (deviation / View::std_dev(grid))
                    .clamp(-MAX_STANDARDIZED_DEVIATION, MAX_STANDARDIZED_DEVIATION);
                change = self
                    .up
                    .add(standardized, deviation)
                    .or(self.down.add(-standardized, deviation));
            }
        }
        self.sketch.add(x, decay_runs);
        if let Some(by) = change {
            self.shift(by);
        }
        self.refresh_grid_if_due();
        change.is_some()
    }

    /// Records a run that was censored at `x`, by imputing an end beyond `x`. Imputed ends are spread
    /// evenly over the tail beyond `x`, so that many censored runs reproduce the class's distribution
    /// there. Without them the model would be biased towards short runs.
    pub(crate) fn record_censored(&mut self, x: f32, decay_runs: f32) {
        let Some(grid) = &self.grid else { return };
        let below = probability_at(grid, x);
        if below < 0.05 {
            // Nearly all runs take longer, so the observation carries no information.
            return;
        }
        self.imputation_position = (self.imputation_position + 0.618_034).fract();
        let p = below + self.imputation_position * (1.0 - below);
        let spread = (grid[P90] - grid[MEDIAN]).max(0.1);
        let end = if below >= 0.99 {
            x + spread * self.imputation_position
        } else {
            quantile_at(grid, p).max(x)
        };
        self.sketch.add(end, decay_runs);
        self.refresh_grid_if_due();
    }

    /// Returns the upward statistic as a fraction of the threshold.
    pub(crate) fn upward_evidence(&self) -> f32 {
        self.up.statistic / CUSUM_THRESHOLD
    }

    /// Multiplies all run times by `exp(by)` and resets change detection.
    pub(crate) fn shift(&mut self, by: f32) {
        self.sketch.shift(by, WEIGHT_AFTER_CHANGE);
        self.up = Cusum::default();
        self.down = Cusum::default();
        self.change_count += 1;
        self.refresh_grid();
    }

    /// Merges pending runs: immediately while there are few, later in batches to save time. Change
    /// detection sees every run either way.
    fn refresh_grid_if_due(&mut self) {
        if self.grid.is_none()
            || self.weight() < SMALL_SAMPLE_WEIGHT
            || self.sketch.pending_count() >= MERGE_BATCH.max(self.weight() as usize / 8)
        {
            self.refresh_grid();
        }
    }

    fn refresh_grid(&mut self) {
        self.sketch.merge_pending();
        self.grid = self.sketch.grid();
    }

    pub(crate) fn save(&self) -> SavedView {
        let hundredths = |x: f32| (x * 100.0).round().clamp(-1e6, 1e6) as i32;
        SavedView {
            sketch: self.sketch.save(),
            loss: (self.loss * 1000.0).round().clamp(0.0, 1e6) as u32,
            cusums: [&self.up, &self.down]
                .map(|c| (hundredths(c.statistic), hundredths(c.sum), c.count)),
        }
    }

    pub(crate) fn load(saved: &SavedView) -> Option<View> {
        let sketch = Sketch::load(&saved.sketch)?;
        let [up, down] = saved.cusums.map(|(statistic, sum, count)| Cusum {
            statistic: (statistic as f32 / 100.0).clamp(0.0, CUSUM_THRESHOLD),
            sum: (sum as f32 / 100.0).clamp(-100.0, 100.0),
            count,
        });
        let mut view = View {
            loss: (saved.loss as f32 / 1000.0).min(10.0),
            sketch,
            up,
            down,
            ..View::default()
        };
        view.refresh_grid();
        Some(view)
    }
}
