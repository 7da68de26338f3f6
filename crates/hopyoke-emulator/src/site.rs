//! A whole site: stand-ins in this process, controllers in theirs.

use crate::cloud::Cloud;
use crate::state::State;
use crate::worker::Works;
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_types::Micros;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The controllers' program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub dir: PathBuf,
    pub controllers: usize,
    pub machines: usize,
    /// Teams with their guaranteed and most GPUs; CPUs are not limited.
    pub teams: Vec<(String, f64, f64)>,
    /// The operators' settings.
    pub policy: String,
    pub boot_s: f64,
    /// A task takes its job's estimate times this.
    pub factor: f64,
    pub write_rps: f64,
    pub rps: f64,
    pub log_level: String,
}

impl Plan {
    /// Three controllers and eight machines.
    pub fn new(program: &Path, dir: &Path) -> Plan {
        Plan {
            program: program.to_owned(),
            dir: dir.to_owned(),
            controllers: 3,
            machines: 8,
            teams: vec![("crew".into(), 16.0, 64.0), ("other".into(), 8.0, 64.0)],
            policy: String::new(),
            boot_s: 0.5,
            factor: 1.0,
            write_rps: 200.0,
            rps: 1000.0,
            log_level: "info".into(),
        }
    }
}

/// A running site. Its controllers end with it.
pub struct Site {
    pub state: Rc<State>,
    pub cloud: Rc<Cloud>,
    pub works: Rc<Works>,
    /// Users' and mesh addresses by controller.
    pub users: Vec<SocketAddr>,
    pub mesh: Vec<SocketAddr>,
    pub plan: Plan,
    children: Vec<Option<Child>>,
    cancel: CancellationToken,
}

/// Addresses that were free a moment ago.
fn free_addresses(n: usize) -> io::Result<Vec<SocketAddr>> {
    let held: io::Result<Vec<TcpListener>> =
        (0..n).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    held?.iter().map(TcpListener::local_addr).collect()
}

impl Site {
    /// Starts a site; to be called on the runtime.
    ///
    /// # Errors
    /// What could not be started.
    pub fn start(plan: Plan) -> io::Result<Site> {
        std::fs::create_dir_all(&plan.dir)?;
        let cancel = CancellationToken::new();
        let (state, state_addr) = State::start(&cancel)?;
        let (heartbeat, lease) = (0.5, 6.0);
        let works = Works::new(
            state.clone(),
            Micros::from_secs_f64(heartbeat),
            Micros::from_secs_f64(lease),
            plan.factor,
        );
        let works = Rc::new(works);
        let zones = ["a", "b", "c"];
        let kind = MachineType {
            name: "std".into(),
            cpus: 16.0,
            gpus: 2.0,
            memory_gb: 64.0,
            cache_gb: 100.0,
            fetch_gb_per_s: 20.0,
            price: 7.0,
            spot_price: 2.5,
            boot_s: plan.boot_s,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
        };
        let (cloud, cloud_addr) = Cloud::start(&cancel, vec![kind], plan.machines, works.clone())?;
        let n = plan.controllers;
        let addrs = free_addresses(2 * n)?;
        let (users, mesh) = (addrs[..n].to_vec(), addrs[n..].to_vec());
        let name = |i: usize| format!("node-{i}");
        for i in 0..n {
            let mut text = String::new();
            let _ = writeln!(text, "node = \"{}\"\nzone = \"{}\"", name(i), zones[i % 3]);
            let _ = writeln!(
                text,
                "serve_on = \"{}\"\nmesh_addr = \"{}\"",
                users[i], mesh[i]
            );
            for j in (0..n).filter(|j| *j != i) {
                let _ = writeln!(
                    text,
                    "[[others]]\nnode = \"{}\"\nzone = \"{}\"",
                    name(j),
                    zones[j % 3]
                );
                let _ = writeln!(text, "endpoint = \"{}\"", mesh[j]);
            }
            let _ = writeln!(
                text,
                "[endpoints]\ncloud = \"{cloud_addr}\"\nstate = \"{state_addr}\""
            );
            let _ = writeln!(
                text,
                "[facts]\nnodes = {n}\nzones = [\"a\", \"b\", \"c\"]\nskew_ms = 50.0"
            );
            for (team, guaranteed, most) in &plan.teams {
                let _ = writeln!(
                    text,
                    "[[facts.teams]]\nname = \"{team}\"\ngpus = {guaranteed:?}\ngpus_max = {most:?}"
                );
                let _ = writeln!(text, "cpus = 0.0\ncpus_max = 0.0");
            }
            let _ = writeln!(
                text,
                "[facts.workers]\nreport_s = {heartbeat:?}\nlease_s = {lease:?}"
            );
            let _ = writeln!(
                text,
                "gang_wait_s = 20.0\ngang_peer_s = 3.0\ncancel_s = 20.0"
            );
            let _ = writeln!(
                text,
                "[facts.state]\nrps = {:?}\nwrite_rps = {:?}",
                plan.rps, plan.write_rps
            );
            let _ = writeln!(text, "value_kb = 8.0\ntxn_ops = 16");
            let _ = writeln!(text, "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0");
            let _ = writeln!(
                text,
                "[facts.machine_limits]\ncores = 1.0\nmem_mb = 500.0\nmax_connections = 1000"
            );
            std::fs::write(plan.dir.join(format!("{}.toml", name(i))), text)?;
        }
        std::fs::write(plan.dir.join("site.policy"), &plan.policy)?;
        *works.controllers.borrow_mut() = (0..n).map(|i| (name(i), users[i])).collect();
        let children = (0..n).map(|_| None).collect();
        let mut site = Site {
            state,
            cloud,
            works,
            users,
            mesh,
            plan,
            children,
            cancel,
        };
        for i in 0..n {
            site.start_controller(i)?;
        }
        Ok(site)
    }

    /// Starts a controller, if it is not running.
    ///
    /// # Errors
    /// If the program cannot be started.
    pub fn start_controller(&mut self, i: usize) -> io::Result<()> {
        if self.children[i].is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.plan.dir.join(format!("node-{i}.log")))?;
        let child = Command::new(&self.plan.program)
            .arg("--policy")
            .arg(self.plan.dir.join("site.policy"))
            .arg("--config")
            .arg(self.plan.dir.join(format!("node-{i}.toml")))
            .env("LOG_LEVEL", &self.plan.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[i] = Some(child);
        Ok(())
    }

    /// Ends a controller without a warning.
    pub fn kill_controller(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A controller's processor time so far, in seconds; 0 if it does not run.
    pub fn processor_s(&self, i: usize) -> f64 {
        let Some(child) = &self.children[i] else {
            return 0.0;
        };
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        // After the name in brackets: fields 14 and 15 are user and system time in hundredths.
        let rest = stat.rsplit(')').next().unwrap_or("");
        let field = |n: usize| {
            rest.split_whitespace()
                .nth(n)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (field(11) + field(12)) / 100.0
    }

    /// A controller's resident memory in MB; 0 if it does not run.
    pub fn memory_mb(&self, i: usize) -> f64 {
        let Some(child) = &self.children[i] else {
            return 0.0;
        };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    }

    /// Which of the controllers has ended by itself.
    pub fn ended(&mut self) -> Option<usize> {
        let ended = |c: &mut Option<Child>| {
            c.as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
        };
        self.children.iter_mut().position(ended)
    }

    /// Waits until `what` holds, or so long.
    pub async fn until(&self, limit: Micros, mut what: impl FnMut(&Site) -> bool) -> bool {
        let end = runtime::now() + limit;
        while runtime::now() < end {
            if what(self) {
                return true;
            }
            runtime::sleep(Micros::from_millis(20)).await;
        }
        what(self)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for i in 0..self.children.len() {
            self.kill_controller(i);
        }
        self.cancel.cancel();
    }
}
