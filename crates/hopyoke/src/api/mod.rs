//! The user API: submission, status and cancellation of jobs, and admission control.

pub(crate) mod admission;
pub(crate) mod deadline;
pub(crate) mod jobs;
