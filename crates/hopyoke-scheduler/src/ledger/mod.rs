//! The leader's ledger: jobs, machines, and the allocations of tasks on them.

mod allocation;
mod job;
mod machine;
mod wait_reason;

pub(crate) use allocation::StopRequest;
pub use allocation::{Allocation, AllocationState};
pub use job::{EndRecord, Job, JobRecord};
pub(crate) use machine::ImageKey;
pub use machine::{Load, Machine, MachinePhase};
pub use wait_reason::WaitReason;
