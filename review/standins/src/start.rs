//! What all cases begin and end with.

use crate::cloud::Cloud;
use crate::nodes::Node;
use crate::proxy::Proxy;
use crate::site::{Layout, Site, start_nodes, wait_for};
use crate::state::{Limits, State};
use crate::wire::Client;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A running deployment.
pub struct Deployment {
    pub site: Arc<Site>,
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub nodes: Vec<Node>,
    /// Proxies before the meshes: from controller to controller.
    pub mesh: Arc<Mutex<BTreeMap<(usize, usize), Arc<Proxy>>>>,
    pub repository: String,
    pub trouble: bool,
    folder: PathBuf,
}

/// The folder of this run for settings and logs.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Ends a case that couldn't run.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(2)
}

pub struct Plan {
    /// Machines at the start, by zone.
    pub machines: Vec<&'static str>,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Greatest number of machines.
    pub capacity: usize,
    pub boot_s: f64,
    /// More lines after those of `[facts.state]`.
    pub more: String,
    pub log: &'static str,
}

/// Starts stand-ins and controllers and waits until all answer. Arguments: repository, record file, TROUBLE.
pub fn start(plan: Plan, change: impl FnOnce(&mut Site)) -> Deployment {
    let args: Vec<String> = std::env::args().collect();
    let (repository, record) = (args[1].clone(), args[2].clone());
    let trouble = args.get(3).is_none_or(|t| t != "0");
    std::thread::spawn(|| {
        let limit = std::env::var("REVIEW_LIMIT_S")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(118);
        std::thread::sleep(Duration::from_secs(limit));
        could_not_run("not over in time");
    });
    let folder = folder();
    if std::fs::create_dir_all(&folder).is_err() {
        could_not_run("no temporary folder");
    }
    let mut site = Site::new(&record);
    change(&mut site);
    let site = Arc::new(site);
    let limits = Limits {
        rps: site.state_rps.0,
        write_rps: site.state_rps.1,
        value_bytes: 8192,
        txn_ops: 16,
    };
    let (state, state_addrs) = State::start(3, limits);
    let (cloud, cloud_addr) = Cloud::start(
        site.clone(),
        plan.capacity,
        Duration::from_secs_f64(plan.boot_s),
    );
    let mesh: Arc<Mutex<BTreeMap<(usize, usize), Arc<Proxy>>>> = Arc::default();
    let proxies = mesh.clone();
    let layout = Layout {
        state: state_addrs,
        cloud: cloud_addr,
        mesh: Box::new(move |i, j, target: SocketAddr| {
            let p = Proxy::start(target);
            let addr = p.addr;
            proxies.lock().unwrap().insert((i, j), p);
            addr
        }),
        more: plan.more,
    };
    let nodes = start_nodes(&site, &layout, &folder.display().to_string());
    let d = Deployment {
        site,
        state,
        cloud,
        nodes,
        mesh,
        repository,
        trouble,
        folder,
    };
    d.site.record.line(&format!("trouble: {}", d.trouble));
    for basin in plan.machines {
        d.cloud.add(
            &d.site.rigs[0].text("label"),
            basin,
            plan.spot,
            Duration::from_millis(200),
        );
    }
    for n in &d.nodes {
        if !n.start(&d.repository, plan.log) {
            could_not_run("a controller did not start");
        }
    }
    let healthy = |n: &Node| {
        matches!(
            Client::new(n.api).send("GET", "/healthz", &[], Duration::from_secs(1)),
            Some((200, _))
        )
    };
    if !wait_for(25.0, || {
        d.nodes.iter().all(healthy) && d.state.leader().is_some()
    }) {
        d.logs();
        could_not_run("the controllers are not healthy after 25 s");
    }
    d.site.record.line(&format!(
        "all controllers healthy, {} leads",
        d.state.leader().unwrap_or_default()
    ));
    d
}

impl Deployment {
    /// Index of the controller that holds the key `leader`.
    pub fn leader(&self) -> Option<usize> {
        let name = self.state.leader()?;
        self.nodes.iter().position(|n| n.name == name)
    }

    pub fn logs(&self) {
        for n in &self.nodes {
            for l in n.log_text().lines() {
                self.site.record.line(&format!("log of {}: {l}", n.name));
            }
        }
    }

    /// Ends all processes, and returns the exit code: 1 if a rule was broken.
    pub fn end(self) -> i32 {
        for n in &self.nodes {
            if let Some(status) = n.has_ended() {
                self.site.record.broken(&format!(
                    "a controller ended by itself: {} {status}",
                    n.name
                ));
            }
        }
        self.nodes.iter().for_each(Node::kill);
        self.logs();
        let broken = self.site.record.all_broken();
        for b in &broken {
            println!("broken: {b}");
        }
        println!(
            "{}",
            if broken.is_empty() {
                "the rule held"
            } else {
                "the rule was broken"
            }
        );
        let _ = std::fs::remove_dir_all(&self.folder);
        i32::from(!broken.is_empty())
    }
}
