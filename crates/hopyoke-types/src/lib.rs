//! Identifiers, counters and times that every other package shares. It depends on nothing of ours.

mod ids;
mod time;

pub use ids::{Attempt, JobId, MachineId, Mark, TaskId, Token};
pub use time::Micros;
