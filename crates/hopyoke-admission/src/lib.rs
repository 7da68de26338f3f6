//! Admission control and rate limits for a shared key-value store, without I/O.
//!
//! The store limits the requests and changes (key updates) of all nodes together and refuses everything above,
//! including lease renewals and the requests of a failover. So each node keeps to its own share of each limit, which
//! needs no coordination, and spends the share by priority:
//!
//! - [`RateLimiter`]: enforces one limit. Each [`RequestPriority`] has a floor that it must leave in the node's token
//!   bucket, so higher priorities have capacity whatever the load of lower ones.
//! - [`AdmissionGate`]: admits submissions with fair sharing among teams. A rejected submission gets a retry delay and
//!   keeps its queue position.
//! - [`WriteDemand`]: measures the changes per second that the leader's job records need; the leader announces them to
//!   its peers.
//! - [`RateShare`]: computes the changes per second that a node may spend on new work, from the leader's announcement
//!   and the loans among nodes.
//! - [`AdmissionController`]: combines gate, share and demand.
//!
//! Time is a parameter of all functions.

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
