//! Deterministic cluster simulation in virtual time. Nodes run the real scheduler; agents, cloud, key-value store and
//! users are simulated and follow the protocols. Scenarios inject faults, and invariants are checked after every event,
//! or periodically in large clusters. A run is determined by its scenario and seed.

mod agent;
mod api;
mod cloud;
mod digest;
mod event_queue;
mod ground_truth;
mod invariants;
mod kv_store;
mod limits;
mod lookup;
mod network;
mod node;
pub mod scenario;
mod simulation;
mod size_limits;
mod user_observations;
mod users;

pub use ground_truth::JobGroundTruth;
pub use simulation::Simulation;

pub(crate) use network::{DeliveryDelay, Host, NetworkPartition};
pub(crate) use simulation::START_TIME_OF_DAY;
