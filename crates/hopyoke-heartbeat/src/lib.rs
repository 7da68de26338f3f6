//! Which node holds a worker's connection, and how reports are carried to the leader, without any I/O.
//!
//! One node leads, and its sockets and handshakes bound how many machines it can hear. While it has
//! room, every worker reports to it. When it is crowded, workers whose connections it has no room for
//! are sent to the other nodes: these hold the connections and carry the reports to the leader,
//! many in one call. The leader alone decides and answers, so nothing that a rule rests on changes: a
//! worker drops whatever comes 4 s after it sent its report, by whichever way it came.
//!
//! - [`Routes`]: where a report goes.
//! - [`HeartbeatBatcher`]: which reports go to the leader together.
//! - [`HeartbeatMonitor`]: whether any machine still reaches the leader.

mod batcher;
mod monitor;
mod routes;

pub use batcher::{HeartbeatBatcher, Load, Number};
pub use monitor::HeartbeatMonitor;
pub use routes::{Crowd, Peer, Route, Routes};
