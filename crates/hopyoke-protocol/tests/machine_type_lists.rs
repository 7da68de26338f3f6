//! Tests of lists of machine types in stored descriptions: a long list is condensed, and allows the same types as before.

use hopyoke_protocol::json_len;
use hopyoke_protocol::user::JobSpec;
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
    let stored = submitted.clone().into_stored_form();
    assert!(json_len(&stored) < 900, "{}", json_len(&stored));
    assert!(stored.check().is_ok());
    for name in submitted.machine_types.iter().flatten() {
        assert!(stored.allows_machine_type(name));
    }
    assert!(!stored.allows_machine_type("other"));
    assert!(!stored.allows_machine_type(&"\u{1}".repeat(180)));
}

#[test]
fn description_of_ordinary_length_is_stored_as_it_is() {
    let submitted = spec(vec![
        "a-machine-type-with-a-long-name-of-50-characters.."
            .into();
        40
    ]);
    assert_eq!(submitted.clone().into_stored_form(), submitted);
}

#[test]
fn short_names_stay_readable_beside_long_ones() {
    let mut names = vec!["std".to_owned(), "#odd".to_owned()];
    names.extend((0..15).map(|n| "\u{1}".repeat(180 + n)));
    let stored = spec(names).into_stored_form();
    let stored_names = stored.machine_types.clone().expect("names");
    assert_eq!(stored_names[0], "std");
    assert_ne!(stored_names[1], "#odd");
    assert!(stored.allows_machine_type("#odd"));
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
        let stored = submitted.clone().into_stored_form();
        for name in names.iter().chain(&others) {
            prop_assert_eq!(stored.allows_machine_type(name), submitted.allows_machine_type(name), "{}", name);
        }
        prop_assert!(stored.is_in_stored_form());
        prop_assert_eq!(stored.clone().into_stored_form(), stored.clone());
        prop_assert!(json_len(&stored) < MAX_CONDENSED_BYTES);
    }
}
