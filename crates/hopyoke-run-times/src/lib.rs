//! Run times learned from past runs of similar work.
//!
//! Observations go in (class, team, owner's estimate, machine, run time); distributions come out: p10, p50 and
//! p90 of a run to come, and of the remaining time of one under way. There is no I/O here, and time is handed in.
//!
//! - [`Learner`]: models by class, team, and altogether; runs under way.
//! - `model`, `view`: two views of each class, its own level and its ratio to the owners'
//!   estimates, weighted by which has predicted better lately; forgetting, and change detection.
//! - `sketch`: quantiles in mergeable sketches (t-digests), of logarithms.
//! - `machines`: speed factor of each machine, apart from what it ran.
//! - `pages`: the models as a few small records in the key-value store.
//! - [`capacity`]: when running tasks will have released enough resources.
//!
//! Estimates order and reserve; they never decide a rule.

pub mod capacity;
mod distribution;
mod learner;
mod machines;
mod model;
mod pages;
mod sketch;
mod view;

pub use distribution::Distribution;
pub use learner::{Basis, Counts, Estimate, Learner, Limits, RunKey, RunOutcome, Workload};
pub use machines::SlowMachine;
pub use pages::{Page, PageError, PageKey};
