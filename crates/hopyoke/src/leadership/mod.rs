//! Leadership: election, the leader lease kept alive, failover, writing of records, and support for a peer's lease.

pub mod election;
pub mod lease_support;
