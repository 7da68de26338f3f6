//! Benchmarks of recording a run and of predicting one: `cargo bench -p hopyoke-run-times`.

use criterion::{Criterion, criterion_group, criterion_main};
use hopyoke_run_times::{Learner, Limits, RunKey, RunOutcome, Workload};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::hint::black_box;

fn filled_learner(classes: usize, runs: u64) -> (Learner, Vec<String>, Vec<MachineId>) {
    let mut learner = Learner::new(Limits {
        classes: 2000,
        decay_runs: 40.0,
    });
    let names: Vec<String> = (0..classes).map(|i| format!("class-{i:05}")).collect();
    let machines: Vec<MachineId> = (0..200)
        .map(|i| MachineId::new(&format!("m-{i:06}")))
        .collect();
    let mut rng = StdRng::seed_from_u64(1);
    for i in 0..runs {
        complete_run(
            &mut learner,
            i,
            &names[(i % classes as u64) as usize],
            &machines,
            &mut rng,
        );
    }
    (learner, names, machines)
}

fn complete_run(
    learner: &mut Learner,
    i: u64,
    class: &str,
    machines: &[MachineId],
    rng: &mut StdRng,
) {
    let (key, at) = start_run(learner, i, class, machines, rng);
    learner.record_end(&key, RunOutcome::Completed, at);
}

fn start_run(
    learner: &mut Learner,
    i: u64,
    class: &str,
    machines: &[MachineId],
    rng: &mut StdRng,
) -> (RunKey, Micros) {
    let key = (
        TaskId {
            job: JobId::new("req-1"),
            index: i as u32,
        },
        Attempt(i),
    );
    let workload = Workload {
        class,
        team: "team",
        estimate_s: 100.0,
    };
    let machine = machines[rng.random_range(0..machines.len())].clone();
    let started_at = Micros::from_secs(i / 100 * 100 + 1);
    learner.record_start(
        key.clone(),
        workload,
        vec![machine],
        started_at,
        Some(Micros::ZERO),
    );
    learner.tick(started_at);
    let run_time = Micros::from_secs_f64(100.0 * rng.random_range(0.5..2.0));
    (key, started_at + run_time)
}

fn bench(c: &mut Criterion) {
    let (mut learner, names, machines) = filled_learner(100, 20_000);
    let mut rng = StdRng::seed_from_u64(2);
    let mut i = 1_000_000;
    c.bench_function("record start and end", |b| {
        b.iter(|| {
            i += 1;
            complete_run(
                &mut learner,
                i,
                &names[(i % 100) as usize],
                &machines,
                &mut rng,
            );
        });
    });
    c.bench_function("record end", |b| {
        b.iter_custom(|n| {
            let mut elapsed = std::time::Duration::ZERO;
            for batch in 0..n.div_ceil(100) {
                let runs: Vec<_> = (0..(n - batch * 100).min(100))
                    .map(|_| {
                        i += 1;
                        start_run(
                            &mut learner,
                            i,
                            &names[(i % 100) as usize],
                            &machines,
                            &mut rng,
                        )
                    })
                    .collect();
                let started = std::time::Instant::now();
                for (key, at) in &runs {
                    black_box(learner.record_end(key, RunOutcome::Completed, *at));
                }
                elapsed += started.elapsed();
            }
            elapsed
        });
    });
    c.bench_function("estimate on a machine", |b| {
        b.iter(|| {
            i += 1;
            let workload = Workload {
                class: &names[(i % 100) as usize],
                team: "team",
                estimate_s: 120.0,
            };
            let d = learner
                .estimate(workload, Some(&machines[(i % 200) as usize]))
                .distribution;
            black_box(d.quantile(0.9))
        });
    });
    bench_remaining(c, &learner, &names[0]);
}

fn bench_remaining(c: &mut Criterion, learner: &Learner, class: &str) {
    let workload = Workload {
        class,
        team: "team",
        estimate_s: 120.0,
    };
    let d = learner.estimate(workload, None).distribution;
    c.bench_function("remaining time", |b| {
        b.iter(|| black_box(d.remaining_quantile(black_box(60.0), 0.5)))
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
