//! Tests that tasks with a choice of machine types avoid types that others depend on.

use hopyoke_scheduler::placement::sole_choice::SoleChoiceTypes;

#[test]
fn sole_choice_type_is_avoided() {
    let mut types = SoleChoiceTypes::new(3);
    types.add([0, 1].into_iter());
    types.add([].into_iter());
    types.add([7].into_iter());
    assert!(!types.any());
    types.add([2].into_iter());
    assert!(types.any() && types.should_avoid(2, 2) && !types.should_avoid(0, 2));
}

#[test]
fn task_with_single_type_avoids_nothing() {
    let mut types = SoleChoiceTypes::new(2);
    types.add([1].into_iter());
    assert!(!types.should_avoid(1, 1));
    assert!(!types.should_avoid(9, 2));
}
