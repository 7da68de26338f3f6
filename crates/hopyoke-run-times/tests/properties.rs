//! Property tests: predictions are valid distributions for any observations and any loaded page.

use hopyoke_run_times::{Learner, Page, PageKey, RunOutcome, Workload};
use hopyoke_types::{Attempt, JobId, MachineId, Micros, TaskId};
use proptest::prelude::*;

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(11);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed,
        ..ProptestConfig::default()
    }
}

fn check_predictions(learner: &Learner, estimate_s: f64) -> Result<(), TestCaseError> {
    for class in ["a", "never seen"] {
        let workload = Workload {
            class,
            team: "t",
            estimate_s,
        };
        let d = learner
            .estimate(workload, Some(&MachineId::new("m-1")))
            .distribution;
        let q: Vec<f64> = [0.0, 0.1, 0.5, 0.9, 1.0].map(|p| d.quantile(p)).to_vec();
        prop_assert!(q.iter().all(|x| x.is_finite() && *x > 0.0), "{q:?}");
        prop_assert!(q.windows(2).all(|w| w[0] <= w[1]), "{q:?}");
        for elapsed_s in [0.0, 1.0, 1e3, 1e9] {
            let remaining = (
                d.remaining_quantile(elapsed_s, 0.1),
                d.remaining_quantile(elapsed_s, 0.9),
            );
            prop_assert!(
                remaining.0.is_finite()
                    && remaining.1.is_finite()
                    && 0.0 <= remaining.0
                    && remaining.0 <= remaining.1 + 1e-3
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against invalid estimates and run times, in any order, corrupting the predictions.
    #[test]
    fn invalid_observations_keep_predictions_valid(
        runs in prop::collection::vec((0u64..4_000_000_000_000, 0usize..5, 0u8..4, any::<bool>()), 1..60),
        queried_estimate in prop_oneof![Just(f64::NAN), Just(-1.0), Just(f64::INFINITY), 0.0..1e6f64],
    ) {
        let mut learner = Learner::default();
        let estimates = [f64::NAN, -5.0, 0.0, f64::INFINITY, 60.0];
        for (i, (run_time_us, estimate, end, start_known)) in runs.into_iter().enumerate() {
            let key = (TaskId { job: JobId::new("req-1"), index: i as u32 }, Attempt(1));
            let workload = Workload { class: "a", team: "t", estimate_s: estimates[estimate] };
            let started_at = Micros::from_secs(i as u64);
            learner.record_start(key.clone(), workload, vec![MachineId::new("m-1")], started_at, start_known.then_some(Micros::ZERO));
            let end = [RunOutcome::Completed, RunOutcome::Completed, RunOutcome::Censored, RunOutcome::Discarded][usize::from(end)];
            learner.tick(started_at + Micros(run_time_us / 2));
            learner.record_end(&key, end, started_at + Micros(run_time_us));
        }
        check_predictions(&learner, queried_estimate)?;
    }

    /// Guards against page contents corrupting the predictions, whether the page is loaded or rejected.
    #[test]
    fn any_page_keeps_predictions_valid(
        values in prop::collection::vec((any::<i32>(), any::<u32>()), 0..40),
        loss in any::<u32>(),
        parameters in any::<(u32, u32, u32, u32)>(),
        cusums in any::<[(i32, i32, u16); 2]>(),
        version in 0u32..3,
    ) {
        let json = serde_json::json!({
            "v": version,
            "e": [["c", "a", {"v": {"q": values, "l": loss, "c": cusums}, "r": {"q": [], "l": 0}, "w": parameters}]],
            "g": [[1, 2]],
        });
        let Ok(page) = serde_json::from_value::<Page>(json) else { return Ok(()) };
        let mut learner = Learner::default();
        let loaded = learner.load(PageKey(0), &page);
        prop_assert!(version == 1 || loaded.is_err());
        check_predictions(&learner, 50.0)?;
    }
}

#[test]
fn pages_of_other_versions_and_truncated_pages_are_rejected() {
    let newer: Page =
        serde_json::from_str(r#"{"v":2,"x":[1,2]}"#).expect("unknown fields are ignored");
    let mut learner = Learner::default();
    assert!(
        learner
            .load(PageKey(0), &newer)
            .expect_err("newer version is rejected")
            .to_string()
            .contains("version 2")
    );
    assert!(serde_json::from_str::<Page>(r#"{"v":1,"e":[["c","a""#).is_err());
    assert!(
        PageKey::parse("x").is_none()
            && PageKey::parse("24").is_none()
            && PageKey::parse("23").is_some()
    );
}

/// Guards against dropping the latest token grants instead of the oldest once the limit is reached.
#[test]
fn latest_grants_survive_many_failovers() {
    let mut pages: Vec<(PageKey, Page)> = Vec::new();
    for token in 1..200u64 {
        let mut learner = Learner::default();
        learner.record_token_grant(token, Micros::from_secs(token));
        for (key, page) in &pages {
            learner.load(*key, page).expect("valid page");
        }
        for earlier in token.saturating_sub(20).max(1)..=token {
            assert_eq!(
                learner.token_granted_at(earlier),
                Some(Micros::from_secs(earlier)),
                "token {earlier} after the grant of {token}"
            );
        }
        pages.clear();
        while let Some((key, page)) = learner.next_page_to_write(Micros::from_secs(1), Micros::ZERO)
        {
            learner.page_write_finished(key, true);
            pages.push((key, page));
        }
    }
}
