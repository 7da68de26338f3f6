//! The autoscaler: instances are requested for unmet demand and returned when idle.

pub(crate) mod inventory;
pub mod provisioning;
mod scale_in;
pub(crate) mod scale_out;
