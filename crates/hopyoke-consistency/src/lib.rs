//! What answers and fences rest on, without any I/O: the leader's lease, the cancellation log, the read index, timeouts.
//!
//! A leader may outlive an outage of the key-value store while all its peers support its lease
//! ([`leader_lease`]). It then receives no changes from the store, so each grant of support has to carry the
//! cancellations that the peer has acknowledged to users since the leader's last known revision: else tasks of
//! cancelled jobs would be kept alive. (Guards `ran_cancelled`.)
//!
//! - [`leader_lease`]: how long a leader may go on commanding agents.
//! - [`CancellationLog`], at every node: cancellations acknowledged here, appended *before* the user is told. It is
//!   bounded by number; what it has dropped is known by revision, and then no support is granted.
//! - [`DeliveryCursors`], at the leader: how far it has received each peer's log, so that an answer carries only
//!   what is new.
//! - [`Tombstones`], at the leader: jobs that are over, for as long as older events of them may still arrive.
//! - [`read_index`]: linearizable reads by waiting callers, batched into one query.
//! - [`deadline`]: how the time that a user waits for an answer is spent.
//! - [`latency`]: how long to wait for the key-value store's answers, by the latency measured.

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
