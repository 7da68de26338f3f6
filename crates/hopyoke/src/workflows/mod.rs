//! Workflow runs: the RPCs by which clients submit and query them, and their execution.

mod actions;
pub(crate) mod calls;
mod records;
pub(crate) mod runner;
mod watches;
