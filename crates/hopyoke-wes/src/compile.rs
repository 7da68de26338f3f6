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
pub struct Work {
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
pub struct Compiled {
    pub plan: Plan,
    pub team: String,
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
    pub warnings: Diagnostics,
}

/// The same as it leaves the thread that read it.
#[derive(Debug)]
pub struct Ready {
    /// The plan as JSON.
    pub plan: Vec<u8>,
    pub team: String,
    pub tasks: BTreeMap<StepNo, Vec<Description>>,
}

impl From<Compiled> for Ready {
    fn from(c: Compiled) -> Ready {
        Ready {
            plan: serde_json::to_vec(&c.plan).unwrap_or_default(),
            team: c.team,
            tasks: c.tasks,
        }
    }
}

/// Reads, checks and expands.
///
/// # Errors
/// Every fault.
pub fn compile(source: &dyn Source, work: &Work) -> Result<Compiled, Diagnostics> {
    let (process, mut faults) = open(source, &work.document)?;
    let Some(inputs) = yaml::parse_as("inputs", &work.inputs, &mut faults) else {
        return Err(faults);
    };
    let options = Options {
        team: work.team.clone(),
        fallback_team: work.fallback_team.clone(),
        class: work.class.clone(),
        image: work.image.clone(),
        source: Some(source),
        ..Options::new(work.run)
    };
    match expand(&process, &inputs, &options, &mut faults) {
        Some(x) => Ok(Compiled {
            plan: x.plan,
            team: x.team,
            tasks: x.tasks,
            warnings: faults,
        }),
        None => Err(faults),
    }
}

/// Why there is no plan.
#[derive(Debug, thiserror::Error)]
pub enum NotCompiled {
    #[error("too many documents are being read")]
    Busy,
    #[error("the document took too long to read")]
    TooLong,
    #[error("{0}")]
    Faults(Diagnostics),
}

/// Longest time that a client waits for a document to be read; expressions have bounds of their own.
const LONGEST: Micros = Micros::from_secs(30);

/// Reads documents on threads.
pub struct Readers {
    most: usize,
    busy: std::sync::Arc<std::sync::atomic::AtomicUsize>,
}

impl Readers {
    pub fn new(most: usize) -> Readers {
        Readers {
            most,
            busy: Default::default(),
        }
    }

    /// Compiles on a thread of its own; the event loop goes on meanwhile.
    ///
    /// # Errors
    /// Faults, or that it can't be done now.
    pub async fn compile(
        &self,
        files: BTreeMap<String, String>,
        work: Work,
    ) -> Result<Ready, NotCompiled> {
        use std::sync::atomic::Ordering;
        // A thread that was given up on still counts: so there are never more than that.
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.most {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return Err(NotCompiled::Busy);
        }
        let (done, answer) = mpsc::channel();
        let busy = self.busy.clone();
        let thread = std::thread::Builder::new()
            .name("reader".into())
            .stack_size(8 << 20)
            .spawn(move || {
                let _ = done.send(compile(&files, &work).map(Ready::from));
                busy.fetch_sub(1, Ordering::SeqCst);
            });
        if thread.is_err() {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            return Err(NotCompiled::Busy);
        }
        let until = runtime::now() + LONGEST;
        let mut pause = Micros::from_millis(1);
        loop {
            match answer.try_recv() {
                Ok(result) => return result.map_err(NotCompiled::Faults),
                Err(mpsc::TryRecvError::Disconnected) => return Err(NotCompiled::TooLong),
                Err(mpsc::TryRecvError::Empty) if runtime::now() >= until => {
                    return Err(NotCompiled::TooLong);
                }
                Err(mpsc::TryRecvError::Empty) => {}
            }
            runtime::sleep(pause).await;
            pause = Micros((pause.0 * 2).min(20_000));
        }
    }
}
