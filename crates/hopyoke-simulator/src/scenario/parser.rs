//! Words, numbers and `key value` pairs of a scenario's line.

use hopyoke_types::Micros;
use std::collections::BTreeMap;

/// The remaining words of a line.
pub(super) type Words<'a> = std::slice::Iter<'a, &'a str>;

/// Parses a duration or a time in seconds.
///
/// # Panics
///
/// Panics if the word is not a number.
pub(super) fn seconds(word: &str) -> Micros {
    Micros::from_secs_f64(
        word.parse()
            .unwrap_or_else(|_| panic!("not a number of seconds: {word}")),
    )
}

/// Parses a number.
///
/// # Panics
///
/// Panics if the word is not a number.
pub(super) fn number(word: &str) -> f64 {
    word.parse()
        .unwrap_or_else(|_| panic!("not a number: {word}"))
}

/// Returns the next word of the line.
///
/// # Panics
///
/// Panics if the line has no further word.
pub(super) fn next_word<'a>(words: &mut Words<'a>) -> &'a str {
    words.next().copied().expect("another word")
}

/// Reads the rest of the line as `key value` pairs.
///
/// # Panics
///
/// Panics if a key has no value.
pub(super) fn key_values<'a>(words: &mut Words<'a>) -> BTreeMap<&'a str, &'a str> {
    let mut pairs = BTreeMap::new();
    while let Some(key) = words.next() {
        pairs.insert(*key, next_word(words));
    }
    pairs
}
