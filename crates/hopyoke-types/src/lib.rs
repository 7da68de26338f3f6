//! Identifiers, counters and times that all packages of hopyoke share. It depends on none of them.

mod ids;
mod time;

pub use ids::{Attempt, FencingToken, JobId, MachineId, ModRevision, TaskId};
pub use time::Micros;
