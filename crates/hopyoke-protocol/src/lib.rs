//! Messages of the four MessagePack protocols: user API, agents, cloud provider and key-value store.
//!
//! Names on the wire differ from the names in the code and are declared only in this crate, as serde renames.
//! `tests/frozen_forms.rs` checks the encoding of every message against fixtures.
//!
//! Names of durations end in `_s` (seconds) or `_ms` (milliseconds), names of sizes in `_gb` (gigabytes).

pub mod cloud;
pub mod state;
pub mod user;
pub mod worker;

use serde::de::DeserializeOwned;

/// Maximum nesting depth of maps and lists that [`decode`] accepts.
const MAX_DEPTH: usize = 32;

/// The body is not valid MessagePack or not the expected message.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] rmp_serde::decode::Error);

/// Decodes a message from MessagePack. Safe for untrusted input: nesting is bounded by the decoder's depth limit, and
/// a declared length alone does not cause a large allocation.
///
/// # Errors
/// Fails if the body is truncated or nested too deeply, lacks a field of `T`, or has a field of the wrong type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut d = rmp_serde::Deserializer::new(body);
    d.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut d)?)
}

/// Encodes a message as MessagePack with named fields. Returns an empty body if `message` cannot be serialized, which
/// is the case for no message of this crate.
pub fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
