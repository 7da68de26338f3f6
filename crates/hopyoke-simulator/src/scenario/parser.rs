//! Words, numbers and `key value` pairs of a scenario's line.

use hopyoke_types::Micros;
use std::collections::BTreeMap;

/// The words of a line that have not been read yet.
pub(super) type Words<'a> = std::slice::Iter<'a, &'a str>;

/// A duration or a time, written in seconds.
///
/// # Panics
///
/// If the word is not a number: the scenario is at fault.
pub(super) fn seconds(word: &str) -> Micros {
    Micros::from_secs_f64(
        word.parse()
            .unwrap_or_else(|_| panic!("not a number of seconds: {word}")),
    )
}

/// A number.
///
/// # Panics
///
/// If the word is not a number: the scenario is at fault.
pub(super) fn number(word: &str) -> f64 {
    word.parse()
        .unwrap_or_else(|_| panic!("not a number: {word}"))
}

/// The next word of the line.
///
/// # Panics
///
/// If the line is over: the scenario is at fault.
pub(super) fn next_word<'a>(words: &mut Words<'a>) -> &'a str {
    words.next().copied().expect("another word")
}

/// The rest of the line, as `key value` pairs.
pub(super) fn key_values<'a>(words: &mut Words<'a>) -> BTreeMap<&'a str, &'a str> {
    let mut pairs = BTreeMap::new();
    while let Some(key) = words.next() {
        pairs.insert(*key, next_word(words));
    }
    pairs
}
