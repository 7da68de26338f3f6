//! Heartbeat routing: which node holds an agent's connection, and how heartbeats reach the leader, without any I/O.
//!
//! One node leads, and its sockets and handshakes bound the number of machines that it can serve. While it has
//! capacity, every agent sends its heartbeats to it. When its connections are nearly used up, agents are redirected to
//! the other nodes: these hold the connections and relay the heartbeats to the leader, many in one call. The leader
//! alone decides and answers, so no safety rule depends on the way: an agent drops every response that arrives more
//! than 4 s after it sent its heartbeat, by whichever way it came.
//!
//! - [`Routes`]: where a heartbeat goes.
//! - [`HeartbeatBatcher`]: which heartbeats are relayed to the leader together.
//! - [`HeartbeatMonitor`]: whether any machine still reaches the leader.

mod batcher;
mod monitor;
mod routes;

pub use batcher::{Batch, HeartbeatBatcher, HeartbeatId};
pub use monitor::HeartbeatMonitor;
pub use routes::{ConnectionLoad, Route, Routes};
