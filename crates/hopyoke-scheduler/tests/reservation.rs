//! Room is kept, and never for long.

use hopyoke_scheduler::placement::reservation::Reservations;
use hopyoke_types::Micros;
use proptest::prelude::*;

proptest! {
    /// However plans follow each other, one that keeps nothing comes within a minute and a plan of the last; and those
    /// are few, or nothing would ever collect. (Guards against jobs that wait beside room.)
    #[test]
    fn a_plan_that_keeps_nothing_comes_in_time(gaps in prop::collection::vec(1u64..5_000, 1..400)) {
        let mut kept = Reservations::default();
        let mut now = Micros::from_secs(1_000);
        let mut lent = vec![now];
        prop_assert!(!kept.keeps(now));
        for gap in &gaps {
            now += Micros::from_millis(*gap);
            let open = lent[lent.len() - 1];
            let keeps = kept.keeps(now);
            prop_assert_eq!(keeps, now < open + Micros::from_secs(60));
            if !keeps {
                lent.push(now);
            }
        }
    }
}
