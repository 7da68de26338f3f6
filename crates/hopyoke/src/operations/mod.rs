//! What operators see and set: status, completion estimates, settings, staffed hours.

pub(crate) mod estimates;
pub mod settings;
pub(crate) mod staffed_hours;
pub(crate) mod status;
