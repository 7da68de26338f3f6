//! Other controllers: calls to them, calls from them, and heartbeats relayed to the leader.

mod channel;
pub mod client;
pub(crate) mod heartbeat_relay;
pub(crate) mod server;
