//! Autoscaling: scale-out for unmet demand, and scale-in of idle, faulty and failed instances.

pub(crate) mod inventory;
pub mod provisioning;
mod scale_in;
pub(crate) mod scale_out;
