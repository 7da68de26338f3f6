//! Sizes and short forms of what is kept in the key-value store.
//!
//! - [`json_len`]: the size of a value as the store counts it.
//! - [`machine_types`]: the stored form of job descriptions, in which digests may stand for names of machine types.

mod json_size;
pub mod machine_types;

pub use json_size::json_len;
