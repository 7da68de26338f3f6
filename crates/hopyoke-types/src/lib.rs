//! Identifiers, counters and times shared by all hopyoke crates. This crate depends on no other hopyoke crate.

mod ids;
mod time;

pub use ids::{Attempt, FencingToken, JobId, MachineId, ModRevision, TaskId};
pub use time::Micros;
