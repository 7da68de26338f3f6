//! Emulated cluster: store, cloud and agents run in this process, controllers in processes of their own.

use crate::cloud::Cloud;
use crate::controller_settings::{
    ClusterConfig, Endpoints, HEARTBEAT_S, LEASE_S, ZONES, node_name, render,
};
use crate::fleet::Fleet;
use crate::kv_store::KvStore;
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_types::Micros;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A running cluster. Its controllers are killed when it is dropped.
pub struct Cluster {
    /// The emulated key-value store.
    pub store: Rc<KvStore>,
    /// The emulated cloud.
    pub cloud: Rc<Cloud>,
    /// State shared by the agents, and their observations.
    pub fleet: Rc<Fleet>,
    /// Addresses of the user API, by controller.
    pub api_addrs: Vec<SocketAddr>,
    /// Addresses for peer controllers, by controller.
    pub mesh_addrs: Vec<SocketAddr>,
    /// Configuration of the cluster.
    pub config: ClusterConfig,
    children: Vec<Option<Child>>,
    cancel: CancellationToken,
}

/// Ports for controllers. They lie below the ephemeral range, so that no listener on port 0 and no outgoing connection
/// can take one between the check here and the controller's bind.
const CONTROLLER_PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Distance between the first ports of processes with consecutive ids.
const PORTS_BETWEEN_PROCESSES: u32 = 97;

/// Number of ports tried by this process; ensures that no two clusters get the same port.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns addresses that are currently free, each at most once per process. Processes start their search at different
/// ports.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let ports = u32::from(CONTROLLER_PORTS.end - CONTROLLER_PORTS.start);
    let first = std::process::id().wrapping_mul(PORTS_BETWEEN_PROCESSES);
    let mut addresses = Vec::with_capacity(count);
    for _ in 0..ports {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = first.wrapping_add(tried) % ports;
        let port = CONTROLLER_PORTS.start + offset as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no free ports for controllers",
    ))
}

/// Returns the only machine type of the cloud.
fn machine_type(boot_s: f64) -> MachineType {
    MachineType {
        name: "std".into(),
        cpus: 16.0,
        gpus: 2.0,
        memory_gb: 64.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 20.0,
        price: 7.0,
        spot_price: 2.5,
        boot_s,
        zones: ZONES.iter().map(|z| (*z).to_owned()).collect(),
    }
}

impl Cluster {
    /// Starts a cluster. Must be called within a running event loop.
    ///
    /// # Errors
    /// Returns an error if a socket, file or process cannot be created.
    pub fn start(config: ClusterConfig) -> io::Result<Cluster> {
        std::fs::create_dir_all(&config.dir)?;
        let cancel = CancellationToken::new();
        let (store, store_addr) = KvStore::start(&cancel)?;
        let fleet = Rc::new(Fleet::new(
            store.clone(),
            Micros::from_secs_f64(HEARTBEAT_S),
            Micros::from_secs_f64(LEASE_S),
            config.run_time_factor,
        ));
        let types = vec![machine_type(config.boot_s)];
        let (cloud, cloud_addr) = Cloud::start(&cancel, types, config.max_machines, fleet.clone())?;
        let controllers = config.controllers;
        let mut api = free_addresses(2 * controllers)?;
        let mesh = api.split_off(controllers);
        let endpoints = Endpoints {
            store: store_addr,
            cloud: cloud_addr,
            api,
            mesh,
        };
        for i in 0..controllers {
            let text = render(&config, &endpoints, i).map_err(io::Error::other)?;
            std::fs::write(config.dir.join(format!("{}.toml", node_name(i))), text)?;
        }
        std::fs::write(config.dir.join("site.policy"), &config.policy)?;
        *fleet.controllers.borrow_mut() = (0..controllers)
            .map(|i| (node_name(i), endpoints.api[i]))
            .collect();
        let mut cluster = Cluster {
            store,
            cloud,
            fleet,
            api_addrs: endpoints.api,
            mesh_addrs: endpoints.mesh,
            config,
            children: (0..controllers).map(|_| None).collect(),
            cancel,
        };
        for i in 0..controllers {
            cluster.start_controller(i)?;
        }
        Ok(cluster)
    }

    /// Starts a controller if it is not running.
    ///
    /// # Errors
    /// Returns an error if the log cannot be opened or the process cannot be started.
    pub fn start_controller(&mut self, i: usize) -> io::Result<()> {
        if self.children[i].is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.config.dir.join(format!("{}.log", node_name(i))))?;
        let child = Command::new(&self.config.program)
            .arg("--policy")
            .arg(self.config.dir.join("site.policy"))
            .arg("--config")
            .arg(self.config.dir.join(format!("{}.toml", node_name(i))))
            .env("LOG_LEVEL", &self.config.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[i] = Some(child);
        Ok(())
    }

    /// Kills a controller (`SIGKILL`) and waits for it to exit.
    pub fn kill_controller(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends a controller (`SIGSTOP`) while its clocks continue.
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent.
    pub fn freeze_controller(&self, i: usize) -> io::Result<()> {
        self.signal(i, "-STOP")
    }

    /// Resumes a suspended controller (`SIGCONT`).
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent.
    pub fn thaw_controller(&self, i: usize) -> io::Result<()> {
        self.signal(i, "-CONT")
    }

    fn signal(&self, i: usize, signal: &str) -> io::Result<()> {
        let Some(child) = &self.children[i] else {
            return Ok(());
        };
        let status = Command::new("kill")
            .arg(signal)
            .arg(child.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill {signal}: {status}")))
        }
    }

    /// Returns a controller's CPU time so far in seconds, or 0 if it is not running.
    pub fn cpu_time_s(&self, i: usize) -> f64 {
        let Some(child) = &self.children[i] else {
            return 0.0;
        };
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        // The command name in parentheses may contain spaces. Fields 14 and 15 are user and system time in hundredths
        // of a second.
        let rest = stat.rsplit(')').next().unwrap_or("");
        let field = |n: usize| {
            rest.split_whitespace()
                .nth(n)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (field(11) + field(12)) / 100.0
    }

    /// Returns a controller's resident memory in MiB, or 0 if it is not running.
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

    /// Returns a controller that has exited without being killed, if there is one.
    pub fn exited_controller(&mut self) -> Option<usize> {
        let has_exited = |child: &mut Option<Child>| {
            child
                .as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
        };
        self.children.iter_mut().position(has_exited)
    }

    /// Waits for at most `limit` until `condition` holds, and returns whether it does.
    pub async fn wait_for(
        &self,
        limit: Micros,
        mut condition: impl FnMut(&Cluster) -> bool,
    ) -> bool {
        let deadline = runtime::now() + limit;
        while runtime::now() < deadline {
            if condition(self) {
                return true;
            }
            runtime::sleep(Micros::from_millis(20)).await;
        }
        condition(self)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for i in 0..self.children.len() {
            self.kill_controller(i);
        }
        self.cancel.cancel();
    }
}
