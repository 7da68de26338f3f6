//! Experiments on the emulator.
//!
//! - [`generate`]: traces from a seeded generator, named as such.
//! - [`replay`]: a history against stand-in workers in virtual time, with the real core.
//! - [`figures`]: what came out, in numbers.
//! - [`flows`]: runs of workflows on real processes on loopback.
//! - [`report`]: the same as a self-contained HTML page with plots.

pub mod figures;
pub mod flows;
pub mod generate;
pub mod replay;
pub mod report;
