//! Benchmarks of the engine's cost per step, over the whole life of a run. Each action succeeds at once.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hopyoke_protocol::user::JobSpec;
use hopyoke_types::{JobId, Micros, ModRevision};
use hopyoke_workflow::{
    Action, Engine, Head, JobEnd, JobOutcome, Limits, Plan, PlanStep, RunId, RunRecords, StepNo,
    WriteOutcome,
};
use std::collections::BTreeMap;

fn plan(steps: u32) -> Plan {
    let shape = JobSpec::with_defaults(JobId::new("req-0"), "convert", "crew", "img");
    // Parallel chains of ten steps.
    let after = |i: u32| {
        if i.is_multiple_of(10) {
            Vec::new()
        } else {
            vec![StepNo(i - 1)]
        }
    };
    let steps = (0..steps).map(|i| PlanStep {
        path: format!("chain{}/s{}", i / 10, i % 10),
        dependencies: after(i),
        job_template: Some(0),
        tasks: 1,
    });
    Plan {
        job_templates: vec![shape],
        steps: steps.collect(),
        outputs: "{}".into(),
    }
}

/// Executes one run to its end and returns the number of entities visited.
fn execute_run(plan: &Plan) -> u64 {
    let run = RunId::new(1).expect("in range");
    let head = Head::new("bench", "crew", "", plan, 1, 0);
    let limits = Limits {
        max_writes_per_s: 1e9,
        max_reads_per_s: 1e9,
        max_run_steps_in_flight: 1000,
        max_team_steps_in_flight: 1000,
        ..Limits::default()
    };
    let mut now = Micros::ZERO;
    let mut e = Engine::new(limits, "node", vec!["node".into()], 16, 1, now);
    e.head_changed(run, head.clone(), ModRevision(1), now);
    let mut pages = BTreeMap::new();
    let mut submitted = Vec::new();
    while e.runs().next().is_some() {
        now += Micros::from_millis(50);
        e.tick(now);
        while let Some(action) = e.next_action() {
            complete_action(&mut e, &action, (&head, plan), now);
            match &action {
                Action::Submit { spec, .. } => submitted.push(spec.id.clone()),
                Action::Write { pages: p, .. } => pages.extend(p.iter().map(|p| (p.0, now))),
                _ => {}
            }
        }
        for job in submitted.drain(..) {
            e.job_ended(&job, JobEnd::Done, now);
        }
    }
    e.entities_visited()
}

/// Reports the success of an action.
fn complete_action(e: &mut Engine, action: &Action, (head, plan): (&Head, &Plan), now: Micros) {
    match action {
        Action::Claim { run } => e.claim_finished(*run, Ok(ModRevision(2)), now),
        Action::Read { run, epoch, .. } => {
            let records = RunRecords {
                head: head.clone(),
                head_revision: ModRevision(1),
                claim_revision: Some(ModRevision(2)),
                plan: Some(plan.clone()),
                pages: Vec::new(),
                unfinished_jobs: Vec::new(),
                ended_jobs: Vec::new(),
            };
            e.read_finished(*run, *epoch, Some(records), now);
        }
        Action::Submit {
            run, epoch, step, ..
        } => e.submission_finished(*run, *epoch, *step, JobOutcome::Accepted, now),
        Action::Write { run, epoch, .. } => {
            let outcome = WriteOutcome::Applied(ModRevision(3 + now.0));
            e.write_finished(*run, *epoch, action, outcome, now);
        }
        Action::Cancel { .. } => unreachable!("nothing is cancelled"),
    }
}

fn engine(c: &mut Criterion) {
    for steps in [100u32, 1_000, 10_000] {
        let plan = plan(steps);
        c.bench_function(&format!("execute {steps} steps"), |b| {
            b.iter_batched(|| plan.clone(), |p| execute_run(&p), BatchSize::LargeInput)
        });
    }
    let plan = plan(1_000);
    let pages = plan.pages(8192).expect("small steps");
    let bytes: usize = pages
        .iter()
        .map(|p| serde_json::to_string(p).map_or(0, |t| t.len()))
        .sum();
    println!(
        "plan: {} pages, {} bytes per step",
        pages.len(),
        bytes / 1000
    );
    c.bench_function("pages of 1000 steps", |b| b.iter(|| plan.pages(8192)));
}

criterion_group! { name = benches; config = Criterion::default().sample_size(10); targets = engine }
criterion_main!(benches);
