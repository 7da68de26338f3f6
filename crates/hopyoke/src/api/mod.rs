//! The users' interface: jobs, and admission control for new work.

pub mod admission;
pub mod jobs;
