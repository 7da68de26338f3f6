//! The leader's ledger: jobs, machines, and the allocations of tasks on them.

mod allocation;
mod job;
mod machine;

pub use allocation::{Allocation, AllocationState, Stop};
pub use job::{EndRecord, Job, JobRecord};
pub use machine::{ImageKey, Load, Machine, MachinePhase};
