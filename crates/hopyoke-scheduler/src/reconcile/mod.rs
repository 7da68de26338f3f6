//! Reconciliation of the ledger with agents' heartbeats and with the records that earlier leaders wrote.

mod attempts;
pub(crate) mod command_tokens;
mod commands;
pub(crate) mod failover;
pub(crate) mod heartbeats;
mod job_records;
pub(crate) mod probes;
pub(crate) mod restart_check;
mod task_status;
pub(crate) mod unresponsive;
