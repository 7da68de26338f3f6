//! Simulation of a cluster in virtual time: agents, cloud, key-value store and users that follow the protocols,
//! around nodes that run the real scheduler. Faults are injected by scenarios, and the invariants are checked
//! after every event. A run is determined by its scenario and seed.

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
mod user_observations;
mod users;

pub use ground_truth::JobGroundTruth;
pub use simulation::Simulation;

pub(crate) use network::{DeliveryDelay, Host, NetworkPartition};
pub(crate) use simulation::START_TIME_OF_DAY;
