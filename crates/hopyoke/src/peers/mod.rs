//! Communication with other controllers: client, server, and relay of heartbeats to the leader.

mod channel;
pub mod client;
pub(crate) mod heartbeat_relay;
pub(crate) mod server;
