//! hopyoke: a cluster scheduler. Controllers accept users' jobs, scale machines out and in, and run tasks on them.
//! See `docs/ARCHITECTURE.md` and `docs/DESIGN.md`.
//!
//! Modules depend on one another in this order, downward only:
//!
//! - [`serve`]: starts a node's background tasks and routes requests.
//! - `peers::server`: serves calls of peers and operators.
//! - `api::jobs`, `leadership`, `agents`, `operations::status`: the users' API, leadership, agents, status.
//! - `workflows`: clients' calls about runs of workflows, and the execution of runs.
//! - [`log`]: logging to standard error.
//! - `store::watch`: keeps the leader's scheduler up to date with the records.
//! - `store::records`: reads and changes of jobs' records by any node.
//! - [`operations`]: staffed hours, estimates, and the operators' settings.
//! - `node`: the state that the background tasks of one node share.
//! - `peers::heartbeat_relay`, `api::admission`, `store::read_index`, `store::terminal_states`,
//!   `leadership::lease_support`: state of one concern each, owned by the node.
//! - [`peers::client`], `store::client`, `cloud`: clients of peers, the key-value store and the cloud.
//! - `store::keys`, `store::error`: keys of the store, and errors of requests to it.

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
