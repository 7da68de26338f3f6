//! Work with a choice of types leaves a type to work that depends on it.

use hopyoke_scheduler::placement::sole_choice::SoleChoiceTypes;

#[test]
fn a_type_without_alternative_is_avoided() {
    let mut n = SoleChoiceTypes::new(3);
    n.add([0, 1].into_iter());
    n.add([].into_iter());
    n.add([7].into_iter());
    assert!(!n.any());
    n.add([2].into_iter());
    assert!(n.any() && n.should_avoid(2, 2) && !n.should_avoid(0, 2));
}

#[test]
fn work_with_a_single_type_avoids_nothing() {
    let mut n = SoleChoiceTypes::new(2);
    n.add([1].into_iter());
    assert!(!n.should_avoid(1, 1));
    assert!(!n.should_avoid(9, 2));
}
