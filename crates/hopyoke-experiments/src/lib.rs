//! Experiments on simulated and emulated clusters.
//!
//! - [`generate`]: synthetic workload traces.
//! - [`replay`]: replays of workload traces on simulated workers in virtual time, with the production scheduler.
//! - [`figures`]: accuracy of the predicted completion times in a replay.
//! - [`flows`]: workflow runs on an emulated cluster with real controller processes.
//! - [`report`]: replay results as a self-contained HTML page with plots.

pub mod figures;
pub mod flows;
pub mod generate;
pub mod replay;
pub mod report;
