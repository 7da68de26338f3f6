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

/// What a deployment's site file says, as far as the stand-ins need it.
pub struct Config {
    pub zones: [&'static str; 3],
    pub rig: &'static str,
    pub cpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cores: f64,
    pub mem_mb: f64,
    pub max_connections: u32,
    /// Machines that are up at the start, by zone.
    pub up: [u32; 3],
    /// Team, GPUs guaranteed, GPUs at most.
    pub teams: [(&'static str, f64, f64); 5],
}

pub static HIRE: Config = Config {
    zones: ["pasigeast", "pasigwest", "lagunaside"],
    rig: "bancarig",
    cpus: 16.0,
    cards: 2.0,
    mem_gb: 64.0,
    cache_gb: 70.0,
    fetch_gb_per_s: 0.6,
    price: 7.19,
    spot_price: 2.64,
    boot_s: 45.0,
    report_s: 2.0,
    lease_s: 14.0,
    gang_wait_s: 50.0,
    cancel_s: 34.0,
    rps: 150.0,
    write_rps: 25.0,
    cloud_rps: 5.0,
    list_lag_s: 4.0,
    cores: 0.096,
    mem_mb: 56.0,
    max_connections: 1500,
    up: [1, 1, 2],
    teams: [
        ("bookingdesk", 8.0, 16.0),
        ("fleetwatch", 16.0, 64.0),
        ("ledgermove", 16.0, 40.0),
        ("skipperops", 10.0, 40.0),
        ("dockworks", 16.0, 56.0),
    ],
};

/// `heirloomlane`, of whose machine types only the smaller one is offered. It has four teams.
pub static LANE: Config = Config {
    zones: ["portsmouth", "worcester", "burlington"],
    rig: "snapbox",
    cpus: 16.0,
    cards: 2.0,
    mem_gb: 96.0,
    cache_gb: 120.0,
    fetch_gb_per_s: 1.0,
    price: 6.66,
    spot_price: 2.59,
    boot_s: 35.0,
    report_s: 3.0,
    lease_s: 38.0,
    gang_wait_s: 40.0,
    cancel_s: 63.0,
    rps: 200.0,
    write_rps: 60.0,
    cloud_rps: 3.0,
    list_lag_s: 8.0,
    cores: 0.16,
    mem_mb: 136.0,
    max_connections: 3000,
    up: [0, 0, 0],
    teams: [
        ("albumcrew", 16.0, 40.0),
        ("archivecrew", 24.0, 64.0),
        ("supportdesk", 8.0, 40.0),
        ("billingdesk", 16.0, 48.0),
        ("", 0.0, 0.0),
    ],
};

static CONFIG: std::sync::OnceLock<&'static Config> = std::sync::OnceLock::new();

/// Chooses the deployment; before anything is started.
pub fn choose(config: &'static Config) {
    let _ = CONFIG.set(config);
}

pub fn cfg() -> &'static Config {
    CONFIG.get_or_init(|| &HIRE)
}
