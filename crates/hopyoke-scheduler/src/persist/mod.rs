//! Persistence: batched writes of job records and of the machine registry to the key-value store.

pub(crate) mod batch;
mod outcomes;
pub(crate) mod records;
pub(crate) mod registry;
pub(crate) mod rejected_writes;
