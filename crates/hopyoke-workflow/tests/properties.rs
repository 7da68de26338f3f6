//! Property tests that compare runs of random DAGs under random faults with a simple reference: every step that can be
//! done is done, once and in order, and no other step is.

#[expect(dead_code, reason = "the scenario tests use more of the model")]
mod model;

use hopyoke_protocol::user::JobSpec;
use hopyoke_stored_form::json_len;
use hopyoke_types::{JobId, Micros};
use hopyoke_workflow::{Head, OnError, Plan, PlanPage, PlanStep, RunId, RunState, StepNo};
use model::{FAULTS, JobBehavior, Model};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
struct Graph {
    /// For each step, its dependencies, whether it has a job, and whether that job fails.
    steps: Vec<(Vec<usize>, bool, bool)>,
    continue_on_error: bool,
    cancel: Option<u8>,
    faults: Vec<(u64, usize)>,
}

fn graphs() -> impl Strategy<Value = Graph> {
    let step = (
        prop::collection::vec(any::<prop::sample::Index>(), 0..4),
        0u8..10,
        0u8..20,
    );
    let steps = prop::collection::vec(step, 1..24);
    let faults = prop::collection::vec((0u64..90, 0..FAULTS.len()), 0..5);
    (
        steps,
        any::<bool>(),
        prop::option::weighted(0.25, 1u8..15),
        faults,
    )
        .prop_map(|(steps, continue_on_error, cancel, faults)| {
            let steps = (0..)
                .zip(steps)
                .map(|(i, (after, has_job, fails))| {
                    let mut after: Vec<usize> = if i == 0 {
                        Vec::new()
                    } else {
                        after.iter().map(|x| x.index(i)).collect()
                    };
                    after.sort_unstable();
                    (after, has_job > 1, fails == 0)
                })
                .collect();
            Graph {
                steps,
                continue_on_error,
                cancel,
                faults,
            }
        })
}

/// Returns the steps that can be done, computed without the engine.
fn reachable(g: &Graph) -> BTreeSet<usize> {
    let mut done = BTreeSet::new();
    for (i, (after, has_job, fails)) in g.steps.iter().enumerate() {
        if after.iter().all(|d| done.contains(d)) && !(*has_job && *fails) {
            done.insert(i);
        }
    }
    done
}

fn shape() -> JobSpec {
    JobSpec::with_defaults(JobId::new("req-0"), "convert", "crew", "img")
}

fn plan_of(g: &Graph) -> Plan {
    let steps = g
        .steps
        .iter()
        .enumerate()
        .map(|(i, (after, has_job, _))| PlanStep {
            path: format!("s{i}"),
            dependencies: after.iter().map(|d| StepNo(*d as u32)).collect(),
            job_template: has_job.then_some(0),
            tasks: 1,
        });
    Plan {
        job_templates: vec![shape()],
        steps: steps.collect(),
        outputs: "{}".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn runs_end_as_the_reference(g in graphs(), seed in 0u64..1000) {
        let run = RunId::new(7).expect("in range");
        let mut m = Model::new(seed, 3);
        m.faults = g.faults.iter().map(|(n, f)| (*n, FAULTS[*f])).collect();
        let mut behaviors = BTreeMap::new();
        for (i, (_, _, fails)) in g.steps.iter().enumerate() {
            let t = Micros::from_millis(300 + 97 * i as u64 % 2000);
            behaviors.insert(StepNo(i as u32), if *fails { JobBehavior::Failed(t) } else { JobBehavior::Done(t) });
        }
        m.submit(run, "crew", plan_of(&g), behaviors, g.continue_on_error);
        if let Some(t) = g.cancel {
            m.cancel_at(run, Micros::from_secs(u64::from(t)));
        }
        m.run_until(Micros::from_secs(400));
        prop_assert!(m.violations.is_empty(), "{:?}", m.violations);
        let r = &m.runs[&run];
        let (state, _) = r.ended.ok_or_else(|| TestCaseError::fail("the run did not end"))?;
        let reachable_steps = reachable(&g);
        let steps_with_jobs: BTreeSet<StepNo> =
            reachable_steps.iter().filter(|i| g.steps[**i].1).map(|i| StepNo(*i as u32)).collect();
        // A failing step counts only if its dependencies can be done; otherwise its job is never submitted.
        let fails = (0..g.steps.len()).any(|i| {
            let (after, has_job, fails) = &g.steps[i];
            *has_job && *fails && after.iter().all(|d| reachable_steps.contains(d))
        });
        if r.cancelled.is_some() {
            prop_assert_eq!(state, RunState::Cancelled);
            prop_assert!(r.done.is_subset(&steps_with_jobs));
        } else if fails {
            prop_assert_eq!(state, RunState::Failed);
            if g.continue_on_error {
                prop_assert_eq!(&r.done, &steps_with_jobs);
            } else {
                prop_assert!(r.done.is_subset(&steps_with_jobs));
            }
        } else {
            prop_assert_eq!(state, RunState::Done);
            prop_assert_eq!(&r.done, &steps_with_jobs);
        }
    }

    /// Guards against a head that outgrows the store's largest value once its run is cancelled or fails.
    #[test]
    fn head_fits_in_every_state(
        names in prop::collection::vec(".{0,100}", 4),
        reason in ".{0,2000}",
        state in 0usize..6,
        numbers in any::<(u64, u32, u64)>(),
    ) {
        let plan = Plan::default();
        let accepted = Head {
            tags: BTreeMap::from([(names[2].clone(), names[3].clone())]),
            ..Head::new(&names[0], "crew", &names[1], &plan, 1, 1_765_000_000_000_000)
        };
        let state = [RunState::Running, RunState::Failing, RunState::Cancelling, RunState::Done,
            RunState::Failed, RunState::Cancelled][state];
        let later = Head {
            ended_us: numbers.0,
            done: numbers.1,
            resumes: Some(RunId::wrapping_new(numbers.2)),
            plan_source: Some(RunId::wrapping_new(numbers.2)),
            ..accepted.in_state(state, &reason)
        };
        prop_assert!(reason.starts_with(&later.reason));
        prop_assert!(later.reason.len() >= reason.len().min(60));
        prop_assert!(json_len(&later) <= accepted.max_len());
    }

    #[test]
    fn plans_are_restored_from_pages(g in graphs(), bytes in 1024usize..8192, outputs in ".{0,3000}") {
        let plan = Plan { outputs, ..plan_of(&g) };
        let pages = plan.pages(bytes).map_err(|e| TestCaseError::fail(e.to_string()))?;
        for p in &pages {
            let size = serde_json::to_string(p).map_or(0, |t| t.len());
            prop_assert!(size <= bytes, "page has {} bytes", size);
        }
        let text: Vec<String> = pages.iter().map(|p| serde_json::to_string(p).unwrap_or_default()).collect();
        let read = text.iter().map(|t| serde_json::from_str::<PlanPage>(t).expect("valid page"));
        let restored = Plan::from_pages(read);
        prop_assert_eq!(restored.digest(), plan.digest());
        prop_assert_eq!(restored, plan);
    }
}

#[test]
fn plan_errors_name_the_fault() {
    let plan = |steps: Vec<PlanStep>| Plan {
        job_templates: vec![shape()],
        steps,
        outputs: String::new(),
    };
    let step = |path: &str, after: Vec<u32>, shape: Option<u32>| PlanStep {
        path: path.into(),
        dependencies: after.into_iter().map(StepNo).collect(),
        job_template: shape,
        tasks: 1,
    };
    let error_of = |p: Plan, team: &str| p.check(team).expect_err("invalid plan").to_string();
    let cycle = plan(vec![
        step("a", vec![1], Some(0)),
        step("b", vec![0], Some(0)),
    ]);
    assert!(error_of(cycle, "crew").contains("circle: a"));
    assert!(error_of(plan(vec![step("a", vec![5], Some(0))]), "crew").contains("waits for step 5"));
    assert!(error_of(plan(vec![step("a", vec![], Some(3))]), "crew").contains("shape 3"));
    assert!(error_of(plan(vec![step("a", vec![], Some(0))]), "other").contains("its team is crew"));
    assert!(error_of(plan(vec![step("", vec![], Some(0))]), "crew").contains("name"));
    let mut none = plan(vec![step("a", vec![], Some(0))]);
    none.steps[0].tasks = 0;
    assert!(error_of(none, "crew").contains("oars"));
    assert_eq!(OnError::default(), OnError::Stop);
}
