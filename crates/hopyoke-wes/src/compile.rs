//! Compiles workflow documents into plans outside the event loop, on a bounded number of threads.

use hopyoke_cwl::command::Description;
use hopyoke_cwl::{Diagnostics, Options, Source, expand, open, yaml};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use hopyoke_workflow::{Plan, RunId, StepNo};
use std::collections::BTreeMap;
use std::sync::mpsc;

/// A document to compile, with its inputs and defaults.
#[derive(Debug, Clone)]
pub struct CompileRequest {
    pub run: RunId,
    /// Name of the document among the files, optionally followed by `#id`.
    pub document: String,
    /// Input values as YAML or JSON.
    pub inputs: String,
    /// Team that the submission asks for.
    pub team: Option<String>,
    /// Team of a run for which neither the submission nor the document names one.
    pub fallback_team: Option<String>,
    pub class: Option<String>,
    /// Image of tools that name none.
    pub image: String,
}

/// A compiled workflow.
#[derive(Debug)]
pub struct CompiledWorkflow {
    pub plan: Plan,
    pub team: String,
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
    pub warnings: Diagnostics,
}

/// A compiled workflow with its plan encoded, as the compiling thread returns it.
#[derive(Debug)]
pub struct EncodedWorkflow {
    /// Plan as JSON.
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

/// Parses and checks a document and expands it into a plan.
///
/// # Errors
/// Returns all diagnostics if any of them is an error.
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

/// The reason why a document was not compiled.
#[derive(Debug, thiserror::Error)]
pub enum CompileError {
    #[error("too many documents are being compiled")]
    Busy,
    #[error("compiling the document timed out")]
    Timeout,
    #[error("{0}")]
    Invalid(Diagnostics),
}

/// Longest time that a client waits for a compilation. Expression evaluation has its own limits.
const COMPILE_TIMEOUT: Micros = Micros::from_secs(30);

/// Compiles documents on a bounded number of threads.
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

    /// Compiles a document on a separate thread without blocking the event loop.
    ///
    /// # Errors
    /// Returns [`CompileError::Invalid`] for a faulty document, [`CompileError::Busy`] if all threads are in
    /// use, and [`CompileError::Timeout`] after 30 s.
    pub async fn compile(
        &self,
        files: BTreeMap<String, String>,
        request: CompileRequest,
    ) -> Result<EncodedWorkflow, CompileError> {
        use std::sync::atomic::Ordering;
        // A thread whose caller has timed out still counts, which bounds the number of running threads.
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
