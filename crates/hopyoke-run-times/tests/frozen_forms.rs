//! Pages of learned run times keep their bytes, and mean what they meant.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::{assert_stored, read};
use hopyoke_run_times::{Learner, Page, PageKey, Workload};
use hopyoke_types::{MachineId, Micros};

const WORK: Workload<'static> = Workload {
    class: "train",
    team: "vision",
    estimate_s: 100.0,
};

#[test]
fn learned_pages() {
    for name in ["learned-page", "learned-page-empty"] {
        assert_stored(name, &read::<Page>(name));
    }
}

/// The page holds all runs, one team and one class, of eight runs between 40 and 75 s.
#[test]
fn a_learned_page_is_taken_up() {
    let mut learner = Learner::default();
    assert_eq!(learner.load(PageKey(0), &read("learned-page")), Ok(3));
    assert_eq!(
        learner.token_granted_at(900),
        Some(Micros(1_700_000_000_000_000))
    );
    let known = learner
        .estimate(WORK, Some(&MachineId::new("m-17")))
        .distribution;
    let got = [0.1, 0.5, 0.9].map(|p| known.quantile(p));
    let want = [42.742_784, 58.082_027, 73.726_029];
    let near = got
        .iter()
        .zip(&want)
        .all(|(g, w)| (g / w - 1.0).abs() < 1e-3);
    assert!(near, "{got:?}, and it was {want:?}");
}
