//! Admission control and rate limits for a service that all nodes share, without any I/O.
//!
//! The key-value store counts the requests and changes of all nodes together and refuses everything above its
//! limits, leader leases and failovers included. So every node keeps to its own share of each limit, which needs
//! no agreement, and spends that share by priority:
//!
//! - [`RateLimiter`]: one limit. Each [`RequestPriority`] may use the node's share only while more than its own
//!   floor is left, so requests of a higher priority always find room, whatever the load of the others.
//! - [`AdmissionGate`]: which submissions are admitted, by team, and after how long a rejected one may retry at
//!   the queue position that it keeps.
//! - [`WriteDemand`]: the changes that the leader's own records need, which the leader announces to its peers.
//! - [`RateShare`]: the changes that a node may spend on new work: by that announcement while it is valid, and by
//!   what the nodes lend each other.
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

pub use controller::{AdmissionController, AdmissionStats};
pub use gate::{AdmissionGate, RetryAfter};
pub use gossip::QueueGossip;
pub use rate_limiter::{RateLimiter, RequestPriority, SharedLimit};
pub use rate_share::RateShare;
pub use tenants::TenantCounts;
pub use write_demand::WriteDemand;
