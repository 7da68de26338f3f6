//! The leader's in-memory view of unfinished jobs, machines, and the task attempts allocated to them.

mod allocation;
mod job;
mod machine;
mod wait_reason;

pub(crate) use allocation::StopRequest;
pub use allocation::{Allocation, AllocationState};
pub use job::{EndRecord, Job, JobRecord, RecordTooLong};
pub(crate) use machine::ImageKey;
pub use machine::{Load, Machine, MachinePhase};
pub use wait_reason::WaitReason;
