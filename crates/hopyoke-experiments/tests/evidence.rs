//! Replays of small generated traces; `hopyoke-experiments evidence` replays large ones.

use hopyoke_experiments::figures::measure_accuracy;
use hopyoke_experiments::generate::{TraceKind, generate_trace};
use hopyoke_experiments::replay::{ReplayOptions, replay};
use hopyoke_experiments::report::render_html;
use hopyoke_types::Micros;

#[test]
fn biased_estimates_are_corrected_across_failovers() {
    let history = hopyoke_workload_trace::read(&generate_trace(TraceKind::Biased, 500, 3), true)
        .expect("a history");
    for kill_every in [None, Some(Micros::from_secs(60))] {
        let result = replay(
            &history,
            ReplayOptions {
                seed: 3,
                kill_every,
            },
        )
        .expect("a replay");
        assert!(
            kill_every.is_none() || result.elected_leaders > 5,
            "{} leaders",
            result.elected_leaders
        );
        assert!(
            result.outcomes.len() > 480,
            "{} predictions",
            result.outcomes.len()
        );
        let report = measure_accuracy(&result, &history.class_changes);
        let all = report.all();
        assert!((72.0..=92.0).contains(&all.in_band), "{}", report.table());
        assert!(
            all.median_error < 0.5 * all.estimate_error,
            "{}",
            report.table()
        );
        // The page is self-contained: it refers to no external resource.
        let page = render_html("a <trace> & more", &result, &report).expect("a page");
        assert!(page.contains("a &lt;trace&gt; &amp; more") && page.matches("<svg").count() == 4);
        assert!(!page.contains("src=") && !page.contains("href="));
    }
}

#[test]
fn predictions_recover_from_doubled_run_times_within_ten_completions() {
    let history = hopyoke_workload_trace::read(&generate_trace(TraceKind::Doubling, 800, 5), true)
        .expect("a history");
    assert_eq!(history.class_changes.len(), 2);
    let result = replay(
        &history,
        ReplayOptions {
            seed: 5,
            kill_every: None,
        },
    )
    .expect("a replay");
    let report = measure_accuracy(&result, &history.class_changes);
    for r in &report.recoveries {
        assert!(r.completions.is_some_and(|k| k <= 10), "{}", report.table());
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    for kind in TraceKind::ALL {
        assert_eq!(generate_trace(kind, 50, 1), generate_trace(kind, 50, 1));
        assert_ne!(generate_trace(kind, 50, 1), generate_trace(kind, 50, 2));
    }
}
