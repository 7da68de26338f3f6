//! Sizes in JSON: the key-value store limits values and transactions by their size in this form, although messages are
//! encoded as MessagePack.

use serde::Serialize;
use std::io;

/// Length of an escape sequence such as `\u00e9`.
const ESCAPE_LEN: usize = 6;

/// Returns the size of a message in JSON, in bytes.
///
/// Characters beyond ASCII are counted as escape sequences, the longest form that a JSON encoder may choose, so that no
/// store counts more. Returns `usize::MAX` if `message` can't be represented in JSON.
pub fn json_len<T: Serialize + ?Sized>(message: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, message) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Counts the bytes written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.iter().map(|b| escaped_len(*b)).sum::<usize>();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the length to which a byte of UTF-8 contributes: a character beyond ASCII is counted at its first byte, and as
/// two escape sequences if it lies beyond the basic multilingual plane.
fn escaped_len(byte: u8) -> usize {
    match byte {
        0x00..=0x7f => 1,
        0x80..=0xbf => 0,
        0xc0..=0xef => ESCAPE_LEN,
        0xf0..=0xff => 2 * ESCAPE_LEN,
    }
}
