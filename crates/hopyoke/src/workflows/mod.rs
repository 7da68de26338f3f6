//! Runs of workflows: clients' calls, and their execution.

pub(crate) mod calls;
pub(crate) mod runner;
