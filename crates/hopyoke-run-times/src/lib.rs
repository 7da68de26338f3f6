//! Run times learned from past runs of similar work.
//!
//! Observations go in (class, team, owner's estimate, machine, how long it ran); distributions
//! come out: p10, p50 and p90 of a run to come, and of what is left of one that has already run.
//! There is no I/O here, and time is handed in.
//!
//! - [`Learner`]: what is known, by class, team, and altogether; runs under way.
//! - `model`, `view`: two views of each class, its own level and its ratio to the owners'
//!   estimates, weighed by which has predicted better lately; forgetting, and detection of change.
//! - `sketch`: quantiles in mergeable sketches (t-digests), of logarithms.
//! - `machines`: how fast each machine is, apart from what it ran.
//! - `pages`: what is known, as a few small records.
//! - [`capacity`]: when running tasks will have made room.
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
pub use learner::{Basis, End, Estimate, Learner, Limits, RunKey, Work};
pub use machines::Slow;
pub use pages::{Page, PageKey};
