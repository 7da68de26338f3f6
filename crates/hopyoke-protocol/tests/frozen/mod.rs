//! Reading and comparing fixtures: bytes as lowercase hex under `tests/forms` of the package under test.
//! Tests of other packages include this file by its path. Nothing here writes a fixture.

#![allow(dead_code, reason = "each package uses a part of it")]

use hopyoke_protocol::state::Stored;
use hopyoke_protocol::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The bytes of `tests/forms/NAME.hex`.
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

/// The text of `tests/forms/FILE`.
pub(crate) fn text(file: &str) -> String {
    let path = format!("{}/tests/forms/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Compares bytes with a fixture; a difference is shown as hex.
pub(crate) fn assert_bytes(name: &str, got: &[u8]) {
    let hex = |b: &[u8]| b.iter().map(|x| format!("{x:02x}")).collect::<String>();
    assert_eq!(
        hex(got),
        hex(&bytes(name)),
        "{name}: other bytes than before"
    );
}

/// Reads a fixture as MessagePack.
pub(crate) fn read<T: DeserializeOwned>(name: &str) -> T {
    decode(&bytes(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Writing `value` gives the fixture.
pub(crate) fn assert_written<T: Serialize>(name: &str, value: &T) {
    assert_bytes(name, &encode(value));
}

/// Writing `value` gives the fixture; reading the fixture gives what is written as the same bytes.
pub(crate) fn assert_round_trip<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_written(name, value);
    assert_bytes(name, &encode(&read::<T>(name)));
}

/// The same for a value of the state service, which nodes read as [`Stored`].
pub(crate) fn assert_stored<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_round_trip(name, value);
    let stored: T = read::<Stored<T>>(name)
        .decoded()
        .unwrap_or_else(|| panic!("{name}: unreadable"));
    assert_bytes(name, &encode(&stored));
}

/// A fixture of an earlier form is read as `value`, which is written otherwise today.
pub(crate) fn assert_read_as<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let stored: T = read::<Stored<T>>(name)
        .decoded()
        .unwrap_or_else(|| panic!("{name}: unreadable"));
    assert_eq!(
        encode(&stored),
        encode(value),
        "{name}: read as another value"
    );
}
