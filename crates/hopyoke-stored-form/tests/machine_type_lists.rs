//! Tests of lists of machine types in stored descriptions: a long list is condensed, and allows the same types as before.

use hopyoke_protocol::user::JobSpec;
use hopyoke_stored_form::json_len;
use hopyoke_stored_form::machine_types::{allows, is_stored_form, stored_form};
use hopyoke_types::JobId;
use proptest::prelude::*;

/// More than any value that a condensed description of names of at most 200 bytes takes, in a store of 8 KiB a value.
const MAX_CONDENSED_BYTES: usize = 7_200;

fn spec(names: Vec<String>) -> JobSpec {
    JobSpec {
        machine_types: Some(names),
        ..JobSpec::with_defaults(JobId::new("req-1"), "any", "crew", "img-1")
    }
}

/// Guards against a record that outgrows the store's largest value (review/4): control characters take six times their
/// length in JSON.
#[test]
fn names_of_control_characters_are_condensed() {
    let mut names = vec!["std".to_owned()];
    names.extend((1..=14).map(|n| "\u{1}".repeat(180 + n)));
    let submitted = spec(names);
    assert!(submitted.check().is_ok());
    assert!(json_len(&submitted) > 8 * 1024);
    let stored = stored_form(submitted.clone());
    assert!(json_len(&stored) < 900, "{}", json_len(&stored));
    assert!(stored.check().is_ok());
    for name in submitted.machine_types.iter().flatten() {
        assert!(allows(&stored, name));
    }
    assert!(!allows(&stored, "other"));
    assert!(!allows(&stored, &"\u{1}".repeat(180)));
}

#[test]
fn description_of_ordinary_length_is_stored_as_it_is() {
    let submitted = spec(vec![
        "a-machine-type-with-a-long-name-of-50-characters.."
            .into();
        40
    ]);
    assert_eq!(stored_form(submitted.clone()), submitted);
}

#[test]
fn short_names_stay_readable_beside_long_ones() {
    let mut names = vec!["std".to_owned(), "#odd".to_owned()];
    names.extend((0..15).map(|n| "\u{1}".repeat(180 + n)));
    let stored = stored_form(spec(names));
    let stored_names = stored.machine_types.clone().expect("names");
    assert_eq!(stored_names[0], "std");
    assert_ne!(stored_names[1], "#odd");
    assert!(allows(&stored, "#odd"));
}

/// Any name: short or long, of control characters, quotes, backslashes, digits or other scripts, or like a digest.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z0-9.-]{1,40}",
        "[\u{0}-\u{1f}]{0,199}",
        "[\"\\\\]{0,199}",
        "[é船🛶]{0,49}",
        "#[A-Za-z0-9_-]{22}",
        "#.{0,30}",
    ]
}

proptest! {
    #[test]
    fn stored_form_allows_the_same_types(names in prop::collection::vec(name(), 0..64), others in prop::collection::vec(name(), 0..8)) {
        let submitted = spec(names.clone());
        let stored = stored_form(submitted.clone());
        for name in names.iter().chain(&others) {
            prop_assert_eq!(allows(&stored, name), allows(&submitted, name), "{}", name);
        }
        prop_assert!(is_stored_form(&stored));
        prop_assert_eq!(stored_form(stored.clone()), stored.clone());
        prop_assert!(json_len(&stored) < MAX_CONDENSED_BYTES);
    }
}
