//! Messages of the four MessagePack protocols: users, agents, cloud and key-value store.
//!
//! Rust names follow the field's terms; the names on the wire stand only here, as serde renames.
//! `tests/frozen_forms.rs` keeps the bytes of every message.
//!
//! Durations end in `_s` (seconds) or `_ms` (milliseconds), sizes in `_gb` (gigabytes).

pub mod cloud;
pub mod state;
pub mod user;
pub mod worker;

use serde::de::DeserializeOwned;

/// Deepest nesting of maps and lists that [`decode`] follows.
const MAX_DEPTH: usize = 32;

/// A body that is no MessagePack, or not the message that was expected.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// Reads a message from MessagePack. Nesting is bounded by the decoder's depth limit, and
/// declared lengths only ever reserve what the bytes at hand can fill.
///
/// # Errors
/// The body is cut short, nested too deeply, or lacks a field of `T` or has one of another type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut d = rmp_serde::Deserializer::new(body);
    d.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut d)?)
}

/// Writes a message as MessagePack with named fields; empty if `message` cannot be serialized,
/// which no message of this crate is.
pub fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
