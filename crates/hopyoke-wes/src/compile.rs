//! Documents into plans, away from the event loop: a thread for each, a bounded number of them.

use hopyoke_cwl::command::Description;
use hopyoke_cwl::{Diagnostics, Options, Source, expand, open, yaml};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use hopyoke_workflow::{Plan, RunId, StepNo};
use std::collections::BTreeMap;
use std::sync::mpsc;

/// What is to be read.
#[derive(Debug, Clone)]
pub struct CompileRequest {
    pub run: RunId,
    /// The document, by its name among the files, perhaps with `#id`.
    pub document: String,
    /// Its inputs, as YAML or JSON.
    pub inputs: String,
    pub team: Option<String>,
    pub fallback_team: Option<String>,
    pub class: Option<String>,
    pub image: String,
}

/// A document that can run.
#[derive(Debug)]
pub struct CompiledWorkflow {
    pub plan: Plan,
    pub team: String,
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
    pub warnings: Diagnostics,
}

/// The same as it leaves the thread that read it.
#[derive(Debug)]
pub struct EncodedWorkflow {
    /// The plan as JSON.
    pub plan: Vec<u8>,
    pub team: String,
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
}

impl From<CompiledWorkflow> for EncodedWorkflow {
    fn from(compiled: CompiledWorkflow) -> EncodedWorkflow {
        EncodedWorkflow {
            plan: serde_json::to_vec(&compiled.plan).unwrap_or_default(),
            team: compiled.team,
            tasks: compiled.tasks,
        }
    }
}

/// Reads, checks and expands.
///
/// # Errors
/// Every fault.
pub fn compile(
    source: &dyn Source,
    request: &CompileRequest,
) -> Result<CompiledWorkflow, Diagnostics> {
    let (process, mut diagnostics) = open(source, &request.document)?;
    let Some(inputs) = yaml::parse_as("inputs", &request.inputs, &mut diagnostics) else {
        return Err(diagnostics);
    };
    let options = Options {
        team: request.team.clone(),
        fallback_team: request.fallback_team.clone(),
        class: request.class.clone(),
        image: request.image.clone(),
        source: Some(source),
        ..Options::new(request.run)
    };
    match expand(&process, &inputs, &options, &mut diagnostics) {
        Some(expanded) => Ok(CompiledWorkflow {
            plan: expanded.plan,
            team: expanded.team,
            tasks: expanded.tasks,
            warnings: diagnostics,
        }),
        None => Err(diagnostics),
    }
}

/// Why there is no plan.
#[derive(Debug, thiserror::Error)]
pub enum CompileError {
    #[error("too many documents are being read")]
    Busy,
    #[error("the document took too long to read")]
    Timeout,
    #[error("{0}")]
    Invalid(Diagnostics),
}

/// Longest time that a client waits for a document to be read; expressions have bounds of their own.
const COMPILE_TIMEOUT: Micros = Micros::from_secs(30);

/// Reads documents on threads.
pub struct CompilePool {
    max_threads: usize,
    active: std::sync::Arc<std::sync::atomic::AtomicUsize>,
}

impl CompilePool {
    pub fn new(max_threads: usize) -> CompilePool {
        CompilePool {
            max_threads,
            active: Default::default(),
        }
    }

    /// Compiles on a thread of its own; the event loop goes on meanwhile.
    ///
    /// # Errors
    /// Faults, or that it can't be done now.
    pub async fn compile(
        &self,
        files: BTreeMap<String, String>,
        request: CompileRequest,
    ) -> Result<EncodedWorkflow, CompileError> {
        use std::sync::atomic::Ordering;
        // A thread that was given up on still counts: so there are never more than that.
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.max_threads {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return Err(CompileError::Busy);
        }
        let (sender, receiver) = mpsc::channel();
        let active = self.active.clone();
        let thread = std::thread::Builder::new()
            .name("reader".into())
            .stack_size(8 << 20)
            .spawn(move || {
                let _ = sender.send(compile(&files, &request).map(EncodedWorkflow::from));
                active.fetch_sub(1, Ordering::SeqCst);
            });
        if thread.is_err() {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return Err(CompileError::Busy);
        }
        let deadline = runtime::now() + COMPILE_TIMEOUT;
        let mut poll_interval = Micros::from_millis(1);
        loop {
            match receiver.try_recv() {
                Ok(result) => return result.map_err(CompileError::Invalid),
                Err(mpsc::TryRecvError::Disconnected) => return Err(CompileError::Timeout),
                Err(mpsc::TryRecvError::Empty) if runtime::now() >= deadline => {
                    return Err(CompileError::Timeout);
                }
                Err(mpsc::TryRecvError::Empty) => {}
            }
            runtime::sleep(poll_interval).await;
            poll_interval = Micros((poll_interval.0 * 2).min(20_000));
        }
    }
}
