//! Tests of the assessment of machines that come up in time, late, or never.

use hopyoke_scheduler::provisioning::{ProvisioningEstimator, ProvisioningState};
use proptest::prelude::*;

fn estimator_with_uniform_boot_times(n: usize, from: f64, to: f64) -> ProvisioningEstimator {
    let mut estimator = ProvisioningEstimator::default();
    for i in 0..n {
        estimator.record_provisioned("box", from + (to - from) * (i as f64 + 0.5) / n as f64, 1.0);
    }
    estimator
}

#[test]
fn overdue_machine_is_replaced_and_then_abandoned() {
    let mut estimator = estimator_with_uniform_boot_times(60, 0.6, 1.5);
    assert_eq!(
        estimator.assess("box", &[0.5, 1.2], 1.0),
        [ProvisioningState::Awaited, ProvisioningState::Awaited]
    );
    assert_ne!(
        estimator.assess("box", &[1.6], 1.0)[0],
        ProvisioningState::Awaited
    );
    // Some machines recently failed to come up.
    for _ in 0..4 {
        estimator.record_abandoned("box", 3.0, 1.0);
    }
    assert_eq!(
        estimator.assess("box", &[2.0], 1.0)[0],
        ProvisioningState::Failed
    );
}

#[test]
fn no_replacement_is_requested_while_all_machines_are_slow() {
    // Provisioning slows down threefold, so that twelve concurrent requests all pass an age of 1.5.
    let mut estimator = estimator_with_uniform_boot_times(60, 0.6, 1.5);
    for age in [1.2, 1.5, 1.6, 1.8, 2.2] {
        let ages = vec![age; 12];
        let now = 6.0 + age;
        assert!(
            estimator
                .assess("box", &ages, now)
                .iter()
                .all(|state| *state == ProvisioningState::Awaited),
            "not all machines are awaited at age {age}"
        );
    }
}

#[test]
fn slow_machine_is_awaited_where_others_were_slow() {
    let mut estimator = estimator_with_uniform_boot_times(80, 1.8, 4.5);
    assert_eq!(
        estimator.assess("box", &[1.6, 2.5, 3.5], 1.0),
        [ProvisioningState::Awaited; 3]
    );
}

#[test]
fn type_without_observations_is_assessed_by_the_prior() {
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
    fn no_machine_is_overdue_before_the_nominal_boot_time(
        observed in prop::collection::vec((0.0..9.0f64, any::<bool>()), 0..200),
        ages in prop::collection::vec(prop_oneof![0.0..9.0f64, Just(f64::NAN), Just(f64::INFINITY)], 0..50),
    ) {
        let mut estimator = ProvisioningEstimator::default();
        for (age, is_up) in observed {
            if is_up { estimator.record_provisioned("box", age, 1.0) } else { estimator.record_abandoned("box", age, 1.0) }
        }
        let states = estimator.assess("box", &ages, 2.0);
        prop_assert_eq!(states.len(), ages.len());
        for (age, state) in ages.iter().zip(states) {
            prop_assert!(*age >= 1.0 || state == ProvisioningState::Awaited || age.is_nan());
        }
    }
}
