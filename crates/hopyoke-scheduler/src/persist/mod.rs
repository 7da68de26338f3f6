//! State that outlives a leader: what is written to the state service, in batches.

pub(crate) mod batch;
pub(crate) mod records;
pub(crate) mod registry;
