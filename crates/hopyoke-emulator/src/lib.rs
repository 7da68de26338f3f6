//! An emulated cluster on loopback: a key-value store, a cloud and agents that speak the published protocols, and real
//! controller processes. Intended for tests, measurements and demonstrations, not for production.
//!
//! Limitations: agents execute no commands (a task takes its job's estimate times a factor), gangs start together but
//! lose no members, and spot machines are never preempted.
//!
//! - [`Cluster`]: starts all components of a [`ClusterConfig`], and starts and kills controllers.
//! - [`KvStore`]: the key-value store, with configurable outages, latency and change log length.
//! - [`Cloud`]: creates and deletes machines, each of which runs an [`Agent`].
//! - [`Fleet`]: state shared by all agents, and their observations: task starts and violated invariants.

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
pub use fleet::{ExecutedPush, Fleet, TaskStart};
pub use kv_store::{InjectedLatency, KvStore, LatencyRule};
