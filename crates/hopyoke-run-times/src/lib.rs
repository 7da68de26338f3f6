//! Predicts run times from past runs of similar work.
//!
//! The input is observations (class, team, owner's estimate, machine, run time). The output is
//! distributions (p10, p50, p90) of the run time of a future run and of the remaining time of an
//! active one. The crate performs no I/O and reads no clock: callers pass the time.
//!
//! - [`Learner`]: models per class, per team and for all work, and the active runs.
//! - `model`, `view`: each class is modelled in two views, absolute run time and ratio to the owner's
//!   estimate, weighted by recent prediction error, with exponential decay and change detection.
//! - `sketch`: quantiles of log run times in mergeable sketches (t-digests).
//! - `machines`: speed factor of each machine, independent of the work that it ran.
//! - `pages`: persistence of the models as a few small records in the key-value store.
//! - [`capacity`]: when running tasks will have released enough resources.
//!
//! Estimates influence ordering and reservations; no scheduling invariant depends on them.

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
