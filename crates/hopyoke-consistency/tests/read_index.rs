//! Reads against a store in virtual time: a read that is called current sees all that was written
//! before it arrived, whatever is late, lost or refused.

use hopyoke_consistency::read_index::{Limits, ReadIndex, ReadOutcome, ReadQuery};
use hopyoke_types::Micros;
use proptest::prelude::*;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn one_question_serves_all_that_wait() {
    let mut r = ReadIndex::new(Limits::default());
    let tickets: Vec<_> = (0..200)
        .map(|i| r.arrive(ms(i / 10)).expect("room"))
        .collect();
    assert_eq!(r.ask(ms(39)), None);
    let q = r.ask(ms(40)).expect("due");
    // A read that arrives now is not served by it.
    let after = r.arrive(ms(41)).expect("room");
    assert_eq!(r.ask(ms(500)), None, "one question at a time");
    r.answered(q, ms(45));
    assert!(
        tickets
            .iter()
            .all(|t| r.verdict(*t) == Some(ReadOutcome::Current))
    );
    assert_eq!(r.verdict(after), None);
    let q = r.ask(ms(81)).expect("due");
    r.answered(q, ms(85));
    assert_eq!(r.verdict(after), Some(ReadOutcome::Current));
    assert_eq!(r.counts(), (2, 201));
    assert_eq!(r.due(), None);
}

#[test]
fn failures_pause_and_patience_ends() {
    let mut r = ReadIndex::new(Limits::default());
    let t = r.arrive(ms(0)).expect("room");
    let mut asked = 0;
    for now in 0..1_300 {
        if let Some(q) = r.ask(ms(now)) {
            asked += 1;
            r.failed(q, 0.5, ms(now));
        }
    }
    assert!((3..=7).contains(&asked), "{asked} questions in 1.2 s");
    assert_eq!(r.verdict(t), Some(ReadOutcome::Late));
    assert_eq!(r.due(), None);
}

#[test]
fn the_newest_are_refused() {
    let mut r = ReadIndex::new(Limits {
        waiting: 3,
        ..Limits::default()
    });
    let tickets: Vec<_> = (0..5).map(|_| r.arrive(ms(0))).collect();
    assert!(tickets[..3].iter().all(Option::is_some) && tickets[3..].iter().all(Option::is_none));
    let q = r.ask(ms(40)).expect("due");
    r.answered(q, ms(41));
    assert!(r.arrive(ms(42)).is_some());
}

#[derive(Debug, Clone)]
enum Act {
    Write,
    Read,
    Wait(u64),
    /// The question under way is executed by the store now.
    Execute,
    Answer,
    Fail,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// The replica is what the last answer brought; a current read sees the store as of its arrival
    /// or later, and questions never overlap.
    #[test]
    fn current_is_current(acts in prop::collection::vec(prop_oneof![
        Just(Act::Write), Just(Act::Read), (1u64..120).prop_map(Act::Wait), Just(Act::Execute), Just(Act::Answer), Just(Act::Fail)
    ], 1..200)) {
        let mut r = ReadIndex::new(Limits::default());
        let (mut now, mut store, mut replica) = (Micros::ZERO, 0u64, 0u64);
        let mut open: Vec<(hopyoke_consistency::read_index::Ticket, u64)> = Vec::new();
        // The question, and what the store said to it.
        let mut under_way: Option<(ReadQuery, Option<u64>)> = None;
        for act in acts {
            match act {
                Act::Write => store += 1,
                Act::Read => open.extend(r.arrive(now).map(|t| (t, store))),
                Act::Wait(n) => now += ms(n),
                Act::Execute => if let Some((_, seen @ None)) = &mut under_way { *seen = Some(store) },
                Act::Answer => if let Some((q, Some(seen))) = under_way.take() {
                    replica = replica.max(seen);
                    r.answered(q, now);
                },
                Act::Fail => if let Some((q, _)) = under_way.take() { r.failed(q, 0.3, now) },
            }
            if let Some(q) = r.ask(now) {
                prop_assert!(under_way.is_none());
                under_way = Some((q, None));
            }
            open.retain(|(t, at_arrival)| match r.verdict(*t) {
                Some(ReadOutcome::Current) => { assert!(replica >= *at_arrival, "an older answer"); false }
                Some(ReadOutcome::Late) => false,
                None => true,
            });
        }
    }
}
