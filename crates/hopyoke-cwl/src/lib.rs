//! Compiles Common Workflow Language (CWL) v1.2 documents.
//!
//! A document is parsed, validated and expanded with its inputs into a [`hopyoke_workflow::Plan`] and
//! one description per task.
//!
//! - [`yaml`]: parses YAML and JSON into a tree of nodes with source positions, limited in size and depth.
//! - [`load`]: resolves `$import`, `$include`, `$graph` and references between files.
//! - [`read`]: turns the tree into processes and reports every error with its position.
//! - [`check`]: validates links, types and required features.
//! - [`expr`], [`js`]: evaluate parameter references, and JavaScript with time and memory limits.
//! - [`mod@expand`]: expands a validated document and its inputs into a plan.
//! - [`graph`]: renders a workflow as DOT and SVG.
//!
//! Controllers never read CWL: a separate process compiles documents and submits plans. The scheduler
//! protocol reports only that a task is done, so the engine does not know values that a task computes.
//! It does know output files, because their locations follow from the run, the step and the task index.
//! A value known only after a task has run can be passed on to other tasks, but whatever needs it for the
//! expansion itself, such as an expression or a scatter, is rejected with the name of that value.

pub mod check;
pub mod command;
pub mod diagnostic;
pub mod expand;
pub mod expr;
pub mod graph;
pub mod hints;
pub mod js;
pub mod load;
pub mod model;
pub mod read;
mod scatter;
pub mod types;
pub mod yaml;

pub use diagnostic::{Diagnostic, Diagnostics, Level, Pos};
pub use expand::{Expanded, Options, expand};
pub use load::{Documents, Source};
pub use model::Process;

/// Reads and validates a document.
///
/// Warnings are returned together with the process.
///
/// # Errors
/// Returns all errors and warnings, with positions, if there is at least one error.
pub fn open(
    source: &dyn Source,
    name: &str,
) -> Result<(std::rc::Rc<Process>, Diagnostics), Diagnostics> {
    let mut diagnostics = Diagnostics::default();
    let mut documents = Documents::new(source);
    let process = documents.process(name, &mut diagnostics);
    if let Some(p) = &process
        && !diagnostics.has_errors()
    {
        check::check(p, &mut diagnostics);
    }
    match process {
        Some(p) if !diagnostics.has_errors() => Ok((p, diagnostics)),
        _ => Err(diagnostics),
    }
}
