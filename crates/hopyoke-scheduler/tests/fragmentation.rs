//! What has a choice gives way to what has none.

use hopyoke_scheduler::placement::fragmentation::Fragmentation;

#[test]
fn only_what_has_no_alternative_makes_a_niche() {
    let mut n = Fragmentation::none(3);
    n.add([0, 1].into_iter());
    n.add([].into_iter());
    n.add([7].into_iter());
    assert!(!n.any());
    n.add([2].into_iter());
    assert!(n.any() && n.avoids(2, 2) && !n.avoids(0, 2));
}

#[test]
fn who_has_no_choice_either_does_not_give_way() {
    let mut n = Fragmentation::none(2);
    n.add([1].into_iter());
    assert!(!n.avoids(1, 1));
    assert!(!n.avoids(9, 2));
}
