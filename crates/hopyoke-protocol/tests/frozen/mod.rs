//! Helpers for comparing encodings with fixtures, which are lowercase hex files in `tests/forms` of the package under
//! test. Tests of other packages include this file by its path. Fixtures are never written by tests.

#![allow(dead_code, reason = "no package uses all helpers")]

use hopyoke_protocol::state::Stored;
use hopyoke_protocol::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the bytes of `tests/forms/NAME.hex`.
pub(crate) fn bytes(name: &str) -> Vec<u8> {
    let digits: Vec<u8> = text(&format!("{name}.hex"))
        .bytes()
        .filter(|b| !b.is_ascii_whitespace())
        .collect();
    assert!(
        digits.len().is_multiple_of(2),
        "{name}: an odd number of digits"
    );
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16);
    digits
        .chunks(2)
        .map(|pair| byte(pair).unwrap_or_else(|e| panic!("{name}: {e}")))
        .collect()
}

/// Returns the text of `tests/forms/FILE`.
pub(crate) fn text(file: &str) -> String {
    let path = format!("{}/tests/forms/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Asserts that the bytes equal a fixture, and shows a difference as hex.
pub(crate) fn assert_bytes(name: &str, got: &[u8]) {
    let hex = |b: &[u8]| b.iter().map(|x| format!("{x:02x}")).collect::<String>();
    assert_eq!(
        hex(got),
        hex(&bytes(name)),
        "{name}: encoding differs from the fixture"
    );
}

/// Decodes a fixture.
pub(crate) fn read<T: DeserializeOwned>(name: &str) -> T {
    decode(&bytes(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Asserts that `value` encodes to the fixture.
pub(crate) fn assert_written<T: Serialize>(name: &str, value: &T) {
    assert_bytes(name, &encode(value));
}

/// Asserts that `value` encodes to the fixture, and that the decoded fixture encodes to the same bytes.
pub(crate) fn assert_round_trip<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_written(name, value);
    assert_bytes(name, &encode(&read::<T>(name)));
}

/// Asserts the same for a value of the key-value store, which nodes decode as [`Stored`].
pub(crate) fn assert_stored<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_round_trip(name, value);
    let stored: T = read::<Stored<T>>(name)
        .decoded()
        .unwrap_or_else(|| panic!("{name}: unreadable"));
    assert_bytes(name, &encode(&stored));
}

/// Asserts that a fixture of an earlier encoding decodes as `value`, whose current encoding differs.
pub(crate) fn assert_read_as<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let stored: T = read::<Stored<T>>(name)
        .decoded()
        .unwrap_or_else(|| panic!("{name}: unreadable"));
    assert_eq!(
        encode(&stored),
        encode(value),
        "{name}: decoded as another value"
    );
}
