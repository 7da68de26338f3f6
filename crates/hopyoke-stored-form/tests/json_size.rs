//! Tests of sizes in JSON: at least what a JSON encoder writes, with and without escapes for characters beyond ASCII.

use hopyoke_stored_form::json_len;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Returns the size of a message whose characters beyond ASCII are written as escape sequences.
fn escaped_len(message: &serde_json::Value) -> usize {
    let json = message.to_string();
    let escapes: usize = json
        .chars()
        .filter(|c| !c.is_ascii())
        .map(|c| 6 * c.len_utf16() - c.len_utf8())
        .sum();
    json.len() + escapes
}

#[test]
fn control_characters_quotes_and_other_scripts_are_counted_as_escaped() {
    assert_eq!(json_len("abc"), 5);
    assert_eq!(json_len("\u{1}"), 8);
    assert_eq!(json_len("\"\\\n"), 8);
    assert_eq!(json_len("é"), 8);
    assert_eq!(json_len("船"), 8);
    assert_eq!(json_len("🛶"), 14);
    assert_eq!(json_len(&(1.5, u64::MAX, true, None::<u8>)), 36);
}

proptest! {
    #[test]
    fn size_is_that_of_the_escaped_form(names in prop::collection::btree_map(".{0,20}", any::<(f64, u64)>(), 0..8)) {
        let names: BTreeMap<String, (f64, u64)> = names;
        let message = serde_json::to_value(&names).expect("a message");
        prop_assert_eq!(json_len(&names), escaped_len(&message));
        prop_assert!(json_len(&names) >= message.to_string().len());
    }
}
