//! JavaScript expressions by an embedded engine, bounded in time, memory and stack.
//!
//! Nothing but the language itself can be reached: no files, no network, no clock but the engine's.

use crate::expr::{DEFERRED_CLASS, EvalContext, EvalError};
use rquickjs::{Context, Runtime};
use serde_json::Value;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

/// Bounds of one engine.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Of one expression.
    pub per_expression: Duration,
    /// Of all expressions of a document together.
    pub total: Duration,
    pub memory: usize,
    pub stack: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            per_expression: Duration::from_secs(1),
            total: Duration::from_secs(20),
            memory: 64 << 20,
            stack: 256 << 10,
        }
    }
}

/// The longest result, as JSON.
const MAX_RESULT_BYTES: usize = 1 << 20;

/// An engine; each expression gets a context of its own, so none sees what another left.
pub struct JsEngine {
    runtime: Runtime,
    limits: Limits,
    /// Milliseconds since `START` at which the running expression is stopped.
    deadline: Arc<AtomicU64>,
    spent: Rc<Cell<Duration>>,
}

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn millis_since_start() -> u64 {
    START.elapsed().as_millis() as u64
}

impl JsEngine {
    /// # Errors
    /// If the engine cannot be set up.
    pub fn new(limits: Limits) -> Result<JsEngine, EvalError> {
        let runtime = Runtime::new().map_err(|e| EvalError::Script(e.to_string()))?;
        runtime.set_memory_limit(limits.memory);
        runtime.set_max_stack_size(limits.stack);
        let deadline = Arc::new(AtomicU64::new(u64::MAX));
        let until = deadline.clone();
        runtime.set_interrupt_handler(Some(Box::new(move || {
            millis_since_start() > until.load(Ordering::Relaxed)
        })));
        Ok(JsEngine {
            runtime,
            limits,
            deadline,
            spent: Rc::default(),
        })
    }

    /// The value of an expression (`$(...)`) or of a function's body (`${...}`).
    ///
    /// # Errors
    /// What it threw, that it took too long or too much, or that it needs a value not known yet.
    pub fn evaluate(
        &self,
        code: &str,
        block: bool,
        library: &[String],
        context: &EvalContext,
    ) -> Result<Value, EvalError> {
        let budget = self
            .limits
            .total
            .saturating_sub(self.spent.get())
            .min(self.limits.per_expression);
        if budget.is_zero() {
            let limit = self.limits.total.as_secs();
            return Err(EvalError::Script(format!(
                "the document's expressions took more than {limit} s together"
            )));
        }
        let started = Instant::now();
        self.deadline.store(
            millis_since_start() + budget.as_millis() as u64,
            Ordering::Relaxed,
        );
        let result = self.run(&program(code, block, library, context));
        self.deadline.store(u64::MAX, Ordering::Relaxed);
        self.spent.set(self.spent.get() + started.elapsed());
        let text = result.map_err(|message| match message.split_once(DEFERRED_ERROR) {
            Some((_, of)) => {
                EvalError::Deferred(of.split('\'').next().unwrap_or_default().to_owned())
            }
            None if started.elapsed() >= budget => {
                EvalError::Script(format!("it took more than {:.1} s", budget.as_secs_f64()))
            }
            None => EvalError::Script(message),
        })?;
        if text.len() > MAX_RESULT_BYTES {
            return Err(EvalError::Script(format!(
                "its value has {} bytes; at most {MAX_RESULT_BYTES} are taken",
                text.len()
            )));
        }
        serde_json::from_str(&text)
            .map_err(|e| EvalError::Script(format!("its value is not JSON: {e}")))
    }

    fn run(&self, program: &str) -> Result<String, String> {
        let context = Context::full(&self.runtime).map_err(|e| e.to_string())?;
        context.with(|ctx| {
            ctx.eval::<String, _>(program).map_err(|e| {
                let thrown = ctx.catch();
                let message = thrown
                    .as_exception()
                    .map(|x| x.message().unwrap_or_default());
                let text = || thrown.as_string().and_then(|s| s.to_string().ok());
                message
                    .or_else(text)
                    .filter(|s| !s.is_empty())
                    .unwrap_or_else(|| e.to_string())
            })
        })
    }
}

const DEFERRED_ERROR: &str = "hopyoke: not known yet: '";

/// Values that are not known yet throw when they are looked into.
fn program(code: &str, block: bool, library: &[String], context: &EvalContext) -> String {
    let value = |v: &Value| serde_json::to_string(&v.to_string()).unwrap_or_default();
    let body = if block {
        code.to_owned()
    } else {
        format!("return ({code}\n);")
    };
    format!(
        r#""use strict";
const __later = (v) => {{
  if (v === null || typeof v !== 'object') return v;
  if (v['class'] === '{DEFERRED_CLASS}') {{
    const no = () => {{ throw new Error("{DEFERRED_ERROR}" + v.of + "'"); }};
    return new Proxy(v, {{ get: (t, k) => k === 'toJSON' ? () => v : no(), has: no, ownKeys: no }});
  }}
  for (const k of Object.keys(v)) v[k] = __later(v[k]);
  return v;
}};
const inputs = __later(JSON.parse({inputs}));
const self = __later(JSON.parse({self_value}));
const runtime = __later(JSON.parse({runtime}));
const __value = (0, function () {{ {library}
;return (function () {{ {body}
}})(); }})();
JSON.stringify(__value === undefined ? null : __value)"#,
        inputs = value(&context.inputs),
        self_value = value(&context.self_value),
        runtime = value(&context.runtime),
        library = library.join("\n;"),
    )
}
