//! The leader's ledger: jobs, machines, and the allocations of tasks on them.

mod allocation;
mod job;
mod machine;
mod wait_reason;

pub use allocation::{Allocation, AllocationState, Stop};
pub use job::{EndRecord, Job, JobRecord};
pub use machine::{ImageKey, Load, Machine, MachinePhase};
pub use wait_reason::WaitReason;
