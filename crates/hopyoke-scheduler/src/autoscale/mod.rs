//! The autoscaler: instances are requested for unmet demand and returned when idle.

mod inventory;
mod scale_in;
pub mod scale_out;
