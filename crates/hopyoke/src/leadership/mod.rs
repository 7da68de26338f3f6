//! Leader election, and the work of the elected leader.
//!
//! - [`election`]: watches the leader key and campaigns for the leader lease.
//! - `term`: one term of leadership, from acquiring the lease to losing or releasing it.
//! - `keep_alive`: renews the leader lease.
//! - `failover`: rebuilds the scheduler from the records of previous leaders.
//! - `record_writer`: commits the scheduler's batches as compare-and-swap transactions.
//! - `actions`: executes the scheduler's decisions.
//! - `refresh`: refreshes the scheduler's inputs other than jobs and heartbeats.
//! - [`lease_support`]: support that a node grants to a peer's leader lease.
//! - [`candidacy`]: election status of a node, shown to operators.
//! - `backoff`: jitter and bounded retries.

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
