//! Sets of task numbers in records: whichever form is shorter, and nothing is lost or made up.

use hopyoke_protocol::{decode, encode};
use hopyoke_scheduler::TaskRanges;
use proptest::prelude::*;

fn of(numbers: impl IntoIterator<Item = u32>) -> TaskRanges {
    let mut r = TaskRanges::default();
    for x in numbers {
        r.insert(x);
    }
    r
}

#[test]
fn a_scattered_set_of_a_huge_job_fits_a_record() {
    // Every second of 25,000 done: 12,500 ranges would take 175,000 characters.
    let r = of((0..25_000).filter(|x| x % 2 == 0));
    assert!(encode(&r).len() < 4_300, "{}", encode(&r).len());
    assert_eq!(decode::<TaskRanges>(&encode(&r)).ok(), Some(r));
}

#[test]
fn malformed_text_is_an_error() {
    for text in [
        "",
        "1",
        "x:AAAA",
        "-1:AAAA",
        "100001:",
        "0:****",
        "4294967295:/w",
    ] {
        assert!(decode::<TaskRanges>(&encode(&text)).is_err(), "{text}");
    }
    let long = format!("0:{}", "A".repeat(40_000));
    assert!(decode::<TaskRanges>(&encode(&long)).is_err());
}

#[test]
fn records_of_earlier_versions_are_read() {
    assert_eq!(
        decode::<TaskRanges>(&encode(&vec![(0u32, 4u32), (7, 7)])).ok(),
        Some(of([0, 1, 2, 3, 4, 7]))
    );
}

proptest! {
    #[test]
    fn what_is_written_is_read(numbers in prop::collection::btree_set(0u32..3_000, 0..800), first in 0u32..97_000) {
        let r = of((0..first).chain(numbers.iter().map(|x| x + first)));
        let bytes = encode(&r);
        prop_assert!(bytes.len() <= r.max_encoded_len() + 8);
        prop_assert_eq!(decode::<TaskRanges>(&bytes).ok(), Some(r));
    }
}
