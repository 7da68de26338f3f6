//! The controllers: processes started as the deploy file says.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Mutex, OnceLock};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

pub struct Node {
    pub name: String,
    pub api: SocketAddr,
    pub mesh: SocketAddr,
    config: String,
    log: String,
    child: Mutex<Option<Child>>,
}

/// The program and the arguments of `run` in the deploy file.
pub fn run_command(repository: &str) -> Vec<String> {
    let text =
        std::fs::read_to_string(format!("{repository}/deploy/service.toml")).unwrap_or_default();
    let run = text
        .lines()
        .find_map(|l| l.strip_prefix("run"))
        .and_then(|l| l.split('"').nth(1).map(str::to_owned))
        .unwrap_or_default();
    run.split_whitespace().map(str::to_owned).collect()
}

/// Free ports below the range of outgoing connections.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let first = std::process::id().wrapping_mul(97);
    (0..12_000u32)
        .map(|i| SocketAddr::from(([127, 0, 0, 1], 20_000 + ((first + i) % 12_000) as u16)))
        .filter(|a| TcpListener::bind(a).is_ok())
        .take(count)
        .collect()
}

/// Starts a process from a thread that lives as long as this program: a process is killed when the thread that started
/// it ends.
fn spawn(program: Command) -> std::io::Result<Child> {
    type Job = (Command, Sender<std::io::Result<Child>>);
    static SPAWNER: OnceLock<Mutex<Sender<Job>>> = OnceLock::new();
    let spawner = SPAWNER.get_or_init(|| {
        let (sender, jobs) = channel::<Job>();
        std::thread::spawn(move || {
            for (mut program, reply) in jobs {
                let _ = reply.send(program.spawn());
            }
        });
        Mutex::new(sender)
    });
    let (reply, child) = channel();
    let _ = spawner.lock().unwrap().send((program, reply));
    child
        .recv()
        .unwrap_or(Err(std::io::ErrorKind::Other.into()))
}

impl Node {
    pub fn new(
        name: &str,
        api: SocketAddr,
        mesh: SocketAddr,
        settings: &str,
        folder: &str,
    ) -> Node {
        let config = format!("{folder}/{name}.toml");
        std::fs::write(&config, settings).expect("settings not written");
        Node {
            name: name.into(),
            api,
            mesh,
            config,
            log: format!("{folder}/{name}.log"),
            child: Mutex::new(None),
        }
    }

    /// Starts the process, unless it runs.
    pub fn start(&self, repository: &str, level: &str) -> bool {
        let mut running = self.child.lock().unwrap();
        if running
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
        {
            return true;
        }
        let command = run_command(repository);
        let Ok(log) = File::options().create(true).append(true).open(&self.log) else {
            return false;
        };
        let mut program = Command::new(format!("{repository}/{}", command[0]));
        // Safety: one plain system call. The process ends with this program, however that ends.
        unsafe {
            program.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        program
            .args(&command[1..])
            .arg(&self.config)
            .env("LOG_LEVEL", level)
            .current_dir(repository)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = spawn(program);
        let started = child.is_ok();
        *running = child.ok();
        started
    }

    pub fn kill(&self) {
        if let Some(mut c) = self.child.lock().unwrap().take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        match child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(status))) => Some(status.to_string()),
            _ => None,
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(c) = self.child.lock().unwrap().as_ref() {
            // Safety: a plain system call on a process that this program started.
            unsafe { kill(c.id() as i32, signal) };
        }
    }
    pub fn stop(&self) {
        self.signal(SIGSTOP);
    }
    pub fn go_on(&self) {
        self.signal(SIGCONT);
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
