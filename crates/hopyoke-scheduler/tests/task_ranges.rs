//! Tests of the stored form of task number sets: it is short, and decoding restores the set.

mod common;

use common::set_of;
use hopyoke_protocol::{decode, encode};
use hopyoke_scheduler::TaskRanges;
use proptest::prelude::*;

#[test]
fn scattered_set_of_a_large_job_fits_a_record() {
    // As a list, the 12,500 ranges would take 175,000 characters.
    let set = set_of((0..25_000).filter(|x| x % 2 == 0));
    assert!(encode(&set).len() < 4_300, "{}", encode(&set).len());
    assert_eq!(decode::<TaskRanges>(&encode(&set)).ok(), Some(set));
}

#[test]
fn malformed_string_is_rejected() {
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
    let too_long = format!("0:{}", "A".repeat(40_000));
    assert!(decode::<TaskRanges>(&encode(&too_long)).is_err());
}

#[test]
fn list_of_ranges_of_earlier_versions_is_decoded() {
    assert_eq!(
        decode::<TaskRanges>(&encode(&vec![(0u32, 4u32), (7, 7)])).ok(),
        Some(set_of([0, 1, 2, 3, 4, 7]))
    );
}

proptest! {
    #[test]
    fn decoding_restores_the_set(numbers in prop::collection::btree_set(0u32..3_000, 0..800), first in 0u32..97_000) {
        let set = set_of((0..first).chain(numbers.iter().map(|x| x + first)));
        let bytes = encode(&set);
        prop_assert!(bytes.len() <= set.max_encoded_len() + 8);
        prop_assert_eq!(decode::<TaskRanges>(&bytes).ok(), Some(set));
    }
}
