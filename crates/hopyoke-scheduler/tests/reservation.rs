//! Tests that resources are reserved for a bounded time only.

use hopyoke_scheduler::placement::reservation::Reservations;
use hopyoke_types::Micros;
use proptest::prelude::*;

proptest! {
    /// Tests that the first cycle a minute or more after the last one without reservations has none either, and
    /// no earlier one. Guards against jobs that wait next to free resources, and against reservations too short
    /// for resources to accumulate.
    #[test]
    fn cycles_without_reservations_are_a_minute_apart(gaps in prop::collection::vec(1u64..5_000, 1..400)) {
        let mut reservations = Reservations::default();
        let mut now = Micros::from_secs(1_000);
        let mut suspended_at = vec![now];
        prop_assert!(!reservations.should_reserve(now));
        for gap in &gaps {
            now += Micros::from_millis(*gap);
            let last = suspended_at[suspended_at.len() - 1];
            let should_reserve = reservations.should_reserve(now);
            prop_assert_eq!(should_reserve, now < last + Micros::from_secs(60));
            if !should_reserve {
                suspended_at.push(now);
            }
        }
    }
}
