//! Identifiers, counters and times that every other package shares. It depends on nothing of ours.

mod ids;
mod time;

pub use ids::{Attempt, FencingToken, JobId, MachineId, ModRevision, TaskId};
pub use time::Micros;
