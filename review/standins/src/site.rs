//! A small deployment on loopback, and the rules that are checked on what happens in it.

use crate::map;
use crate::nodes::{Node, free_addresses};
use crate::record::Record;
use crate::wire::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

#[derive(Default)]
struct Seen {
    specs: BTreeMap<String, Value>,
    /// Machines on which a task is.
    places: BTreeMap<String, BTreeSet<String>>,
    cancelled: BTreeMap<String, f64>,
    done: BTreeSet<String>,
    starts: Vec<(f64, String, String)>,
    run_s: BTreeMap<String, f64>,
    gangs: BTreeMap<(String, u64), BTreeSet<String>>,
}

pub struct Site {
    pub record: Record,
    pub rigs: Vec<Value>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub zones: [&'static str; 3],
    /// Name, guaranteed GPUs and most GPUs of each team.
    pub teams: Vec<(&'static str, u32, u32)>,
    /// Requests and changes a second of the state service.
    pub state_rps: (f64, f64),
    pub list_lag_s: f64,
    /// `[facts.cloud]` and `[facts.machine_limits]`.
    pub limits: &'static str,
    nodes: Mutex<Vec<(String, SocketAddr)>>,
    seen: Mutex<Seen>,
    seed: AtomicU64,
    /// Of this share of the workers' reports, in percent, a copy arrives again later, at every controller.
    pub copy_share: AtomicU64,
}

impl Site {
    /// The figures of bangkarera-hire in the brief.
    pub fn new(record: &str) -> Site {
        let zones = ["pasigeast", "pasigwest", "lagunaside"];
        Site {
            record: Record::new(record),
            rigs: vec![map! {
                "label" => "bancarig", "cpus" => 16.0, "cards" => 2.0, "mem_gb" => 64.0, "cache_gb" => 70.0,
                "fetch_gb_per_s" => 0.6, "price" => 7.19, "spot_price" => 2.64, "boot_s" => 45.0,
                "basins" => zones.map(Value::from).to_vec(),
            }],
            report_s: 2.0,
            lease_s: 14.0,
            cancel_s: 34.0,
            zones,
            teams: vec![
                ("bookingdesk", 8, 16),
                ("fleetwatch", 16, 64),
                ("ledgermove", 16, 40),
                ("skipperops", 10, 40),
                ("dockworks", 16, 56),
            ],
            state_rps: (150.0, 25.0),
            list_lag_s: 4.0,
            limits: "[facts.cloud]\nrps = 5.0\nlist_lag_s = 4.0\n\n[facts.machine_limits]\ncores = 0.096\nmem_mb = 56.0\nmax_connections = 1500\n",
            nodes: Mutex::default(),
            seen: Mutex::default(),
            seed: AtomicU64::new(u64::from(std::process::id()) * 2_654_435_761 + 12_345),
            copy_share: AtomicU64::new(0),
        }
    }

    /// The figures of heirloomlane in the brief.
    pub fn become_heirloomlane(&mut self) {
        self.zones = ["portsmouth", "worcester", "burlington"];
        self.rigs = vec![map! {
            "label" => "snapbox", "cpus" => 16.0, "cards" => 2.0, "mem_gb" => 96.0, "cache_gb" => 70.0,
            "fetch_gb_per_s" => 0.6, "price" => 6.66, "spot_price" => 2.59, "boot_s" => 35.0,
            "basins" => self.zones.map(Value::from).to_vec(),
        }];
        (self.report_s, self.lease_s, self.cancel_s) = (3.0, 38.0, 63.0);
        self.teams = vec![
            ("albumcrew", 16, 40),
            ("archivecrew", 24, 64),
            ("supportdesk", 8, 40),
            ("billingdesk", 16, 48),
        ];
        self.state_rps = (200.0, 60.0);
        self.list_lag_s = 8.0;
        self.limits = "[facts.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n\n[facts.machine_limits]\ncores = 0.16\nmem_mb = 136.0\nmax_connections = 3000\n";
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        *self.nodes.lock().unwrap() = nodes;
    }
    pub fn nodes(&self) -> Vec<(String, SocketAddr)> {
        self.nodes.lock().unwrap().clone()
    }
    pub fn rig(&self, label: &str) -> Value {
        self.rigs
            .iter()
            .find(|r| r.text("label") == label)
            .cloned()
            .unwrap_or(Value::Nil)
    }

    pub fn random(&self, below: u64) -> u64 {
        let mut x = self
            .seed
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        (x >> 16) % below.max(1)
    }

    /// Users upload a job's description, which workers fetch.
    pub fn upload(&self, id: &str, spec: &Value) {
        self.seen
            .lock()
            .unwrap()
            .specs
            .insert(id.into(), spec.clone());
    }
    pub fn spec(&self, id: &str) -> Option<Value> {
        self.seen.lock().unwrap().specs.get(id).cloned()
    }
    pub fn set_run_s(&self, job: &str, seconds: f64) {
        self.seen.lock().unwrap().run_s.insert(job.into(), seconds);
    }
    /// Run time of a task: one whose result is kept ends at once.
    pub fn run_s(&self, oar: &str) -> f64 {
        let seen = self.seen.lock().unwrap();
        let job = oar.split('/').next().unwrap_or("");
        let spec = seen.specs.get(job).cloned().unwrap_or(Value::Nil);
        if seen.done.contains(oar) {
            return 0.0;
        }
        if spec.text("hull") == "daemon" {
            return 1e9;
        }
        seen.run_s
            .get(job)
            .copied()
            .unwrap_or(spec.float("voyage_s"))
    }
    /// A task has completed. A gang completes as a whole.
    pub fn task_done(&self, oar: &str) {
        let mut seen = self.seen.lock().unwrap();
        let job = oar.split('/').next().unwrap_or("").to_owned();
        let spec = seen.specs.get(&job).cloned().unwrap_or(Value::Nil);
        if spec.text("hull") == "group" {
            let oars = spec.int("oars").unwrap_or(1);
            seen.done.extend((0..oars).map(|i| format!("{job}/{i}")));
        }
        seen.done.insert(oar.into());
    }
    pub fn is_done(&self, oar: &str) -> bool {
        self.seen.lock().unwrap().done.contains(oar)
    }
    /// Number of a job's tasks that have completed.
    pub fn done_of(&self, job: &str) -> u64 {
        let prefix = format!("{job}/");
        self.seen
            .lock()
            .unwrap()
            .done
            .iter()
            .filter(|o| o.starts_with(&prefix))
            .count() as u64
    }
    pub fn told_cancelled(&self, id: &str) {
        let now = self.record.now();
        self.seen
            .lock()
            .unwrap()
            .cancelled
            .entry(id.into())
            .or_insert(now);
    }
    pub fn starts_of(&self, job: &str) -> Vec<(f64, String, String)> {
        let prefix = format!("{job}/");
        let seen = self.seen.lock().unwrap();
        seen.starts
            .iter()
            .filter(|s| s.1.starts_with(&prefix))
            .cloned()
            .collect()
    }
    pub fn places_of(&self, job: &str) -> Vec<(String, String)> {
        let prefix = format!("{job}/");
        let seen = self.seen.lock().unwrap();
        seen.places
            .iter()
            .filter(|(o, _)| o.starts_with(&prefix))
            .flat_map(|(o, m)| m.iter().map(|m| (o.clone(), m.clone())))
            .collect()
    }

    pub fn gang_waits(&self, oar: &str, launch: u64, _vessel: &str) {
        let job = oar.split('/').next().unwrap_or("").to_owned();
        self.seen
            .lock()
            .unwrap()
            .gangs
            .entry((job, launch))
            .or_default()
            .insert(oar.into());
    }
    pub fn gang_is_complete(&self, oar: &str, launch: u64) -> bool {
        let job = oar.split('/').next().unwrap_or("").to_owned();
        let seen = self.seen.lock().unwrap();
        let size = seen
            .specs
            .get(&job)
            .and_then(|s| s.int("oars"))
            .unwrap_or(1);
        seen.gangs
            .get(&(job, launch))
            .is_some_and(|g| g.len() as u64 >= size)
    }

    /// A task has its image: from now on it is on the machine. Checks `ran_twice` and `ran_cancelled`.
    pub fn entered(&self, vessel: &str, basin: &str, oar: &str, launch: u64) {
        let now = self.record.now();
        self.record
            .line(&format!("{vessel} ({basin}) starts {oar} launch={launch}"));
        let mut seen = self.seen.lock().unwrap();
        let job = oar.split('/').next().unwrap_or("").to_owned();
        seen.starts.push((now, oar.into(), vessel.into()));
        let places = seen.places.entry(oar.into()).or_default();
        let others: Vec<String> = places.iter().filter(|m| *m != vessel).cloned().collect();
        places.insert(vessel.into());
        if !others.is_empty() {
            self.record.broken(&format!(
                "ran_twice: {oar} starts on {vessel} while it is on {}",
                others.join(", ")
            ));
        }
        if let Some(at) = seen.cancelled.get(&job)
            && now > at + self.cancel_s
        {
            self.record.broken(&format!(
                "ran_cancelled: {oar} starts on {vessel} {:.1} s after its user was told that the job is cancelled (bound {} s)",
                now - at,
                self.cancel_s
            ));
        }
    }

    pub fn left(&self, vessel: &str, oar: &str, launch: u64, why: &str) {
        self.record
            .line(&format!("{vessel} {oar} launch={launch} exits: {why}"));
        let mut seen = self.seen.lock().unwrap();
        if let Some(p) = seen.places.get_mut(oar) {
            p.remove(vessel);
        }
    }

    /// Checks that no task of a cancelled job is on a machine past the bound.
    pub fn check_cancelled(&self) {
        let now = self.record.now();
        let seen = self.seen.lock().unwrap();
        for (oar, places) in seen.places.iter().filter(|(_, p)| !p.is_empty()) {
            let job = oar.split('/').next().unwrap_or("");
            if let Some(at) = seen.cancelled.get(job)
                && now > at + self.cancel_s
            {
                self.record.broken(&format!(
                    "ran_cancelled: {oar} is on {places:?} {:.1} s after",
                    now - at
                ));
            }
        }
    }
}

/// The state service's and others' addresses for each controller, and what the settings say beyond the usual.
pub struct Layout {
    pub state: Vec<SocketAddr>,
    pub cloud: SocketAddr,
    /// Address at which controller `i` reaches the mesh of controller `j`; `None`: directly.
    pub mesh: Box<dyn Fn(usize, usize, SocketAddr) -> SocketAddr>,
    /// Lines after `txn_ops` in `[facts.state]` and the like.
    pub more: String,
}

/// Writes the settings of three controllers, as DEPLOY-hopyoke shows them, and starts the processes.
pub fn start_nodes(site: &Site, layout: &Layout, folder: &str) -> Vec<Node> {
    let free = free_addresses(6);
    let name = |i: usize| format!("mooring-{i}");
    let nodes: Vec<Node> = (0..3)
        .map(|i| {
            let mut t = format!(
                "node = \"{}\"\nzone = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n",
                name(i),
                site.zones[i],
                free[i],
                free[3 + i]
            );
            for j in (0..3).filter(|j| *j != i) {
                let endpoint = (layout.mesh)(i, j, free[3 + j]);
                t += &format!("\n[[others]]\nnode = \"{}\"\nzone = \"{}\"\nendpoint = \"{endpoint}\"\n", name(j), site.zones[j]);
            }
            t += &format!("\n[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", layout.cloud, layout.state[i]);
            t += &format!("\n[facts]\nnodes = 3\nzones = {:?}\nskew_ms = 250.0\n", site.zones);
            for (team, gpus, most) in &site.teams {
                t += &format!("\n[[facts.teams]]\nname = \"{team}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus}.0\ngpus_max = {most}.0\n");
            }
            t += &format!(
                "\n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = {:?}\n",
                site.report_s, site.lease_s, site.cancel_s
            );
            let (rps, write_rps) = site.state_rps;
            t += &format!("\n[facts.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = 8.0\ntxn_ops = 16\n");
            t += &layout.more;
            t += &format!("\n{}", site.limits);
            Node::new(&name(i), free[i], free[3 + i], &t, folder)
        })
        .collect();
    site.set_nodes(nodes.iter().map(|n| (n.name.clone(), n.api)).collect());
    nodes
}

/// Waits until `condition` holds, for `limit_s` at the most.
pub fn wait_for(limit_s: f64, mut condition: impl FnMut() -> bool) -> bool {
    let mut left = (limit_s * 50.0) as u64;
    loop {
        if condition() {
            return true;
        }
        if left == 0 {
            return false;
        }
        left -= 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}
