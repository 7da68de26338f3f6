//! Reads against a store in virtual time: a read that is called current sees all that was written
//! before it arrived, whatever is late, lost or refused.

use hopyoke_consistency::read_index::{Limits, ReadIndex, ReadOutcome, ReadQuery};
use hopyoke_types::Micros;
use proptest::prelude::*;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn one_query_serves_all_waiting_reads() {
    let mut r = ReadIndex::new(Limits::default());
    let tickets: Vec<_> = (0..200)
        .map(|i| r.arrive(ms(i / 10)).expect("room"))
        .collect();
    assert_eq!(r.begin_query(ms(39)), None);
    let q = r.begin_query(ms(40)).expect("due");
    // A read that arrives now is not served by it.
    let after = r.arrive(ms(41)).expect("room");
    assert_eq!(r.begin_query(ms(500)), None, "one query at a time");
    r.query_answered(q, ms(45));
    assert!(
        tickets
            .iter()
            .all(|t| r.outcome(*t) == Some(ReadOutcome::Current))
    );
    assert_eq!(r.outcome(after), None);
    let q = r.begin_query(ms(81)).expect("due");
    r.query_answered(q, ms(85));
    assert_eq!(r.outcome(after), Some(ReadOutcome::Current));
    assert_eq!(r.counts(), (2, 201));
    assert_eq!(r.due_at(), None);
}

#[test]
fn failed_queries_back_off_and_reads_time_out() {
    let mut r = ReadIndex::new(Limits::default());
    let t = r.arrive(ms(0)).expect("room");
    let mut asked = 0;
    for now in 0..1_300 {
        if let Some(q) = r.begin_query(ms(now)) {
            asked += 1;
            r.query_failed(q, 0.5, ms(now));
        }
    }
    assert!((3..=7).contains(&asked), "{asked} queries in 1.2 s");
    assert_eq!(r.outcome(t), Some(ReadOutcome::TimedOut));
    assert_eq!(r.due_at(), None);
}

#[test]
fn reads_beyond_the_limit_are_refused() {
    let mut r = ReadIndex::new(Limits {
        max_waiting: 3,
        ..Limits::default()
    });
    let tickets: Vec<_> = (0..5).map(|_| r.arrive(ms(0))).collect();
    assert!(tickets[..3].iter().all(Option::is_some) && tickets[3..].iter().all(Option::is_none));
    let q = r.begin_query(ms(40)).expect("due");
    r.query_answered(q, ms(41));
    assert!(r.arrive(ms(42)).is_some());
}

#[derive(Debug, Clone)]
enum Act {
    Write,
    Read,
    Wait(u64),
    /// The query in flight is executed by the store now.
    Execute,
    Answer,
    Fail,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// The replica is what the last answer brought; a current read sees the store as of its arrival
    /// or later, and queries never overlap.
    #[test]
    fn current_reads_see_all_earlier_writes(acts in prop::collection::vec(prop_oneof![
        Just(Act::Write), Just(Act::Read), (1u64..120).prop_map(Act::Wait), Just(Act::Execute), Just(Act::Answer), Just(Act::Fail)
    ], 1..200)) {
        let mut r = ReadIndex::new(Limits::default());
        let (mut now, mut store, mut replica) = (Micros::ZERO, 0u64, 0u64);
        let mut open: Vec<(hopyoke_consistency::read_index::Ticket, u64)> = Vec::new();
        // The query, and what the store answered.
        let mut in_flight: Option<(ReadQuery, Option<u64>)> = None;
        for act in acts {
            match act {
                Act::Write => store += 1,
                Act::Read => open.extend(r.arrive(now).map(|t| (t, store))),
                Act::Wait(n) => now += ms(n),
                Act::Execute => if let Some((_, seen @ None)) = &mut in_flight { *seen = Some(store) },
                Act::Answer => if let Some((q, Some(seen))) = in_flight.take() {
                    replica = replica.max(seen);
                    r.query_answered(q, now);
                },
                Act::Fail => if let Some((q, _)) = in_flight.take() { r.query_failed(q, 0.3, now) },
            }
            if let Some(q) = r.begin_query(now) {
                prop_assert!(in_flight.is_none());
                in_flight = Some((q, None));
            }
            open.retain(|(t, at_arrival)| match r.outcome(*t) {
                Some(ReadOutcome::Current) => { assert!(replica >= *at_arrival, "an older answer"); false }
                Some(ReadOutcome::TimedOut) => false,
                None => true,
            });
        }
    }
}
