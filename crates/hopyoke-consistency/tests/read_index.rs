//! Linearizability of reads against a store in virtual time: a current read observes all writes that preceded it,
//! whatever is late, lost or rejected.

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
        .map(|i| r.enqueue(ms(i / 10)).expect("below the limit"))
        .collect();
    assert_eq!(r.begin_query(ms(39)), None);
    let q = r.begin_query(ms(40)).expect("due");
    // The query in flight does not serve a read that arrives after it was sent.
    let after = r.enqueue(ms(41)).expect("below the limit");
    assert_eq!(r.begin_query(ms(500)), None, "a query is in flight");
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
fn failed_queries_back_off_until_reads_time_out() {
    let mut r = ReadIndex::new(Limits::default());
    let t = r.enqueue(ms(0)).expect("below the limit");
    let mut queries = 0;
    for now in 0..1_300 {
        if let Some(q) = r.begin_query(ms(now)) {
            queries += 1;
            r.query_failed(q, 0.5, ms(now));
        }
    }
    assert!((3..=7).contains(&queries), "{queries} queries in 1.2 s");
    assert_eq!(r.outcome(t), Some(ReadOutcome::TimedOut));
    assert_eq!(r.due_at(), None);
}

#[test]
fn reads_beyond_the_limit_are_rejected() {
    let mut r = ReadIndex::new(Limits {
        max_waiting: 3,
        ..Limits::default()
    });
    let tickets: Vec<_> = (0..5).map(|_| r.enqueue(ms(0))).collect();
    assert!(tickets[..3].iter().all(Option::is_some) && tickets[3..].iter().all(Option::is_none));
    let q = r.begin_query(ms(40)).expect("due");
    r.query_answered(q, ms(41));
    assert!(r.enqueue(ms(42)).is_some());
}

#[derive(Debug, Clone)]
enum Event {
    Write,
    Read,
    Wait(u64),
    /// The store executes the query in flight now.
    Execute,
    Respond,
    Fail,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// The replica holds what the last response brought. A current read observes the store as of its arrival or
    /// later, and queries never overlap.
    #[test]
    fn current_reads_see_all_earlier_writes(events in prop::collection::vec(prop_oneof![
        Just(Event::Write), Just(Event::Read), (1u64..120).prop_map(Event::Wait), Just(Event::Execute), Just(Event::Respond), Just(Event::Fail)
    ], 1..200)) {
        let mut r = ReadIndex::new(Limits::default());
        let (mut now, mut store, mut replica) = (Micros::ZERO, 0u64, 0u64);
        let mut open: Vec<(hopyoke_consistency::read_index::Ticket, u64)> = Vec::new();
        // The query and the store's response to it.
        let mut in_flight: Option<(ReadQuery, Option<u64>)> = None;
        for event in events {
            match event {
                Event::Write => store += 1,
                Event::Read => open.extend(r.enqueue(now).map(|t| (t, store))),
                Event::Wait(n) => now += ms(n),
                Event::Execute => if let Some((_, response @ None)) = &mut in_flight { *response = Some(store) },
                Event::Respond => if let Some((q, Some(response))) = in_flight.take() {
                    replica = replica.max(response);
                    r.query_answered(q, now);
                },
                Event::Fail => if let Some((q, _)) = in_flight.take() { r.query_failed(q, 0.3, now) },
            }
            if let Some(q) = r.begin_query(now) {
                prop_assert!(in_flight.is_none());
                in_flight = Some((q, None));
            }
            open.retain(|(t, at_arrival)| match r.outcome(*t) {
                Some(ReadOutcome::Current) => { assert!(replica >= *at_arrival, "stale read"); false }
                Some(ReadOutcome::TimedOut) => false,
                None => true,
            });
        }
    }
}

fn overlapping_limits() -> Limits {
    Limits {
        max_in_flight: 4,
        ..Limits::default()
    }
}

/// With a store that takes 1.7 s, a read that arrives while a query is in flight gets a query of its own. Guards
/// against reads that take twice the latency.
#[test]
fn slow_queries_overlap() {
    let mut r = ReadIndex::new(Limits {
        read_timeout: ms(1_900),
        ..overlapping_limits()
    });
    let first = r.enqueue(ms(0)).expect("below the limit");
    let q1 = r.begin_query(ms(40)).expect("due");
    let second = r.enqueue(ms(60)).expect("below the limit");
    assert_eq!(r.due_at(), Some(ms(140)), "the minimum interval applies");
    let q2 = r.begin_query(ms(140)).expect("due");
    assert_eq!(r.due_at(), None, "no read needs another query");
    r.query_answered(q1, ms(1_740));
    assert_eq!(r.outcome(first), Some(ReadOutcome::Current));
    assert_eq!(r.outcome(second), None, "it arrived after the first query");
    r.query_answered(q2, ms(1_840));
    assert_eq!(r.outcome(second), Some(ReadOutcome::Current));
}

#[test]
fn overlapping_queries_are_bounded() {
    let mut r = ReadIndex::new(overlapping_limits());
    let mut queries = Vec::new();
    for n in 0..100 {
        r.enqueue(ms(n * 10)).expect("below the limit");
        queries.extend(r.begin_query(ms(n * 10)));
    }
    assert_eq!(queries.len(), 4);
    assert_eq!(r.due_at(), None);
}

/// The reads of a failed query get another one, whether or not a later query is in flight.
#[test]
fn a_failed_query_is_repeated() {
    let mut r = ReadIndex::new(overlapping_limits());
    let first = r.enqueue(ms(0)).expect("below the limit");
    let q1 = r.begin_query(ms(40)).expect("due");
    let second = r.enqueue(ms(50)).expect("below the limit");
    let q2 = r.begin_query(ms(140)).expect("due");
    r.query_failed(q2, 0.0, ms(150));
    let q3 = r.begin_query(ms(400)).expect("a query for the second read");
    r.query_failed(q1, 0.0, ms(410));
    assert_eq!(r.outcome(first), None);
    r.query_answered(q3, ms(420));
    assert_eq!(r.outcome(first), Some(ReadOutcome::Current));
    assert_eq!(r.outcome(second), Some(ReadOutcome::Current));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// As above, with overlapping queries that the store executes and answers in any order.
    #[test]
    fn overlapping_queries_keep_reads_linearizable(events in prop::collection::vec((prop_oneof![
        Just(Event::Write), Just(Event::Read), (1u64..120).prop_map(Event::Wait), Just(Event::Execute), Just(Event::Respond), Just(Event::Fail)
    ], 0usize..4), 1..200)) {
        let mut r = ReadIndex::new(overlapping_limits());
        let (mut now, mut store, mut replica) = (Micros::ZERO, 0u64, 0u64);
        let mut open: Vec<(hopyoke_consistency::read_index::Ticket, u64)> = Vec::new();
        let mut in_flight: Vec<(ReadQuery, Option<u64>)> = Vec::new();
        for (event, pick) in events {
            let picked = pick % in_flight.len().max(1);
            match event {
                Event::Write => store += 1,
                Event::Read => open.extend(r.enqueue(now).map(|t| (t, store))),
                Event::Wait(n) => now += ms(n),
                Event::Execute => if let Some((_, response @ None)) = in_flight.get_mut(picked) { *response = Some(store) },
                Event::Respond => if in_flight.get(picked).is_some_and(|(_, response)| response.is_some()) {
                    let (q, response) = in_flight.remove(picked);
                    replica = replica.max(response.unwrap_or_default());
                    r.query_answered(q, now);
                },
                Event::Fail => if picked < in_flight.len() { r.query_failed(in_flight.remove(picked).0, 0.3, now) },
            }
            in_flight.extend(r.begin_query(now).map(|q| (q, None)));
            prop_assert!(in_flight.len() <= 4);
            open.retain(|(t, at_arrival)| match r.outcome(*t) {
                Some(ReadOutcome::Current) => { assert!(replica >= *at_arrival, "stale read"); false }
                Some(ReadOutcome::TimedOut) => false,
                None => true,
            });
        }
    }
}
