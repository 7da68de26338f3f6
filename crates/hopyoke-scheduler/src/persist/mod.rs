//! State that outlives a leader: what is written to the state service, in batches.

pub mod batch;
pub mod records;
pub mod registry;
