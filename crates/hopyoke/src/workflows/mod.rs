//! Runs of workflows: clients' calls, and their execution.

pub mod calls;
pub mod runner;
