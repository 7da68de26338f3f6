//! Run time distributions, represented by quantiles of log run times.

/// Probabilities at which quantiles are stored.
pub(crate) const GRID: [f32; 13] = [
    0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99,
];
/// Index of the median in [`GRID`].
pub(crate) const MEDIAN: usize = 6;
/// Index of the 10th percentile in [`GRID`].
pub(crate) const P10: usize = 2;
/// Index of the 90th percentile in [`GRID`].
pub(crate) const P90: usize = 10;

/// Lower bound on log run times (in log seconds): 0.1 ms.
pub(crate) const MIN_LOG_S: f32 = -9.2;
/// Upper bound on log run times (in log seconds): about three years.
pub(crate) const MAX_LOG_S: f32 = 18.4;

/// A run time distribution, stored as the quantiles of log seconds at the probabilities of `GRID`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distribution(pub(crate) [f32; 13]);

impl Distribution {
    /// Builds a distribution from log quantiles. A quantile that is below its predecessor or not finite
    /// is raised to the predecessor, so the result is monotonic.
    pub(crate) fn from_log_quantiles(mut q: [f32; 13]) -> Distribution {
        let mut lower_bound = MIN_LOG_S;
        for x in &mut q {
            *x = if x.is_finite() {
                x.clamp(lower_bound, MAX_LOG_S)
            } else {
                lower_bound
            };
            lower_bound = *x;
        }
        Distribution(q)
    }

    /// Returns the quantile at probability `p` (0 to 1), in seconds.
    pub fn quantile(&self, p: f64) -> f64 {
        f64::from(quantile_at(&self.0, p as f32)).exp()
    }

    /// Returns the probability that a run takes at most `seconds`.
    pub fn probability_below(&self, seconds: f64) -> f64 {
        f64::from(probability_at(&self.0, seconds.max(1e-9).ln() as f32))
    }

    /// Returns the quantile at probability `p` of the remaining time, in seconds, of a run that has been
    /// active for `elapsed_s` seconds and has not ended.
    ///
    /// Beyond the last stored quantile the tail is extrapolated from the spread between median and p90.
    pub fn remaining_quantile(&self, elapsed_s: f64, p: f64) -> f64 {
        if elapsed_s <= 0.0 {
            return self.quantile(p);
        }
        let x = elapsed_s.ln() as f32;
        let elapsed_probability = probability_at(&self.0, x);
        let end = quantile_at(
            &self.0,
            elapsed_probability + (p as f32) * (1.0 - elapsed_probability),
        );
        // The extrapolation is in log time, so the tail is proportional to the elapsed time.
        let spread = (self.0[P90] - self.0[MEDIAN]).max(0.05);
        let tail = x + spread * (-(1.0 - p.min(0.999)).ln() as f32) * 0.7;
        let end = if elapsed_probability >= GRID[12] {
            tail
        } else {
            end.max(x)
        };
        (f64::from(end).exp() - elapsed_s).max(0.0)
    }

    /// Returns the distribution with all run times multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Distribution {
        let shift = factor.max(1e-3).ln() as f32;
        Distribution::from_log_quantiles(self.0.map(|x| x + shift))
    }
}

/// Returns the value at probability `p`, interpolated linearly and clamped to the outer quantiles.
pub(crate) fn quantile_at(q: &[f32; 13], p: f32) -> f32 {
    if p.is_nan() || p <= GRID[0] {
        return q[0];
    }
    let i = GRID.partition_point(|g| *g < p);
    if i >= GRID.len() {
        return q[12];
    }
    let fraction = (p - GRID[i - 1]) / (GRID[i] - GRID[i - 1]);
    q[i - 1] + fraction * (q[i] - q[i - 1])
}

/// Returns the cumulative probability of `x`, interpolated linearly between the quantiles: 0 below the first one and the last
/// probability of `GRID` from the last one on.
pub(crate) fn probability_at(q: &[f32; 13], x: f32) -> f32 {
    if x < q[0] {
        return 0.0;
    }
    // Of equal quantiles the last applies, as their entire probability mass lies at or below `x`.
    let i = q.partition_point(|v| *v <= x);
    if i >= q.len() {
        return GRID[12];
    }
    let (lower, upper) = (q[i - 1], q[i]);
    let fraction = if upper > lower {
        (x - lower) / (upper - lower)
    } else {
        1.0
    };
    GRID[i - 1] + fraction * (GRID[i] - GRID[i - 1])
}
