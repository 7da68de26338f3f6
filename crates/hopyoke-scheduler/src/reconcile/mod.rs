//! Reconciliation of the ledger with what agents report, and with what an earlier leader left.

mod attempts;
mod commands;
pub(crate) mod failover;
pub(crate) mod heartbeats;
mod job_records;
pub(crate) mod probes;
pub(crate) mod restart_check;
mod task_status;
pub(crate) mod unresponsive;
