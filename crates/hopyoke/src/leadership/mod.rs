//! Leadership of one controller over the whole cluster.
//!
//! - [`election`]: observes the leader key and campaigns for the leader lease.
//! - `term`: one term of leadership, from the acquired lease to its end.
//! - `keep_alive`: renews the leader lease.
//! - `failover`: reads the records of earlier leaders and builds the scheduler from them.
//! - `record_writer`: commits the scheduler's batches as compare-and-swap transactions.
//! - `actions`: performs what the scheduler decides.
//! - `refresh`: keeps the scheduler's inputs other than jobs up to date.
//! - [`lease_support`]: the support that a node grants to a peer's leader lease.
//! - [`candidacy`]: why a node does not lead, for its operators.
//! - `backoff`: random delays and bounded retries.

mod actions;
mod backoff;
pub(crate) mod candidacy;
pub(crate) mod election;
mod failover;
mod keep_alive;
pub(crate) mod lease_support;
mod record_writer;
mod refresh;
mod term;
