//! The users' interface: jobs, and admission control for new work.

pub(crate) mod admission;
pub(crate) mod deadline;
pub(crate) mod jobs;
