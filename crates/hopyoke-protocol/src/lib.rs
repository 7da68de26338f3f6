//! The protocol's messages. Their field names appear only here, as serde renames.

pub mod cloud;
pub mod state;
pub mod user;
pub mod worker;

use serde::de::DeserializeOwned;

/// Reads a message from MessagePack. Nesting is bounded by the decoder's depth limit, and
/// declared lengths only ever reserve what the bytes at hand can fill.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let mut d = rmp_serde::Deserializer::new(body);
    d.set_max_depth(32);
    T::deserialize(&mut d).map_err(|e| e.to_string())
}

/// Writes a message as MessagePack with named fields.
pub fn encode<T: serde::Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}
