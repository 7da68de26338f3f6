//! hopyoke: a cluster scheduler. Controllers take users' jobs, rent machines and run tasks on
//! them. See `docs/DESIGN.md`.

pub mod api;
pub mod cloud;
pub mod core;
pub mod entitlement;
pub mod http;
pub mod ids;
pub mod lead;
pub mod mesh;
pub mod node;
pub mod runtime;
pub mod settings;
pub mod state;
pub mod status;
pub mod time;
pub mod wire;
pub mod workers;
