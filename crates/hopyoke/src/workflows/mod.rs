//! Runs of workflows: clients' calls, and their execution.

mod actions;
pub(crate) mod calls;
mod records;
pub(crate) mod runner;
mod watches;
