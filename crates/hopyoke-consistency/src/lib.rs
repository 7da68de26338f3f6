//! Rules behind linearizable responses, lease validity and timeouts, without any I/O.
//!
//! A leader can outlive an outage of the key-value store while all its peers support its lease ([`leader_lease`]). It
//! then receives no changes from the store, so each grant of support carries the cancellations that the peer has
//! acknowledged to users since the leader's last applied revision. Otherwise the leader would keep tasks of cancelled
//! jobs running. Guards the invariant `ran_cancelled`.
//!
//! - [`leader_lease`]: the time for which a leader may command agents.
//! - [`CancellationLog`], on every node: the cancellations that the node has acknowledged. An entry is appended
//!   *before* the user receives the response. The log has a maximum number of entries; a node whose log has dropped
//!   entries that a leader may lack grants it no support.
//! - [`DeliveryCursors`], at the leader: its positions in the peers' logs, so that a response carries only new
//!   entries.
//! - [`Tombstones`], at the leader: finished jobs, for as long as older events of them may still arrive.
//! - [`read_index`]: linearizable reads, batched into one query.
//! - [`deadline`]: how a request's time is divided between the leader and the node's own read.
//! - [`latency`]: adaptive timeouts for requests to the key-value store.

mod cancellation_log;
pub mod deadline;
mod delivery;
pub mod latency;
pub mod leader_lease;
pub mod read_index;
mod tombstones;

pub use cancellation_log::{CancellationDelta, CancellationLog};
pub use delivery::{Cursor, DeliveryCursors};
pub use tombstones::Tombstones;
