//! Documents of the Common Workflow Language, v1.2: read, checked whole, and expanded with their
//! inputs into a [`hopyoke_workflow::Plan`] and a description for each task.
//!
//! - [`yaml`]: YAML and JSON into a tree of nodes with places, bounded in size and depth.
//! - [`load`]: `$import`, `$include`, `$graph` and references between files.
//! - [`read`]: the tree into processes; every fault with its place.
//! - [`check`]: what the documents ask of each other: links, types, features.
//! - [`expr`], [`js`]: parameter references, and JavaScript bounded in time and memory.
//! - [`mod@expand`]: a checked document and its inputs into a plan.
//! - [`graph`]: a workflow as DOT and SVG.
//!
//! Controllers never read documents: whoever speaks CWL runs in a process of its own and hands them
//! plans. The scheduler's protocol says of a task only that it is done, so values that a task
//! computes are not known to the engine. Files are: their names follow from run, step and place.
//! What depends on a value that only a task's run can tell is refused by name.

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

/// Reads and checks a document.
///
/// # Errors
/// Every fault, with its place. Warnings alone are no error; they come with the process.
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
