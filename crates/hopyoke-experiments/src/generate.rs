//! Traces from a seeded generator, in the Standard Workload Format. Their headers say so.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::fmt::Write;

/// What a trace is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Classes stay as they are; owners are wrong by half.
    Steady,
    /// Halfway the inputs of two classes double: one's owners know, the other's do not.
    Doubling,
    /// A class that nobody has seen comes every tenth of the trace.
    NewClass,
    /// All owners' estimates are wrong by three, some up, some down.
    Biased,
    /// One run in six spreads three times as far.
    HeavyTail,
}

impl Kind {
    pub const ALL: [Kind; 5] = [
        Kind::Steady,
        Kind::Doubling,
        Kind::NewClass,
        Kind::Biased,
        Kind::HeavyTail,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Steady => "steady",
            Kind::Doubling => "doubling",
            Kind::NewClass => "new-class",
            Kind::Biased => "biased",
            Kind::HeavyTail => "heavy-tail",
        }
    }
}

struct Class {
    app: usize,
    group: usize,
    median_s: f64,
    spread: f64,
    owner: f64,
    from: usize,
    processors: &'static [u32],
}

/// A trace of `jobs` jobs; the same seed gives the same trace.
pub fn trace(kind: Kind, jobs: usize, seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed ^ (kind as u64) << 32);
    let shapes: [&[u32]; 3] = [&[1], &[1, 1, 2], &[1, 2, 4]];
    let count = if kind == Kind::NewClass { 12 } else { 8 };
    let classes: Vec<Class> = (0..count)
        .map(|i| Class {
            app: i + 1,
            group: i % 3 + 1,
            median_s: [40.0, 60.0, 90.0, 120.0, 180.0, 240.0][i % 6],
            spread: [0.25, 0.35, 0.45][i % 3],
            owner: match (kind, i % 2) {
                (Kind::Biased, 0) => 3.0,
                (Kind::Biased, _) => 1.0 / 3.0,
                _ => 1.0,
            },
            from: if kind == Kind::NewClass && i >= 3 {
                (i - 2) * jobs / 10
            } else {
                0
            },
            processors: shapes[i % 3],
        })
        .collect();
    let gap = Exp::new(1.0f64).unwrap_or_else(|e| unreachable!("a rate of 1: {e}"));
    let wide = |s: f64| LogNormal::new(0.0, s).unwrap_or_else(|e| unreachable!("spread {s}: {e}"));
    // Owners are wrong by half, often.
    let guess = wide(0.5);
    let (mut lines, mut at, mut change) = (String::new(), 0.0f64, None);
    for n in 0..jobs {
        at += gap.sample(&mut rng);
        let known: Vec<&Class> = classes.iter().filter(|c| c.from <= n).collect();
        // What is new runs often at first.
        let newest = known
            .iter()
            .max_by_key(|c| c.from)
            .filter(|c| c.from > 0 && n < c.from + jobs / 20);
        let class = match newest {
            Some(c) if rng.random_range(0..3) == 0 => c,
            _ => known[rng.random_range(0..known.len())],
        };
        let spread = if kind == Kind::HeavyTail && rng.random_range(0..6) == 0 {
            3.0
        } else {
            1.0
        };
        let grown = kind == Kind::Doubling && n >= jobs / 2 && matches!(class.app, 2 | 3);
        if grown {
            change.get_or_insert(at);
        }
        let input = if grown { 2.0 } else { 1.0 };
        let run = (class.median_s * input * wide(class.spread * spread).sample(&mut rng))
            .clamp(2.0, 86_400.0);
        let told = if grown && class.app == 3 {
            run / input
        } else {
            run
        };
        let estimate = (told * class.owner * guess.sample(&mut rng)).clamp(1.0, 2_000_000.0);
        let processors = class.processors[rng.random_range(0..class.processors.len())];
        let _ = writeln!(
            lines,
            "{} {at:.3} -1 {run:.3} {processors} -1 -1 {processors} {estimate:.1} -1 1 {} {} {} -1 -1 -1 -1",
            n + 1,
            class.app,
            class.group,
            class.app
        );
    }
    let mut head = format!(
        "; Version: 2.2\n; Computer: none\n; Note: made by hopyoke-experiments's generator, kind {}, seed {seed}; no machine ran this\n; MaxJobs: {jobs}\n",
        kind.name()
    );
    if let Some(at) = change {
        let _ = writeln!(head, "; Change: app-2 {at:.3}\n; Change: app-3 {at:.3}");
    }
    head + &lines
}
