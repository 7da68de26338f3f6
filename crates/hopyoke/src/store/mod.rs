//! Access to the consensus-backed key-value store that all nodes share.
//!
//! - [`keys`]: key layout.
//! - [`client`], [`error`]: typed requests, rate-limited to this node's share of the store's request rate.
//! - [`timeouts`]: adaptive request timeouts.
//! - [`records`]: reads and changes of job records on any node.
//! - [`watch`]: keeps the leader's scheduler in sync with the job records.
//! - [`read_index`]: linearizable reads from the leader's scheduler.
//! - [`terminal_states`]: cache of terminal job states.

pub(crate) mod client;
pub(crate) mod error;
pub(crate) mod keys;
pub(crate) mod read_index;
pub(crate) mod records;
pub(crate) mod terminal_states;
pub(crate) mod timeouts;
pub(crate) mod watch;
