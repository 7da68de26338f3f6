//! Room is reserved, and never for long.

use hopyoke_scheduler::placement::reservation::Reservations;
use hopyoke_types::Micros;
use proptest::prelude::*;

proptest! {
    /// However cycles follow each other, one without reservations comes within a minute and a cycle of the last; and those
    /// are few, or room would never accumulate. (Guards against jobs that wait beside free room.)
    #[test]
    fn a_cycle_without_reservations_comes_in_time(gaps in prop::collection::vec(1u64..5_000, 1..400)) {
        let mut reservations = Reservations::default();
        let mut now = Micros::from_secs(1_000);
        let mut suspended = vec![now];
        prop_assert!(!reservations.should_reserve(now));
        for gap in &gaps {
            now += Micros::from_millis(*gap);
            let last = suspended[suspended.len() - 1];
            let should_reserve = reservations.should_reserve(now);
            prop_assert_eq!(should_reserve, now < last + Micros::from_secs(60));
            if !should_reserve {
                suspended.push(now);
            }
        }
    }
}
