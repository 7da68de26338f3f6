//! hopyoke: a cluster scheduler. Controllers take users' jobs, scale machines out and in, and run tasks on them.
//! See `docs/ARCHITECTURE.md` and `docs/DESIGN.md`.
//!
//! Modules build on one another in this order, downward only:
//!
//! - [`serve`]: starts a node's routines and routes requests.
//! - `peers::server`: answers peers and operators.
//! - `api::jobs`, `leadership`, `agents`, `operations::status`: users, leadership, agents, status.
//! - `workflows`: clients' calls about runs of workflows, and their execution.
//! - [`log`]: what our programs write to standard error.
//! - `store::watch`: keeps the leader's scheduler up to date with the records.
//! - `store::records`: jobs' records as any node reads and changes them.
//! - [`operations`]: staffed hours, estimates, and the operators' settings.
//! - `node`: the state that the routines of one node share.
//! - `peers::heartbeat_relay`, `api::admission`, `store::read_index`, `store::terminal_states`,
//!   `leadership::lease_support`: state of one concern each, held by the node.
//! - [`peers::client`], `store::client`, `cloud`: clients of peers, the key-value store and the cloud.
//! - `store::keys`, `store::error`: the store's keys, and why a request to it failed.

mod agents;
mod api;
mod cloud;
mod leadership;
pub mod log;
mod node;
pub mod operations;
pub mod peers;
pub mod serve;
mod store;
mod workflows;
