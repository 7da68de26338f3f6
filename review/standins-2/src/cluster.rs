//! Controllers: real processes, started with the command of `deploy/service.toml`.

use crate::fleet::Team;
use crate::store::{TXN_OPS, VALUE_KB};
use crate::world::cfg;
use std::cell::RefCell;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Controllers {
    pub api: Vec<SocketAddr>,
    /// Addresses at which the controllers listen for each other.
    pub mesh: Vec<SocketAddr>,
    pub dir: PathBuf,
    run: Vec<String>,
    /// Operators' settings, if there are any.
    policy: Option<PathBuf>,
    children: RefCell<Vec<Option<Child>>>,
}

/// Free addresses below the ephemeral range, so that no outgoing connection takes one meanwhile.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    let mut port = 20_000 + (std::process::id() % 500) as u16 * 20;
    while found.len() < count && port < 32_700 {
        let a = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(a).is_ok() {
            found.push(a);
        }
        port += 1;
    }
    found
}

/// The command of the deploy file.
fn deploy_command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("run = "))
        .unwrap_or("\"\"");
    line.trim()
        .trim_matches('"')
        .split_whitespace()
        .map(str::to_owned)
        .collect()
}

impl Controllers {
    /// Writes the settings. `peers[i][j]` is where controller i finds the mesh of controller j.
    pub fn new(
        dir: &Path,
        teams: &[Team],
        state: &[SocketAddr],
        cloud: SocketAddr,
        policy: Option<&str>,
        mesh_via: impl Fn(usize, usize, SocketAddr) -> SocketAddr,
    ) -> Controllers {
        let (n, c) = (state.len(), cfg());
        let mut api = free_addresses(2 * n);
        let mesh = api.split_off(n);
        let root = std::env::current_dir().unwrap_or_default();
        for i in 0..n {
            let mut t = String::new();
            let _ = writeln!(
                t,
                "node = \"mooring-{i}\"\nzone = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"",
                cfg().zones[i % 3],
                api[i],
                mesh[i]
            );
            for j in (0..n).filter(|j| *j != i) {
                let _ = writeln!(
                    t,
                    "[[others]]\nnode = \"mooring-{j}\"\nzone = \"{}\"\nendpoint = \"{}\"",
                    cfg().zones[j % 3],
                    mesh_via(i, j, mesh[j])
                );
            }
            let _ = writeln!(
                t,
                "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"",
                state[i]
            );
            let _ = writeln!(
                t,
                "[facts]\nnodes = {n}\nzones = {:?}\nskew_ms = 250.0",
                c.zones
            );
            for team in teams {
                let _ = writeln!(
                    t,
                    "[[facts.teams]]\nname = \"{}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {:?}\ngpus_max = {:?}",
                    team.name, team.gpus, team.gpus_max
                );
            }
            let _ = writeln!(
                t,
                "[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = 6.0\ncancel_s = {:?}",
                c.report_s, c.lease_s, c.gang_wait_s, c.cancel_s
            );
            let _ = writeln!(
                t,
                "[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {VALUE_KB:?}\ntxn_ops = {TXN_OPS}",
                c.rps, c.write_rps
            );
            let _ = writeln!(
                t,
                "[facts.cloud]\nrps = {:?}\nlist_lag_s = {:?}",
                c.cloud_rps, c.list_lag_s
            );
            let _ = writeln!(
                t,
                "[facts.machine_limits]\ncores = {:?}\nmem_mb = {:?}\nmax_connections = {}",
                c.cores, c.mem_mb, c.max_connections
            );
            std::fs::write(dir.join(format!("mooring-{i}.toml")), t).expect("settings");
        }
        let policy = policy.map(|text| {
            let path = dir.join("site.policy");
            std::fs::write(&path, text).expect("policy");
            path
        });
        Controllers {
            policy,
            api,
            mesh,
            dir: dir.to_owned(),
            run: deploy_command(&root),
            children: RefCell::new((0..n).map(|_| None).collect()),
        }
    }

    pub fn name(i: usize) -> String {
        format!("mooring-{i}")
    }

    pub fn start(&self, i: usize) -> bool {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("mooring-{i}.log")));
        let Ok(log) = log else { return false };
        let mut command = Command::new(&self.run[0]);
        if let Some(policy) = &self.policy {
            command.arg("--policy").arg(policy);
        }
        let child = command
            .args(&self.run[1..])
            .arg(self.dir.join(format!("mooring-{i}.toml")))
            .env(
                "LOG_LEVEL",
                std::env::var("CASE_LOG").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(c) => {
                self.children.borrow_mut()[i] = Some(c);
                true
            }
            Err(_) => false,
        }
    }

    pub fn kill(&self, i: usize) {
        if let Some(mut c) = self.children.borrow_mut()[i].take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    pub fn signal(&self, i: usize, name: &str) {
        if let Some(c) = &self.children.borrow()[i] {
            let _ = Command::new("kill")
                .arg(name)
                .arg(c.id().to_string())
                .status();
        }
    }

    /// Controllers that ended by themselves.
    pub fn ended(&self) -> Option<usize> {
        self.children.borrow_mut().iter_mut().position(|c| {
            c.as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
        })
    }

    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("mooring-{i}.log"))).unwrap_or_default()
    }

    /// Which controller logged last that it became the leader, by the highest token.
    pub fn leader(&self) -> Option<usize> {
        let mut best = (0u64, None);
        for i in 0..self.api.len() {
            for l in self
                .log(i)
                .lines()
                .filter(|l| l.contains("leadership acquired"))
            {
                let token = l
                    .split("token=")
                    .nth(1)
                    .and_then(|t| t.split_whitespace().next())
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                if token > best.0 {
                    best = (token, Some(i));
                }
            }
        }
        best.1
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for i in 0..self.api.len() {
            self.signal(i, "-CONT");
            self.kill(i);
        }
    }
}
