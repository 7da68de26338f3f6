//! What is known of one class, of one team, or of all work.

use crate::distribution::{Distribution, GRID, MEDIAN, P10, P90};
use crate::view::{SavedView, View};
use serde::{Deserialize, Serialize};

/// How fast the band's sides follow misses; after Gibbs and Candès, adaptive conformal inference.
const FOLLOW: f32 = 0.05;
/// At first they follow faster, by this much, fading over some twenty runs.
const FOLLOW_FIRST: f32 = 0.15;
/// A class with fewer runs than this leans on its team, and that on all work.
const LEAN: f32 = 3.0;
/// The width of its band leans longer: the median is known sooner than the tails.
const LEAN_WIDTH: f32 = 6.0;
/// How much wider the band of a class without any run is than that of what it falls back to.
const UNKNOWN: f32 = 0.6;

#[derive(Debug, Clone)]
pub(crate) struct Model {
    /// Logarithms of run times.
    pub level: View,
    /// Logarithms of run times over owners' estimates.
    pub ratio: View,
    /// The band's lower and upper half-widths, over those that the views say.
    low: f32,
    high: f32,
    /// Seconds from a start command until it ran: the image's fetch, most of it.
    pub lead_s: f32,
    pub runs: u32,
    /// Runs that outlive their band, against those that do not (Page's test).
    pub overdue: f32,
}

/// A model as it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedModel {
    #[serde(rename = "v")]
    level: SavedView,
    #[serde(rename = "r")]
    ratio: SavedView,
    /// Widths and lead in hundredths, and the number of runs.
    #[serde(rename = "w")]
    numbers: (u32, u32, u32, u32),
    /// Runs that outlived their band, in hundredths.
    #[serde(rename = "o", default)]
    overdue: u32,
}

impl Default for Model {
    fn default() -> Model {
        Model {
            level: View::default(),
            ratio: View::default(),
            low: 1.0,
            high: 1.0,
            lead_s: 0.0,
            runs: 0,
            overdue: 0.0,
        }
    }
}

/// What is believed before any run at all: half of the owner's estimate to one and a half of it
/// is likely, and without an estimate anything from seconds to hours.
fn ignorance(estimate: Option<f32>) -> [f32; 13] {
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
    /// Takes up a run that ended: its logarithm, and its owner's estimate's. True on a change.
    pub fn end(&mut self, x: f32, estimate: Option<f32>, memory: f32) -> bool {
        self.runs = self.runs.saturating_add(1);
        let mut changed = self.level.end(x, memory);
        if let Some(e) = estimate {
            changed |= self.ratio.end(x - e, memory);
        }
        changed
    }

    /// Takes up a run that was cut short.
    pub fn outlive(&mut self, x: f32, estimate: Option<f32>, memory: f32) {
        self.level.outlive(x, memory);
        if let Some(e) = estimate {
            self.ratio.outlive(x - e, memory);
        }
    }

    /// These runs under way (logarithms of what they have run, and of estimates) have outlived what
    /// was known. A view that did not foresee them moves to where they are; one that did stays.
    pub fn outlived(&mut self, late: &[(f32, Option<f32>)]) -> bool {
        let level: Vec<f32> = late.iter().map(|(x, _)| *x).collect();
        let ratio: Vec<f32> = late.iter().filter_map(|(x, e)| Some(x - (*e)?)).collect();
        let mut moved = false;
        for (view, mut at) in [(&mut self.level, level), (&mut self.ratio, ratio)] {
            at.sort_by(f32::total_cmp);
            let (Some(at), Some(grid)) = (at.get(at.len() / 2), view.grid()) else {
                continue;
            };
            if *at > grid[P90] {
                let by = at - grid[MEDIAN];
                view.move_by(by);
                moved = true;
            }
        }
        moved
    }

    /// A band that was told has been hit or missed: its sides follow.
    pub fn calibrate(&mut self, x: f32, p10: f32, p90: f32) {
        let follow = FOLLOW + FOLLOW_FIRST * (-(self.runs as f32) / 20.0).exp();
        let step = |miss: bool| follow * if miss { 0.9 } else { -0.1 };
        self.low = (self.low * step(x < p10).exp()).clamp(0.2, 6.0);
        self.high = (self.high * step(x > p90).exp()).clamp(0.2, 6.0);
    }

    /// How much the ratio to the owner's estimate counts, against the class's own level.
    pub fn ratio_share(&self, estimate: Option<f32>) -> f32 {
        if estimate.is_none() || self.ratio.grid().is_none() {
            return 0.0;
        }
        if self.level.grid().is_none() {
            return 1.0;
        }
        let (a, b) = (
            self.level.loss().max(0.01).powi(3),
            self.ratio.loss().max(0.01).powi(3),
        );
        a / (a + b)
    }

    /// The quantiles that this model's own runs speak for, and their weight. Of several classes
    /// together (a team's, or all) only the ratio to estimates means something, where there is one.
    fn own(&self, estimate: Option<f32>, of_class: bool) -> Option<([f32; 13], f32)> {
        let known = estimate.is_some() && self.ratio.grid().is_some();
        let share = if known && !of_class {
            1.0
        } else {
            self.ratio_share(estimate)
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

    /// The median alone of what [`Model::predict`] says.
    pub fn predict_median(models: &[Option<&Model>], estimate: Option<f32>) -> f32 {
        let mut out = ignorance(estimate)[MEDIAN];
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let known = estimate.zip(model.ratio.grid()).map(|(e, q)| e + q[MEDIAN]);
            let level = model.level.grid().map(|q| q[MEDIAN]);
            let (own, weight) = match (known, level) {
                (None, None) => continue,
                (Some(ratio), Some(level)) if i == 0 => {
                    let share = model.ratio_share(estimate);
                    let weight =
                        (1.0 - share) * model.level.weight() + share * model.ratio.weight();
                    (share * ratio + (1.0 - share) * level, weight)
                }
                (Some(ratio), _) => (ratio, model.ratio.weight()),
                (None, Some(level)) => (level, model.level.weight()),
            };
            out = (weight * own + LEAN * out) / (weight + LEAN);
        }
        out
    }

    /// The distribution of a run to come, leaning on `parents`, nearest first.
    pub fn predict(models: &[Option<&Model>], estimate: Option<f32>) -> Distribution {
        let mut out = ignorance(estimate);
        let mut of_class = 0.0;
        for (i, model) in models.iter().enumerate().rev() {
            let Some(model) = model else { continue };
            let Some((own, weight)) = model.own(estimate, i == 0) else {
                continue;
            };
            of_class = if i == 0 { weight } else { 0.0 };
            let median = (weight * own[MEDIAN] + LEAN * out[MEDIAN]) / (weight + LEAN);
            let share = weight / (weight + LEAN_WIDTH);
            let mut next = [0.0; 13];
            for (k, n) in next.iter_mut().enumerate() {
                let of_own = own[k] - own[MEDIAN];
                let side = if GRID[k] < 0.5 { model.low } else { model.high };
                *n = median + side * (share * of_own + (1.0 - share) * (out[k] - out[MEDIAN]));
            }
            out = next;
        }
        // What others' runs say of a class is less sure than they are of themselves.
        let wider = 1.0 + UNKNOWN * (-of_class / LEAN).exp();
        let median = out[MEDIAN];
        Distribution::of(out.map(|q| median + wider * (q - median)))
    }

    pub fn save(&self) -> SavedModel {
        let hundredths = |x: f32| (x * 100.0).round().clamp(0.0, 1e7) as u32;
        SavedModel {
            level: self.level.save(),
            ratio: self.ratio.save(),
            numbers: (
                hundredths(self.low),
                hundredths(self.high),
                hundredths(self.lead_s),
                self.runs,
            ),
            overdue: hundredths(self.overdue),
        }
    }

    pub fn load(saved: &SavedModel) -> Option<Model> {
        let (low, high, lead, runs) = saved.numbers;
        let width = |x: u32| (x as f32 / 100.0).clamp(0.2, 6.0);
        Some(Model {
            level: View::load(&saved.level)?,
            ratio: View::load(&saved.ratio)?,
            low: width(low),
            high: width(high),
            lead_s: (lead as f32 / 100.0).min(3600.0),
            runs,
            overdue: (saved.overdue as f32 / 100.0).min(100.0),
        })
    }
}

/// Where a band begins and ends, as logarithms.
pub(crate) fn band(d: &Distribution) -> (f32, f32, f32) {
    (d.0[P10], d.0[MEDIAN], d.0[P90])
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_median_alone_is_that_of_the_distribution() {
        let (mut class, mut team) = (Model::default(), Model::default());
        for i in 0..30 {
            class.end(4.0 + (i % 7) as f32 * 0.1, Some(4.2), 40.0);
            team.end(3.0 + (i % 5) as f32 * 0.3, (i % 3 > 0).then_some(3.5), 40.0);
        }
        for models in [
            [Some(&class), Some(&team), None],
            [None, Some(&team), None],
            [None, None, None],
        ] {
            for estimate in [None, Some(4.0)] {
                let whole = Model::predict(&models, estimate).0[MEDIAN];
                let alone = Model::predict_median(&models, estimate);
                assert!((whole - alone).abs() < 1e-4, "{whole} {alone}");
            }
        }
    }
}
