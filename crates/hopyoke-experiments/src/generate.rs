//! Seeded generator of synthetic workload traces in the Standard Workload Format.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::fmt::Write;

/// Scenario of a generated trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TraceKind {
    /// Run time distributions are stationary, and estimates unbiased.
    Steady,
    /// Halfway, the inputs of two classes double; only the estimates of one class follow.
    Doubling,
    /// A new class appears after each tenth of the trace.
    NewClass,
    /// Estimates are off by a factor of three, for half of the classes upwards, for the others downwards.
    Biased,
    /// One run in six has three times the standard deviation, on the log scale.
    HeavyTail,
}

impl TraceKind {
    pub const ALL: [TraceKind; 5] = [
        TraceKind::Steady,
        TraceKind::Doubling,
        TraceKind::NewClass,
        TraceKind::Biased,
        TraceKind::HeavyTail,
    ];

    /// Returns the name that the command line uses.
    pub fn name(self) -> &'static str {
        match self {
            TraceKind::Steady => "steady",
            TraceKind::Doubling => "doubling",
            TraceKind::NewClass => "new-class",
            TraceKind::Biased => "biased",
            TraceKind::HeavyTail => "heavy-tail",
        }
    }
}

/// Run time distribution and submission pattern of a job class.
struct Class {
    app: usize,
    group: usize,
    median_s: f64,
    /// Standard deviation of the logarithm of run times.
    sigma: f64,
    /// Factor by which estimates are off.
    estimate_bias: f64,
    /// Index of the first job that can be of this class.
    first_job: usize,
    processors: &'static [u32],
}

/// Generates a trace of `jobs` jobs. The same seed gives the same trace.
pub fn generate_trace(kind: TraceKind, jobs: usize, seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed ^ (kind as u64) << 32);
    let processor_choices: [&[u32]; 3] = [&[1], &[1, 1, 2], &[1, 2, 4]];
    let count = if kind == TraceKind::NewClass { 12 } else { 8 };
    let classes: Vec<Class> = (0..count)
        .map(|i| Class {
            app: i + 1,
            group: i % 3 + 1,
            median_s: [40.0, 60.0, 90.0, 120.0, 180.0, 240.0][i % 6],
            sigma: [0.25, 0.35, 0.45][i % 3],
            estimate_bias: match (kind, i % 2) {
                (TraceKind::Biased, 0) => 3.0,
                (TraceKind::Biased, _) => 1.0 / 3.0,
                _ => 1.0,
            },
            first_job: if kind == TraceKind::NewClass && i >= 3 {
                (i - 2) * jobs / 10
            } else {
                0
            },
            processors: processor_choices[i % 3],
        })
        .collect();
    let interarrival = Exp::new(1.0f64)
        .unwrap_or_else(|e| unreachable!("exponential distribution with rate 1: {e}"));
    let log_normal = |s: f64| {
        LogNormal::new(0.0, s)
            .unwrap_or_else(|e| unreachable!("log-normal distribution with sigma {s}: {e}"))
    };
    let estimate_noise = log_normal(0.5);
    let (mut lines, mut submitted_s, mut changed_at_s) = (String::new(), 0.0f64, None);
    for n in 0..jobs {
        submitted_s += interarrival.sample(&mut rng);
        let active: Vec<&Class> = classes.iter().filter(|c| c.first_job <= n).collect();
        // A new class accounts for a third of the submissions at first.
        let newest = active
            .iter()
            .max_by_key(|c| c.first_job)
            .filter(|c| c.first_job > 0 && n < c.first_job + jobs / 20);
        let class = match newest {
            Some(c) if rng.random_range(0..3) == 0 => c,
            _ => active[rng.random_range(0..active.len())],
        };
        let sigma = if kind == TraceKind::HeavyTail && rng.random_range(0..6) == 0 {
            3.0
        } else {
            1.0
        };
        let is_doubled = kind == TraceKind::Doubling && n >= jobs / 2 && matches!(class.app, 2 | 3);
        if is_doubled {
            changed_at_s.get_or_insert(submitted_s);
        }
        let input_factor = if is_doubled { 2.0 } else { 1.0 };
        let run_time_s =
            (class.median_s * input_factor * log_normal(class.sigma * sigma).sample(&mut rng))
                .clamp(2.0, 86_400.0);
        let expected_s = if is_doubled && class.app == 3 {
            run_time_s / input_factor
        } else {
            run_time_s
        };
        let estimate_s = (expected_s * class.estimate_bias * estimate_noise.sample(&mut rng))
            .clamp(1.0, 2_000_000.0);
        let processors = class.processors[rng.random_range(0..class.processors.len())];
        let _ = writeln!(
            lines,
            "{} {submitted_s:.3} -1 {run_time_s:.3} {processors} -1 -1 {processors} {estimate_s:.1} -1 1 {} {} {} -1 -1 -1 -1",
            n + 1,
            class.app,
            class.group,
            class.app
        );
    }
    let mut header = format!(
        "; Version: 2.2\n; Computer: none\n; Note: made by hopyoke-experiments's generator, kind {}, seed {seed}; no machine ran this\n; MaxJobs: {jobs}\n",
        kind.name()
    );
    if let Some(changed_at_s) = changed_at_s {
        let _ = writeln!(
            header,
            "; Change: app-2 {changed_at_s:.3}\n; Change: app-3 {changed_at_s:.3}"
        );
    }
    header + &lines
}
