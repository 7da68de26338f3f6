//! Small replays; the full ones are `hopyoke-experiments evidence`.

use hopyoke_experiments::figures::figures;
use hopyoke_experiments::generate::{Kind, trace};
use hopyoke_experiments::replay::{Options, replay};
use hopyoke_experiments::report::html;
use hopyoke_types::Micros;

#[test]
fn biased_owners_are_seen_through_also_when_leaders_are_killed() {
    let history =
        hopyoke_workload_trace::read(&trace(Kind::Biased, 500, 3), true).expect("a history");
    for kill_every in [None, Some(Micros::from_secs(60))] {
        let replayed = replay(
            &history,
            Options {
                seed: 3,
                kill_every,
            },
        )
        .expect("a replay");
        assert!(
            kill_every.is_none() || replayed.leaders > 5,
            "{} leaders",
            replayed.leaders
        );
        assert!(
            replayed.outcomes.len() > 480,
            "{} predictions",
            replayed.outcomes.len()
        );
        let found = figures(&replayed, &history.class_changes);
        let all = found.all();
        assert!((72.0..=92.0).contains(&all.inside), "{}", found.table());
        assert!(all.error < 0.5 * all.owner_error, "{}", found.table());
        // The page stands by itself, and names nothing outside of it.
        let page = html("a <trace> & more", &replayed, &found).expect("a page");
        assert!(page.contains("a &lt;trace&gt; &amp; more") && page.matches("<svg").count() == 4);
        assert!(!page.contains("src=") && !page.contains("href="));
    }
}

#[test]
fn a_doubling_is_found_within_ten_completions() {
    let history =
        hopyoke_workload_trace::read(&trace(Kind::Doubling, 800, 5), true).expect("a history");
    assert_eq!(history.class_changes.len(), 2);
    let replayed = replay(
        &history,
        Options {
            seed: 5,
            kill_every: None,
        },
    )
    .expect("a replay");
    let found = figures(&replayed, &history.class_changes);
    for r in &found.recoveries {
        assert!(r.completions.is_some_and(|k| k <= 10), "{}", found.table());
    }
}

#[test]
fn the_same_seed_gives_the_same_trace() {
    for kind in Kind::ALL {
        assert_eq!(trace(kind, 50, 1), trace(kind, 50, 1));
        assert_ne!(trace(kind, 50, 1), trace(kind, 50, 2));
    }
}
