//! What a node may ask of a service that all nodes share, by importance, without any I/O.
//!
//! The state service counts requests and changes of all nodes together, and refuses above its
//! limits whoever comes: leases and takeovers stand in line behind what users ask. So every node
//! keeps to its own part, which needs no agreement, and inside its part to an order:
//!
//! - [`RateLimiter`]: one limit. Each [`RequestPriority`] may take from the node's part only while more than its
//!   own floor is left, so what matters more always finds room, whatever the others offer.
//! - [`AdmissionGate`]: who is let in of those that ask for work, by team, and when those refused are to come back to the
//!   place that they keep.
//! - [`WriteDemand`]: what the leader's own records need of the changes, which it tells the others.
//! - [`RateShare`]: the changes that a node may spend on new work: by that word while it is fresh, and by
//!   what the nodes lend each other.
//!
//! - [`AdmissionController`]: the last three together.
//!
//! Time is a parameter everywhere: events and `now` in, decisions out.

mod controller;
mod gate;
mod gossip;
mod rate_limiter;
mod rate_share;
mod tenants;
mod token_bucket;
mod wait_queue;
mod write_demand;

pub use controller::AdmissionController;
pub use gate::{AdmissionGate, RetryAfter};
pub use gossip::QueueGossip;
pub use rate_limiter::{Bounds, RateLimiter, RequestPriority};
pub use rate_share::RateShare;
pub use write_demand::WriteDemand;
