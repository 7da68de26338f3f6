//! An emulated cluster on loopback: key-value store, cloud and agents, by the published protocols, around real
//! controller processes. For tests, measurements and trying things out; not for production.
//!
//! What is left out: agents run no commands (a task takes its job's estimate times a factor), gangs start together but
//! do not lose members, and spot machines are never preempted.
//!
//! - [`Cluster`]: starts everything from a [`ClusterConfig`], and starts and kills controllers.
//! - [`KvStore`]: the key-value store, with outages, latency and a short change log to order.
//! - [`Cloud`]: creates and deletes machines; each runs an [`Agent`].
//! - [`Fleet`]: what all agents share, and what they observed: task starts and violated invariants.

mod agent;
mod agent_tasks;
mod cloud;
mod cluster;
mod controller_settings;
mod fleet;
mod kv_store;
mod server;

pub use agent::Agent;
pub use cloud::Cloud;
pub use cluster::Cluster;
pub use controller_settings::{ClusterConfig, TeamQuota};
pub use fleet::{Fleet, TaskStart};
pub use kv_store::{InjectedLatency, KvStore, LatencyRule};
