//! One view of a class: quantiles, how well they predicted lately, and whether all has changed.

use crate::distribution::{MEDIAN, P10, P90, at, rank};
use crate::sketch::{Saved, Sketch};
use serde::{Deserialize, Serialize};

/// Deviations smaller than this, in spreads, do not speak for a change.
const SLACK: f32 = 0.75;
/// Deviations that add up to this many spreads, beyond the slack, are a change.
const ALARM: f32 = 5.0;
/// No single run counts for more than this many spreads.
const MOST_STEP: f32 = 3.0;
/// What was known before a change counts for this many runs after it: its shape still holds.
const AFTER_CHANGE: f32 = 6.0;

/// Below this many runs each is taken in at once; above, this many together.
const YOUNG: f32 = 20.0;
const TOGETHER: usize = 8;

/// A one-sided cumulative sum of deviations (Page's test).
#[derive(Debug, Clone, Copy, Default)]
struct Cusum {
    height: f32,
    /// The deviations since it last was zero: their sum, and how many.
    sum: f32,
    count: u16,
}

impl Cusum {
    /// Adds a deviation in spreads and as it is; the mean deviation if that is a change.
    fn add(&mut self, spreads: f32, deviation: f32) -> Option<f32> {
        self.height += spreads - SLACK;
        if self.height <= 0.0 {
            *self = Cusum::default();
            return None;
        }
        self.sum += deviation;
        self.count += 1;
        (self.height > ALARM && self.count >= 3).then(|| self.sum / f32::from(self.count))
    }
}

#[derive(Debug, Clone)]
pub(crate) struct View {
    sketch: Sketch,
    grid: Option<[f32; 13]>,
    /// The mean of |logarithm of actual / predicted|, fading.
    loss: f32,
    up: Cusum,
    down: Cusum,
    /// Changes found so far.
    pub changes: u32,
    /// Where in its range the next censored run is taken to end; see [`View::outlive`].
    turn: f32,
}

/// A view as it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SavedView {
    q: Saved,
    /// Loss in thousandths.
    l: u32,
    /// Where the tests for change stand, upwards and downwards: a leader that leads for less time
    /// than a change takes to show must hand on what speaks for it.
    #[serde(default)]
    c: [(i32, i32, u16); 2],
}

impl Default for View {
    fn default() -> View {
        View {
            sketch: Sketch::default(),
            grid: None,
            loss: 1.0,
            up: Cusum::default(),
            down: Cusum::default(),
            changes: 0,
            turn: 0.5,
        }
    }
}

impl View {
    pub fn weight(&self) -> f32 {
        self.sketch.weight()
    }

    pub fn grid(&self) -> Option<&[f32; 13]> {
        self.grid.as_ref()
    }

    pub fn loss(&self) -> f32 {
        self.loss
    }

    fn spread(grid: &[f32; 13]) -> f32 {
        ((grid[P90] - grid[P10]) / 2.56).max(0.08)
    }

    /// A run ended. True if it shows that all has changed.
    pub fn end(&mut self, x: f32, memory: f32) -> bool {
        let mut change = None;
        if let Some(grid) = &self.grid {
            let deviation = x - grid[MEDIAN];
            let rate = if self.weight() < 8.0 { 0.25 } else { 0.1 };
            self.loss += rate * (deviation.abs() - self.loss);
            if self.weight() >= 4.0 {
                let spreads = (deviation / View::spread(grid)).clamp(-MOST_STEP, MOST_STEP);
                change = self
                    .up
                    .add(spreads, deviation)
                    .or(self.down.add(-spreads, deviation));
            }
        }
        self.sketch.add(x, memory);
        if let Some(by) = change {
            self.move_by(by);
        }
        self.refresh_some();
        change.is_some()
    }

    /// A run was cut short after `x`: it would have ended somewhere beyond. It is taken to end at
    /// a point of that range which wanders evenly over it, so that many such runs have the
    /// distribution that their class has beyond `x` (the remedy against counting only short runs).
    pub fn outlive(&mut self, x: f32, memory: f32) {
        let Some(grid) = &self.grid else { return };
        let below = rank(grid, x);
        if below < 0.05 {
            // It says next to nothing.
            return;
        }
        self.turn = (self.turn + 0.618_034).fract();
        let p = below + self.turn * (1.0 - below);
        let spread = (grid[P90] - grid[MEDIAN]).max(0.1);
        let end = if below >= 0.99 {
            x + spread * self.turn
        } else {
            at(grid, p).max(x)
        };
        self.sketch.add(end, memory);
        self.refresh_some();
    }

    /// How much speaks for longer runs, in parts of an alarm.
    pub fn rising(&self) -> f32 {
        self.up.height / ALARM
    }

    /// Everything takes `exp(by)` times as long from now on.
    pub fn move_by(&mut self, by: f32) {
        self.sketch.shift(by, AFTER_CHANGE);
        self.up = Cusum::default();
        self.down = Cusum::default();
        self.changes += 1;
        self.refresh();
    }

    /// While little is known every run counts at once; later some are taken in together. (Changes
    /// are looked for at every run all the same.)
    fn refresh_some(&mut self) {
        if self.grid.is_none()
            || self.weight() < YOUNG
            || self.sketch.unsettled() >= TOGETHER.max(self.weight() as usize / 8)
        {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.sketch.settle();
        self.grid = self.sketch.grid();
    }

    pub fn save(&self) -> SavedView {
        let hundredths = |x: f32| (x * 100.0).round().clamp(-1e6, 1e6) as i32;
        SavedView {
            q: self.sketch.save(),
            l: (self.loss * 1000.0).round().clamp(0.0, 1e6) as u32,
            c: [&self.up, &self.down].map(|c| (hundredths(c.height), hundredths(c.sum), c.count)),
        }
    }

    pub fn load(saved: &SavedView) -> Option<View> {
        let sketch = Sketch::load(&saved.q)?;
        let [up, down] = saved.c.map(|(height, sum, count)| Cusum {
            height: (height as f32 / 100.0).clamp(0.0, ALARM),
            sum: (sum as f32 / 100.0).clamp(-100.0, 100.0),
            count,
        });
        let mut view = View {
            loss: (saved.l as f32 / 1000.0).min(10.0),
            sketch,
            up,
            down,
            ..View::default()
        };
        view.refresh();
        Some(view)
    }
}
