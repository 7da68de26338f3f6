//! What operators see and set: status, completion estimates, settings, staffed hours.

pub mod estimates;
pub mod settings;
pub mod staffed_hours;
pub mod status;
