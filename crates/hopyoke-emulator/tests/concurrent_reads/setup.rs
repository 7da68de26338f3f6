//! Test clusters, and injected latency of their stores.

use crate::history::Request;
use crate::users::{NODES, Users, ms};
use hopyoke_emulator::{Cluster, ClusterConfig, InjectedLatency};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Returns the controller executable, which is in the parent of the directory of the test executable.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let dir = test
        .parent()
        .and_then(Path::parent)
        .expect("target/PROFILE/deps");
    let path = dir.join("hopyoke");
    assert!(
        path.is_file(),
        "{} not found; run `cargo build --release`",
        path.display()
    );
    path
}

/// Starts a cluster with high request limits, and waits until it has run a job.
pub(crate) async fn cluster(name: &str) -> Cluster {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&dir);
    let config = ClusterConfig {
        max_machines: 4,
        max_requests_per_s: 9000.0,
        max_writes_per_s: 3000.0,
        ..ClusterConfig::new(&program(), &dir)
    };
    let cluster = Cluster::start(config).expect("a cluster");
    let users = Users::new(&cluster);
    let first = users.job(1, 0.1);
    users.submit_until_accepted(&first, 0).await;
    for node in (0..NODES).cycle() {
        if users.send(&first, node, Request::Poll).await.is_final() {
            return cluster;
        }
        runtime::sleep(ms(30)).await;
    }
    unreachable!("the loop ends with an expected answer")
}

pub(crate) fn run_on_event_loop<F: Future<Output = ()> + 'static>(test: F) {
    let done = Rc::new(Cell::new(false));
    let flag = done.clone();
    runtime::run(async move {
        test.await;
        flag.set(true);
    })
    .expect("an event loop");
    assert!(done.get());
}

/// Returns latency before and after the execution of a request.
pub(crate) fn latency(before: Micros, after: Micros) -> InjectedLatency {
    InjectedLatency { before, after }
}

/// Adds random latency, before and after execution, to about half of the requests that read or write job records.
pub(crate) fn slow_down_records(cluster: &Cluster) {
    let rng = RefCell::new(StdRng::seed_from_u64(2035));
    let read_index_queries = Cell::new(0);
    let rule = move |request: &runtime::http::Request| {
        let random_latency = |max_ms: u64| {
            let mut rng = rng.borrow_mut();
            ms(if rng.random_bool(0.5) {
                rng.random_range(0..=max_ms)
            } else {
                0
            })
        };
        let body = String::from_utf8_lossy(&request.body);
        let path = &request.path;
        if path.starts_with("/kv/job/") || path.starts_with("/kv/end/") {
            latency(random_latency(10), random_latency(40))
        } else if path == "/multi" && body.contains("end/") {
            latency(random_latency(60), random_latency(40))
        } else if path.starts_with("/changes?under=job/") && !path.ends_with("wait_ms=0") {
            // The watch is slower than the queries of waiting reads.
            latency(random_latency(10), ms(300) + random_latency(500))
        } else if path.starts_with("/changes?under=job/") {
            // Every tenth query is so slow that a node that has forwarded a poll to the leader answers the poll itself.
            read_index_queries.set(read_index_queries.get() + 1u32);
            latency(
                random_latency(10),
                if read_index_queries.get().is_multiple_of(10) {
                    ms(650)
                } else {
                    random_latency(120)
                },
            )
        } else {
            InjectedLatency::default()
        }
    };
    *cluster.store.latency.borrow_mut() = Some(Box::new(rule));
}

/// Returns the node in the leader record, or `None` if there is no leader.
pub(crate) fn leader(cluster: &Cluster) -> Option<usize> {
    let name = cluster.store.get("leader")?;
    name.get("node")
        .and_then(Value::as_str)?
        .strip_prefix("node-")?
        .parse()
        .ok()
}
