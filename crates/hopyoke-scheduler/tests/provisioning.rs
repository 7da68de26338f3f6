//! Assessment of machines that are being provisioned, for fleets that come up in time, late and never.

use hopyoke_scheduler::provisioning::{ProvisioningEstimator, ProvisioningState};
use proptest::prelude::*;

fn learned_from(n: usize, from: f64, to: f64) -> ProvisioningEstimator {
    let mut estimator = ProvisioningEstimator::default();
    for i in 0..n {
        estimator.record_provisioned("box", from + (to - from) * (i as f64 + 0.5) / n as f64, 1.0);
    }
    estimator
}

#[test]
fn an_overdue_machine_among_prompt_ones_is_replaced_and_then_abandoned() {
    let mut estimator = learned_from(60, 0.6, 1.5);
    assert_eq!(
        estimator.assess("box", &[0.5, 1.2], 1.0),
        [ProvisioningState::Awaited, ProvisioningState::Awaited]
    );
    assert_ne!(
        estimator.assess("box", &[1.6], 1.0)[0],
        ProvisioningState::Awaited
    );
    // Some did not come up lately.
    for _ in 0..4 {
        estimator.record_abandoned("box", 3.0, 1.0);
    }
    assert_eq!(
        estimator.assess("box", &[2.0], 1.0)[0],
        ProvisioningState::Failed
    );
}

#[test]
fn nothing_is_requested_twice_when_all_are_slow() {
    // Twelve are requested when provisioning begins to take three times as long: all are past 1.5 together.
    let mut estimator = learned_from(60, 0.6, 1.5);
    for age in [1.2, 1.5, 1.6, 1.8, 2.2] {
        let ages = vec![age; 12];
        let now = 6.0 + age;
        assert!(
            estimator
                .assess("box", &ages, now)
                .iter()
                .all(|v| *v == ProvisioningState::Awaited),
            "at {age}"
        );
    }
}

#[test]
fn slow_machines_are_awaited_once_slow_ones_have_come_up() {
    let mut estimator = learned_from(80, 1.8, 4.5);
    assert_eq!(
        estimator.assess("box", &[1.6, 2.5, 3.5], 1.0),
        [ProvisioningState::Awaited; 3]
    );
}

#[test]
fn an_unseen_type_is_assessed_by_the_prior() {
    let mut estimator = ProvisioningEstimator::default();
    assert_eq!(
        estimator.assess("new", &[0.9, 1.1], 1.0),
        [ProvisioningState::Awaited; 2]
    );
    assert_eq!(
        estimator.assess("new", &[1.7], 1.0)[0],
        ProvisioningState::Overdue
    );
}

proptest! {
    #[test]
    fn no_machine_is_overdue_before_the_nominal_time(
        seen in prop::collection::vec((0.0..9.0f64, any::<bool>()), 0..200),
        ages in prop::collection::vec(prop_oneof![0.0..9.0f64, Just(f64::NAN), Just(f64::INFINITY)], 0..50),
    ) {
        let mut estimator = ProvisioningEstimator::default();
        for (age, up) in seen {
            if up { estimator.record_provisioned("box", age, 1.0) } else { estimator.record_abandoned("box", age, 1.0) }
        }
        let states = estimator.assess("box", &ages, 2.0);
        prop_assert_eq!(states.len(), ages.len());
        for (age, v) in ages.iter().zip(states) {
            prop_assert!(*age >= 1.0 || v == ProvisioningState::Awaited || age.is_nan());
        }
    }
}
