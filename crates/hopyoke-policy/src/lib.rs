//! A small typed expression language for the operators' settings, which complement the platform's configuration file.
//!
//! The file `defaults.policy`, which is compiled into the binary, declares every setting with its type, safe range and default
//! in the same language. An operators' file overrides settings by name:
//!
//! ```text
//! let calm = 20s
//! idle_return = if production_arriving then calm * 3 else calm
//! plan_share = 25%
//! ```
//!
//! [`Policy::load`] checks types and units, names and dependency cycles. By interval arithmetic over the declared ranges of the
//! metrics, it also proves that no setting can leave its safe range, overflow or divide by zero. A file with an error is
//! rejected as a whole. The safe ranges bound the effect of a setting on the service; code that enforces correctness
//! invariants reads no setting.

mod check;
mod diagnostic;
mod eval;
mod syntax;
mod value;

pub use check::{Metric, Policy, Setting};
pub use diagnostic::{Diagnostic, Diagnostics};
pub use eval::{Metrics, Values};
pub use value::{Type, Value, format_value};
