//! Operator interface: status page, completion estimates, settings and staffed hours.

pub(crate) mod estimates;
pub mod settings;
pub(crate) mod staffed_hours;
pub(crate) mod status;
