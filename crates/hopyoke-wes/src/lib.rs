//! Workflow clients of hopyoke: documents become plans here, in a process of their own, and runs
//! are submitted to the controllers over their mesh.
//!
//! - [`server`]: the published GA4GH Workflow Execution Service 1.1, JSON over HTTP.
//! - [`wire`]: its messages.
//! - [`access`]: bearer tokens, and the teams that their holders may submit for.
//! - [`upload`]: forms as `multipart/form-data`, read and written.
//! - [`compile`]: documents into plans, on threads, bounded in number and time.
//! - [`calls`]: the controllers, whichever of them answers.
//! - [`publish`]: tasks' descriptions, where workers find them.
//! - [`client`]: the same service from the other side, for the command line.
//!
//! The process keeps nothing: runs live in the controllers' records. It may end at any time, and any
//! number of them may run side by side.

pub mod access;
pub mod calls;
pub mod client;
pub mod compile;
pub mod config;
pub mod publish;
pub mod server;
pub mod upload;
pub mod wire;
