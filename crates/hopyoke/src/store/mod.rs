//! The key-value store that all nodes share, and what this node knows of its records.
//!
//! - [`keys`]: where each kind of record lives.
//! - [`client`], [`error`]: typed requests within this node's share of the store's rate.
//! - [`timeouts`]: how long their answers are waited for.
//! - [`records`]: jobs' records as any node reads and changes them.
//! - [`watch`]: keeps the leader's scheduler up to date with the records.
//! - [`read_index`]: linearizable reads from the leader's scheduler.
//! - [`terminal_states`]: a cache of final records.

pub(crate) mod client;
pub(crate) mod error;
pub(crate) mod keys;
pub(crate) mod read_index;
pub(crate) mod records;
pub(crate) mod terminal_states;
pub(crate) mod timeouts;
pub(crate) mod watch;
