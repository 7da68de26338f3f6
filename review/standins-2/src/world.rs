//! What the stand-ins share: servers on loopback, the record of a run, and the jobs that users uploaded.

use hopyoke_event_loop::http::{self, OpenConnections, Request, Response, ServerLimits};
use hopyoke_event_loop::{self as runtime, CancellationToken, TcpListener};
use hopyoke_types::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;

/// The record of a run: `record.txt`, and the lines that say which rule was broken.
#[derive(Default)]
pub struct Record {
    file: RefCell<Option<std::fs::File>>,
    pub broken: RefCell<Vec<String>>,
}

impl Record {
    pub fn open(path: &str) -> Rc<Record> {
        Rc::new(Record {
            file: RefCell::new(std::fs::File::create(path).ok()),
            ..Record::default()
        })
    }
    pub fn line(&self, text: &str) {
        if let Some(f) = &mut *self.file.borrow_mut() {
            let _ = writeln!(f, "{:9.3} {text}", runtime::now().as_secs_f64());
        }
    }
    pub fn broken(&self, text: &str) {
        self.line(&format!("BROKEN {text}"));
        self.broken.borrow_mut().push(text.to_owned());
    }
}

/// A job as its user uploaded it.
#[derive(Debug, Clone)]
pub struct Upload {
    pub spec: Value,
    /// Run time of a task.
    pub run_s: f64,
}

impl Upload {
    pub fn num(&self, field: &str) -> f64 {
        self.spec[field].as_f64().unwrap_or(0.0)
    }
    pub fn text(&self, field: &str) -> &str {
        self.spec[field].as_str().unwrap_or("")
    }
}

pub type Uploads = Rc<RefCell<BTreeMap<String, Upload>>>;

/// Length of a value as compact JSON, in which the pages count size limits.
pub fn json_len(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |t| t.len())
}

/// Serves requests on a free loopback port.
pub fn serve<F, G>(handler: F) -> SocketAddr
where
    F: Fn(Request) -> G + 'static,
    G: Future<Output = Response> + 'static,
{
    serve_until(
        CancellationToken::new(),
        SocketAddr::from(([127, 0, 0, 1], 0)),
        handler,
    )
    .expect("no free port")
}

/// Like [`serve`], at an address, until cancelled.
pub fn serve_until<F, G>(
    cancel: CancellationToken,
    at: SocketAddr,
    handler: F,
) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> G + 'static,
    G: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(at)?;
    let addr = listener.local_addr()?;
    let limits = ServerLimits {
        max_connections: 4000,
        max_persistent_connections: 4000,
        idle_timeout: Micros::from_secs(600),
        request_timeout: Micros::from_secs(30),
        max_body_bytes: 1 << 20,
    };
    let handler = Rc::new(move |r: Request| Box::pin(handler(r)) as _);
    let token = cancel.clone();
    runtime::spawn_until(cancel, async move {
        http::serve(listener, limits, OpenConnections::default(), token, handler).await;
    });
    Ok(addr)
}

/// Splits a request target into its path and its query.
pub fn target(path: &str) -> (&str, BTreeMap<String, String>) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    (
        path,
        pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
    )
}

/// An answer that never comes.
pub async fn lost_answer() -> Response {
    std::future::pending().await
}
