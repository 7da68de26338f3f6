//! A small world in virtual time: workers, cloud, state service and users that follow the
//! protocol, around controllers that run the real core. Every rule is checked at every step.

mod api;
mod cloud;
pub mod controller;
mod digest;
pub mod limits;
pub mod rules;
pub mod script;
pub mod store;
mod told;
mod users;
pub mod worker;

use hopyoke_calendar::StaffedHours;
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::user::{JobSpec, JobState};
use hopyoke_scheduler::{SchedulerConfig, Team, Tuning};
use hopyoke_types::Micros;
use hopyoke_types::{JobId, MachineId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

pub type Step = Box<dyn FnOnce(&mut World)>;

struct Timed(Micros, u64, Step);

impl PartialEq for Timed {
    fn eq(&self, o: &Timed) -> bool {
        self.1 == o.1
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, o: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Timed {
    fn cmp(&self, o: &Timed) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(o.0, o.1))
    }
}

/// Ends of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Host {
    Node(usize),
    /// All workers.
    Workers,
    /// The workers of a zone, by its place in the settings' list.
    WorkersOf(usize),
    State,
    Cloud,
}

/// A node is cut off from something.
#[derive(Debug, Clone)]
pub struct Cut {
    pub node: usize,
    pub from: Vec<Host>,
    pub until: Micros,
    /// Packets are held back and delivered at the end, instead of lost.
    pub hold: bool,
}

impl Cut {
    fn covers(&self, host: Host) -> bool {
        let worker = matches!(host, Host::WorkersOf(_));
        self.from.contains(&host) || (worker && self.from.contains(&Host::Workers))
    }
}

/// A node's process is behind: what reaches it waits before it is looked at.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    pub node: usize,
    pub by: Micros,
    pub until: Micros,
}

/// What is true about a job, whatever anybody believes.
pub struct Truth {
    pub spec: Rc<JobSpec>,
    pub run: Micros,
    /// Fails on every machine.
    pub fails: bool,
    /// It is a step of a workflow's run.
    pub flow: bool,
    /// When its user first tried to submit it.
    pub first_try: Option<Micros>,
    pub accepted: Option<Micros>,
    /// Its submission was refused for good.
    pub refused: bool,
    /// What is sent for it in place of its description: no body to be accepted.
    pub body: Option<Vec<u8>>,
    /// Its user has asked for its cancellation.
    pub asked_cancel: bool,
    /// Whether it is cancelled at its end has been drawn.
    pub end_drawn: bool,
    /// When its user was first told that it is cancelled.
    pub cancelled: Option<Micros>,
    /// What its user was told that it finally is, and when it last got an answer.
    pub told: Option<JobState>,
    pub answered: Micros,
    pub done: Vec<bool>,
    pub done_at: Option<Micros>,
    pub starts: u32,
    /// When the first of its tasks started.
    pub began: Option<Micros>,
    /// Progress that a gang has saved.
    pub saved: Micros,
}

impl Truth {
    /// Of a job of one plain task that nobody has submitted yet.
    pub fn new(id: JobId) -> Truth {
        Truth {
            spec: Rc::new(JobSpec::plain(id, "c", "crew", "img-1")),
            run: Micros::from_secs(10),
            fails: false,
            flow: false,
            first_try: None,
            accepted: None,
            refused: false,
            body: None,
            asked_cancel: false,
            end_drawn: false,
            cancelled: None,
            told: None,
            answered: Micros::ZERO,
            done: vec![false],
            done_at: None,
            starts: 0,
            began: None,
            saved: Micros::ZERO,
        }
    }
}

/// With more machines than this, whole-world checks are made a few times a second of virtual time
/// instead of at each step. What is checked at a task's start is always checked.
pub const LARGE: usize = 100;

/// The true time of day at the beginning, after the epoch.
pub const DAWN: Micros = Micros::from_secs(10_000);

pub struct World {
    pub now: Micros,
    queue: BinaryHeap<Reverse<Timed>>,
    next: u64,
    pub rng: StdRng,
    pub cfg: SchedulerConfig,
    pub tuning: Tuning,
    /// Staffed hours; the world begins at [`DAWN`] on Thursday 1970-01-01 in UTC.
    pub hours: Option<StaffedHours>,
    pub ttl: Micros,
    pub cancel_s: Micros,
    pub types: Vec<MachineType>,
    /// Capacity left by (type, zone, spot).
    pub capacity: BTreeMap<(String, String, bool), u32>,
    pub machines: BTreeMap<MachineId, worker::Worker>,
    pub next_machine: u32,
    pub charters: BTreeMap<String, Vec<MachineId>>,
    pub never_boot: u32,
    pub cloud: cloud::Cloud,
    pub store: store::Store,
    pub nodes: Vec<controller::Node>,
    pub cuts: Vec<Cut>,
    pub lags: Vec<Lag>,
    /// Until when controllers stand still.
    pub standstills: BTreeMap<usize, Micros>,
    /// What the state service takes; `None`: all that comes.
    pub limits: Option<limits::Limits>,
    /// Users give up so long after their first try; `None`: never.
    pub patience: Option<Micros>,
    /// Until when a node has no socket left for connections of its own to workers.
    pub no_sockets: BTreeMap<usize, Micros>,
    /// Until when a worker's connections find no room at any node.
    pub no_room: BTreeMap<MachineId, Micros>,
    /// Until when copies of reports arrive again, and of how many in a hundred.
    pub late_reports: store::Spell,
    /// Until when direct orders are held up unanswered, and of how many in a hundred.
    pub late_commands: store::Spell,
    /// Reports that wait for the next leader.
    pub reports_for_next: store::ForNext,
    /// When the last trouble so far is over.
    pub trouble_until: Micros,
    pub habits: users::Habits,
    pub jobs: BTreeMap<JobId, Truth>,
    pub broken: Vec<String>,
    pub leaders: u32,
    /// Sessions that ended because nobody answered in time.
    pub lapses: u32,
    /// From a grant until all registered machines were accounted for.
    pub longest_recovery: Micros,
    /// Starts of tasks whose user had been told that the job is cancelled: so long after that.
    pub cancelled_starts: Vec<Micros>,
    /// Since when jobs have waited though they could run.
    waiting: BTreeMap<JobId, Micros>,
    next_waits: Micros,
    /// Most that a report without a plan, and a tick, looked at.
    pub report_looks: u64,
    pub tick_looks: u64,
    next_check: Micros,
    checks: u64,
    /// Jobs that were found over, and well.
    settled: BTreeSet<JobId>,
    pub trace: bool,
    /// Of all messages and draws so far.
    pub(crate) digest: digest::Digest,
    /// The whole world is checked at each step, unless there are too many machines.
    pub thorough: bool,
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> World {
        World {
            now: Micros::ZERO,
            queue: BinaryHeap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(seed),
            cfg: SchedulerConfig {
                zones: vec!["a".into(), "b".into(), "c".into()],
                teams: Vec::new(),
                heartbeat_interval: Micros::from_secs(2),
                lease: Micros::from_secs(14),
                gang_wait: Micros::from_secs(50),
                gang_peer: Micros::from_secs(6),
                list_lag: Micros::from_secs(4),
                value_bytes: 8192,
                txn_ops: 16,
                write_rps: 25.0,
                margin: Micros::from_millis(500),
            },
            tuning: Tuning::default(),
            hours: None,
            ttl: Micros::from_secs(5),
            cancel_s: Micros::from_secs(34),
            types: Vec::new(),
            capacity: BTreeMap::new(),
            machines: BTreeMap::new(),
            next_machine: 0,
            charters: BTreeMap::new(),
            never_boot: 0,
            cloud: cloud::Cloud::default(),
            store: store::Store::default(),
            nodes: (0..nodes).map(|_| controller::Node::default()).collect(),
            cuts: Vec::new(),
            lags: Vec::new(),
            standstills: BTreeMap::new(),
            limits: None,
            patience: None,
            no_sockets: BTreeMap::new(),
            no_room: BTreeMap::new(),
            late_reports: store::Spell::default(),
            late_commands: store::Spell::default(),
            reports_for_next: store::ForNext::default(),
            trouble_until: Micros::ZERO,
            habits: users::Habits::default(),
            jobs: BTreeMap::new(),
            broken: Vec::new(),
            leaders: 0,
            lapses: 0,
            longest_recovery: Micros::ZERO,
            cancelled_starts: Vec::new(),
            waiting: BTreeMap::new(),
            next_waits: Micros::ZERO,
            report_looks: 0,
            tick_looks: 0,
            next_check: Micros::ZERO,
            checks: 0,
            settled: BTreeSet::new(),
            thorough: true,
            trace: std::env::var_os("SIM_TRACE").is_some(),
            digest: digest::Digest::default(),
        }
    }

    fn looks_closely(&self) -> bool {
        self.thorough && self.machines.len() <= LARGE
    }

    /// The time of day by a node's clock: off by as much as the hours' bound allows, each another way.
    pub fn time_of_day(&self, node: usize) -> Micros {
        let skew = self.hours.as_ref().map_or(0, |h| h.skew.0);
        Micros(DAWN.0 + self.now.0 + skew * node as u64) - Micros(skew)
    }

    pub fn at(&mut self, t: Micros, step: impl FnOnce(&mut World) + 'static) {
        self.next += 1;
        self.queue
            .push(Reverse(Timed(t.max(self.now), self.next, Box::new(step))));
    }

    pub fn after(&mut self, span: Micros, step: impl FnOnce(&mut World) + 'static) {
        self.at(self.now + span, step);
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(Reverse(t)) = self.queue.peek() {
            if t.0 > end {
                break;
            }
            let Some(Reverse(t)) = self.queue.pop() else {
                break;
            };
            self.now = t.0;
            self.digest_bytes(digest::Channel::Step, &[]);
            (t.2)(self);
            if self.looks_closely() || self.now >= self.next_check {
                self.check_rules();
                self.next_check = self.now + Micros::from_millis(250);
            }
            if !self.broken.is_empty() {
                return;
            }
        }
        self.now = end;
    }

    pub fn log(&self, what: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:10.4} {}", self.now.as_secs_f64(), what());
        }
    }

    pub fn random(&mut self, low: u64, high: u64) -> u64 {
        let drawn = self.rng.random_range(low..=high);
        self.digest_bytes(digest::Channel::Draw, &drawn.to_le_bytes());
        drawn
    }

    /// Where a machine's worker is, as an end of a path.
    fn worker(&self, id: &MachineId) -> Host {
        let zone = self
            .machines
            .get(id)
            .and_then(|m| self.cfg.zones.iter().position(|z| *z == m.zone));
        zone.map_or(Host::Workers, Host::WorkersOf)
    }

    /// A zone is cut off from all others, and from what belongs to no zone. Node `i` stands in zone `i`, and
    /// so on in turn.
    pub fn cut_zone(&mut self, zone: usize, until: Micros, hold: bool) {
        let (nodes, zones) = (self.nodes.len(), self.cfg.zones.len());
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..nodes).partition(|i| i % zones == zone);
        let others = (0..zones).filter(|z| *z != zone).map(Host::WorkersOf);
        let region: Vec<Host> = [Host::State, Host::Cloud]
            .into_iter()
            .chain(outside.iter().copied().map(Host::Node))
            .chain(others)
            .collect();
        self.cuts.extend(inside.into_iter().map(|node| Cut {
            node,
            from: region.clone(),
            until,
            hold,
        }));
        let from = vec![Host::WorkersOf(zone)];
        self.cuts.extend(outside.into_iter().map(|node| Cut {
            node,
            from: from.clone(),
            until,
            hold,
        }));
    }

    fn cut(&self, a: Host, b: Host) -> Option<Cut> {
        let now = self.now;
        let hits = |c: &&Cut| {
            let me = Host::Node(c.node);
            now < c.until && ((a == me && c.covers(b)) || (b == me && c.covers(a)))
        };
        self.cuts.iter().find(hits).cloned()
    }

    /// Sends a message: it arrives after a while, late, or never.
    pub fn send(&mut self, from: Host, to: Host, step: impl FnOnce(&mut World) + 'static) {
        let latency = Micros(self.random(400, 6_000)) + self.lag(to);
        let step = move |w: &mut World| w.on(to, step);
        match self.cut(from, to) {
            Some(c) if c.hold => self.at(c.until + latency, step),
            Some(_) => {}
            None => self.after(latency, step),
        }
    }

    /// Something happens at a host now; at a controller that stands still, when it goes on.
    fn on(&mut self, host: Host, step: impl FnOnce(&mut World) + 'static) {
        match host {
            Host::Node(i) if self.stands_still(i) => {
                let until = self.standstills[&i];
                self.at(until, move |w| w.on(host, step));
            }
            _ => step(self),
        }
    }

    /// A controller's process stands still while its clocks run on.
    pub fn stands_still(&self, i: usize) -> bool {
        self.standstills
            .get(&i)
            .is_some_and(|until| self.now < *until)
    }

    /// A timer of a controller.
    pub fn timer(&mut self, i: usize, span: Micros, step: impl FnOnce(&mut World) + 'static) {
        self.after(span, move |w| w.on(Host::Node(i), step));
    }

    pub(crate) fn lag(&self, to: Host) -> Micros {
        let now = self.now;
        if to == Host::State && now < self.store.slow.1 {
            return self.store.slow.0;
        }
        let behind = self
            .lags
            .iter()
            .filter(|l| Host::Node(l.node) == to && now < l.until);
        behind.map(|l| l.by).max().unwrap_or(Micros::ZERO)
    }

    pub fn machine_type(&self, name: &str) -> MachineType {
        self.types
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("a known machine type")
    }

    pub fn team(&self, name: &str) -> Team {
        self.cfg
            .teams
            .iter()
            .find(|t| t.name == name)
            .cloned()
            .expect("a known team")
    }

    /// Adds a machine that boots for `boot`, or never.
    pub fn add_machine(
        &mut self,
        kind: &str,
        zone: &str,
        spot: bool,
        boot: Option<Micros>,
    ) -> MachineId {
        let id = MachineId::new(&format!("m-{:06}", self.next_machine));
        self.next_machine += 1;
        let drift = self.random(0, 1000) as f64 / 1e6 - 0.0005;
        let w = worker::Worker::new(id.clone(), kind, zone, spot, drift, self.now);
        self.machines.insert(id.clone(), w);
        if let Some(boot) = boot {
            let m = id.clone();
            self.after(boot, move |w| w.boot(&m));
        }
        id
    }

    pub fn remove_machine(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        *self
            .capacity
            .entry((m.kind.clone(), m.zone.clone(), m.spot))
            .or_default() += 1;
        let tasks: Vec<_> = m.tasks.keys().cloned().collect();
        self.machines.remove(id);
        for (task, attempt) in tasks {
            self.gang_lost(&task.job, attempt);
        }
    }
}
