//! Workflow service and command line. Workflow documents are compiled into plans in a separate process,
//! and runs are submitted to the controllers over the mesh.
//!
//! - [`server`]: the GA4GH Workflow Execution Service 1.1, JSON over HTTP.
//! - [`wire`]: messages of the service.
//! - [`config`]: configuration file of the service.
//! - [`access`]: authentication by bearer token.
//! - [`upload`]: parsing and encoding of `multipart/form-data` submissions.
//! - [`compile`]: compilation of documents into plans on a bounded number of threads.
//! - [`calls`]: calls to the controllers, with failover.
//! - [`publish`]: task descriptions for workers.
//! - [`client`]: client of the service, for the command line.
//!
//! The service is stateless, as the controllers store all runs. It may be restarted at any time, and several
//! instances may run in parallel.

pub mod access;
pub mod calls;
pub mod client;
pub mod compile;
pub mod config;
pub mod publish;
pub mod server;
pub mod upload;
pub mod wire;
