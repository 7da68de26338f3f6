//! Heartbeat routing and leader isolation detection, without I/O.
//!
//! Agents send heartbeats to the leader while it has capacity. The number of machines that the leader can serve
//! directly is limited by its sockets and handshakes, so when its connections are nearly exhausted it redirects agents
//! to followers, which hold the connections and relay heartbeats to the leader in batches. Only the leader answers
//! heartbeats, and an agent drops any response that arrives more than 4 s after it sent the heartbeat, so safety
//! doesn't depend on the route.
//!
//! - [`Routes`]: routes each heartbeat by the connection load of the nodes.
//! - [`HeartbeatBatcher`]: batches heartbeats that are relayed to the leader.
//! - [`HeartbeatMonitor`]: detects that the leader is isolated from all agents.

mod batcher;
mod monitor;
mod routes;

pub use batcher::{Batch, HeartbeatBatcher, HeartbeatId};
pub use monitor::HeartbeatMonitor;
pub use routes::{ConnectionLoad, Route, Routes};
