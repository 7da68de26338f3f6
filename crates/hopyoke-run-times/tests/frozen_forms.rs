//! Compatibility of stored pages: their bytes are unchanged and yield the same predictions.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::{assert_stored, read};
use hopyoke_run_times::{Learner, Page, PageKey, Workload};
use hopyoke_types::{MachineId, Micros};

const WORKLOAD: Workload<'static> = Workload {
    class: "train",
    team: "vision",
    estimate_s: 100.0,
};

#[test]
fn stored_pages_keep_their_bytes() {
    for name in ["learned-page", "learned-page-empty"] {
        assert_stored(name, &read::<Page>(name));
    }
}

/// The page holds the models of all work, one team and one class, from eight runs of 40 to 75 s.
#[test]
fn stored_page_yields_the_same_predictions() {
    let mut learner = Learner::default();
    assert_eq!(learner.load(PageKey(0), &read("learned-page")), Ok(3));
    assert_eq!(
        learner.token_granted_at(900),
        Some(Micros(1_700_000_000_000_000))
    );
    let distribution = learner
        .estimate(WORKLOAD, Some(&MachineId::new("m-17")))
        .distribution;
    let got = [0.1, 0.5, 0.9].map(|p| distribution.quantile(p));
    let expected = [42.742_784, 58.082_027, 73.726_029];
    let is_close = got
        .iter()
        .zip(&expected)
        .all(|(g, w)| (g / w - 1.0).abs() < 1e-3);
    assert!(is_close, "got {got:?}, expected {expected:?}");
}
