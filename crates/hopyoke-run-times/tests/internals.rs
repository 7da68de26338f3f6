//! Tests of private modules, whose sources are compiled into this test.

#![expect(
    dead_code,
    unreachable_pub,
    reason = "only a part of these private modules is tested"
)]

#[path = "../src/distribution.rs"]
mod distribution;
#[path = "../src/model.rs"]
mod model;
#[path = "../src/sketch.rs"]
mod sketch;
#[path = "../src/view.rs"]
mod view;

use distribution::{GRID, MEDIAN};
use model::Model;
use sketch::Sketch;
use tdigest::TDigest;

#[test]
fn predict_median_matches_predict() {
    let (mut class, mut team) = (Model::default(), Model::default());
    for i in 0..30 {
        class.record_completed(4.0 + (i % 7) as f32 * 0.1, Some(4.2), 40.0);
        team.record_completed(3.0 + (i % 5) as f32 * 0.3, (i % 3 > 0).then_some(3.5), 40.0);
    }
    for models in [
        [Some(&class), Some(&team), None],
        [None, Some(&team), None],
        [None, None, None],
    ] {
        for estimate in [None, Some(4.0)] {
            let full = Model::predict(&models, estimate).0[MEDIAN];
            let median = Model::predict_median(&models, estimate);
            assert!(
                (full - median).abs() < 1e-4,
                "predict {full}, predict_median {median}"
            );
        }
    }
}

/// Merges two sketches.
fn merged(a: &Sketch, b: &Sketch) -> Sketch {
    let mut sketch = Sketch::default();
    sketch.digest = TDigest::merge_digests(vec![a.digest.clone(), b.digest.clone()]);
    sketch
}

#[test]
fn merged_sketches_match_a_single_sketch() {
    let (mut whole, mut even, mut odd) = (Sketch::default(), Sketch::default(), Sketch::default());
    for i in 0..2000 {
        let x = ((i * 7919) % 2000) as f32 / 400.0;
        whole.add(x, 1e9);
        if i % 2 == 0 {
            even.add(x, 1e9)
        } else {
            odd.add(x, 1e9)
        }
    }
    [&mut whole, &mut even, &mut odd]
        .into_iter()
        .for_each(Sketch::merge_pending);
    let (a, b) = (
        whole.grid().expect("sketch has values"),
        merged(&even, &odd).grid().expect("sketch has values"),
    );
    for (k, (a, b)) in a.iter().zip(b).enumerate() {
        assert!(
            (a - b).abs() < 0.15 && (a - GRID[k] * 5.0).abs() < 0.15,
            "quantile {k}: single {a}, merged {b}"
        );
    }
}
