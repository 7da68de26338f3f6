//! Reconciliation of the ledger with what agents report.

pub mod heartbeats;
pub mod restart_check;
