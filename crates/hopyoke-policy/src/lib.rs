//! The operators' own settings, beyond the platform's file: a small typed expression language.
//!
//! Every setting is declared, with its type, safe range and default, in the file
//! `defaults.policy` that is shipped in the binary and written in the same language. An
//! operators' file overrides settings by name:
//!
//! ```text
//! let calm = 20s
//! idle_return = if production_arriving then calm * 3 else calm
//! plan_share = 25%
//! ```
//!
//! [`Policy::load`] checks a file whole: types and units, unknown names, cycles, and, by interval
//! arithmetic over the declared ranges of the live figures, that no value that any setting can
//! ever take leaves its safe range, overflows or divides by zero. Nothing of a file with a fault
//! is applied. What a setting may do to the service is bounded by its safe range; no setting is
//! read by code that keeps a rule.

mod check;
mod diagnostic;
mod eval;
mod syntax;
mod value;

pub use check::{Metric, Policy, Setting};
pub use diagnostic::{Diagnostic, Diagnostics};
pub use eval::{Metrics, Values};
pub use value::{Type, Value, format_value};
