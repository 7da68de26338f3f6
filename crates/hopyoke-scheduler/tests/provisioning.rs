//! What is thought of machines that boot, for fleets that boot well, late and never.

use hopyoke_scheduler::provisioning::{ProvisioningEstimator, ProvisioningState};
use proptest::prelude::*;

fn after(n: usize, from: f64, to: f64) -> ProvisioningEstimator {
    let mut boots = ProvisioningEstimator::default();
    for i in 0..n {
        boots.came_up("box", from + (to - from) * (i as f64 + 0.5) / n as f64, 1.0);
    }
    boots
}

#[test]
fn one_that_is_late_among_prompt_ones_is_replaced_and_then_given_up() {
    let mut boots = after(60, 0.6, 1.5);
    assert_eq!(
        boots.judge("box", &[0.5, 1.2], 1.0),
        [ProvisioningState::Awaited, ProvisioningState::Awaited]
    );
    assert_ne!(
        boots.judge("box", &[1.6], 1.0)[0],
        ProvisioningState::Awaited
    );
    // Some never came of late.
    for _ in 0..4 {
        boots.given_up("box", 3.0, 1.0);
    }
    assert_eq!(
        boots.judge("box", &[2.0], 1.0)[0],
        ProvisioningState::Hopeless
    );
}

#[test]
fn nothing_is_ordered_twice_when_all_are_slow() {
    // Twelve are on order when booting begins to take three times as long: all are past 1.5 together.
    let mut boots = after(60, 0.6, 1.5);
    for age in [1.2, 1.5, 1.6, 1.8, 2.2] {
        let ages = vec![age; 12];
        let now = 6.0 + age;
        assert!(
            boots
                .judge("box", &ages, now)
                .iter()
                .all(|v| *v == ProvisioningState::Awaited),
            "at {age}"
        );
    }
}

#[test]
fn slow_ones_are_waited_for_once_slow_ones_have_come() {
    let mut boots = after(80, 1.8, 4.5);
    assert_eq!(
        boots.judge("box", &[1.6, 2.5, 3.5], 1.0),
        [ProvisioningState::Awaited; 3]
    );
}

#[test]
fn a_type_never_seen_is_judged_by_what_is_believed() {
    let mut boots = ProvisioningEstimator::default();
    assert_eq!(
        boots.judge("new", &[0.9, 1.1], 1.0),
        [ProvisioningState::Awaited; 2]
    );
    assert_eq!(boots.judge("new", &[1.7], 1.0)[0], ProvisioningState::Late);
}

proptest! {
    #[test]
    fn never_before_the_nominal_time(
        seen in prop::collection::vec((0.0..9.0f64, any::<bool>()), 0..200),
        ages in prop::collection::vec(prop_oneof![0.0..9.0f64, Just(f64::NAN), Just(f64::INFINITY)], 0..50),
    ) {
        let mut boots = ProvisioningEstimator::default();
        for (age, up) in seen {
            if up { boots.came_up("box", age, 1.0) } else { boots.given_up("box", age, 1.0) }
        }
        let verdicts = boots.judge("box", &ages, 2.0);
        prop_assert_eq!(verdicts.len(), ages.len());
        for (age, v) in ages.iter().zip(verdicts) {
            prop_assert!(*age >= 1.0 || v == ProvisioningState::Awaited || age.is_nan());
        }
    }
}
