//! Workers, as the protocol describes them.

use super::{Host, Simulation};
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_types::Micros;
use hopyoke_types::{Attempt, FencingToken, JobId, MachineId, TaskId};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) why: Option<ExitReason>,
    pub(crate) saved: bool,
    pub(crate) started: Micros,
}

/// 200 with orders, or another status, perhaps with the node to go to.
pub(crate) type Answer = Result<(FencingToken, Vec<Command>), Option<usize>>;

pub(crate) struct Agent {
    pub(crate) id: MachineId,
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) drift: f64,
    pub(crate) up: bool,
    pub(crate) created_at: Micros,
    pub(crate) hangs_until: Micros,
    /// Until then its reports arrive, but answers and direct orders to it are lost.
    pub(crate) responses_lost_until: Micros,
    /// Until then it reaches no controller, while direct orders reach it.
    pub(crate) outbound_lost_until: Micros,
    /// Until then direct orders to it are under way, and arrive.
    pub(crate) commands_held_until: Micros,
    /// Until then answers to its reports, and its own to direct orders, are under way.
    pub(crate) responses_held_until: Micros,
    pub(crate) is_faulty: bool,
    /// How many times as long tasks take here.
    pub(crate) slowdown: f64,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    pub(crate) token: FencingToken,
    pub(crate) preemption_at: Option<Micros>,
    pub(crate) tasks: BTreeMap<(TaskId, Attempt), Task>,
    pub(crate) images: Vec<String>,
    /// The lease runs from here.
    pub(crate) lease_started_at: Micros,
    pub(crate) node: usize,
    /// Number of the report in flight.
    pub(crate) in_flight: Option<u64>,
    pub(crate) last_heartbeat_at: Micros,
    heartbeat_scheduled: bool,
}

impl Agent {
    pub(crate) fn new(
        id: MachineId,
        kind: &str,
        zone: &str,
        spot: bool,
        drift: f64,
        now: Micros,
    ) -> Agent {
        Agent {
            id,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
            drift,
            up: false,
            created_at: now,
            hangs_until: Micros::ZERO,
            responses_lost_until: Micros::ZERO,
            outbound_lost_until: Micros::ZERO,
            commands_held_until: Micros::ZERO,
            responses_held_until: Micros::ZERO,
            is_faulty: false,
            slowdown: 1.0,
            epoch: 1,
            sequence: 0,
            token: FencingToken(0),
            preemption_at: None,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            lease_started_at: now,
            node: 0,
            in_flight: None,
            last_heartbeat_at: Micros::ZERO,
            heartbeat_scheduled: false,
        }
    }

    pub(crate) fn heartbeat(&mut self, now: Micros) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), t)| TaskStatus {
                task: task.to_string(),
                attempt: *attempt,
                state: t.state,
                exit_reason: t.why,
                saved: t.saved,
            })
            .collect();
        Heartbeat {
            machine: self.id.clone(),
            address: format!(
                "10.1.0.1:{}",
                1000 + self.id.as_str()[2..].parse::<u32>().unwrap_or(0)
            ),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            epoch: self.epoch,
            sequence: self.sequence,
            token: self.token,
            preemption_notice_s: self.preemption_at.map(|t| (t - now).as_secs_f64()),
            tasks,
        }
    }
}

/// How long a report is in the form in which the protocol counts its limit.
pub(crate) fn heartbeat_chars(heartbeat: &Heartbeat) -> usize {
    let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
    let of = |t: &TaskStatus| 62 + t.task.len() + digits(t.attempt.0);
    220 + heartbeat.tasks.iter().map(of).sum::<usize>()
}

/// A body may have this many.
pub(crate) const MAX_HEARTBEAT_CHARS: usize = 64 * 1024;

impl Simulation {
    pub(crate) fn boot(&mut self, id: &MachineId) {
        let nodes = self.nodes.len() as u64;
        let node = self.random(0, nodes - 1) as usize;
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.up = true;
        m.lease_started_at = now;
        m.node = node;
        let id = id.clone();
        self.send_heartbeat(&id);
        self.run_heartbeat_timer(&id);
    }

    /// The worker's own timer.
    fn run_heartbeat_timer(&mut self, id: &MachineId) {
        let base = self.config.heartbeat_interval.0;
        let wait = Micros(self.random(base * 3 / 4, base * 5 / 4));
        let m = id.clone();
        self.after(wait, move |w| {
            if w.machines.contains_key(&m) {
                w.send_heartbeat(&m);
                w.run_heartbeat_timer(&m);
            }
        });
        let m = id.clone();
        self.lease_check(&m);
    }

    /// Kills everything when the last answered report was sent too long ago.
    fn lease_check(&mut self, id: &MachineId) {
        let lease = self.config.lease;
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let limit = Micros((lease.0 as f64 * (1.0 + m.drift)) as u64);
        if now > m.lease_started_at + limit {
            m.epoch += 1;
            self.expired_epochs += 1;
            m.lease_started_at = now;
            m.in_flight = None;
            let gone: Vec<(TaskId, Attempt)> = std::mem::take(&mut m.tasks).into_keys().collect();
            self.log(|| format!("{id} session over, {} tasks killed", gone.len()));
            for (t, a) in gone {
                self.gang_lost(&t.job, a);
            }
        } else {
            let at = m.lease_started_at + limit + Micros(1);
            let id = id.clone();
            self.at(at, move |w| w.lease_check(&id));
        }
    }

    pub(crate) fn paused_until(&self, id: &MachineId) -> Option<Micros> {
        self.machines
            .get(id)
            .map(|m| m.hangs_until)
            .filter(|t| *t > self.now)
    }

    /// Something happens on a machine after `span`; on one that hangs by then, when it goes on.
    pub(crate) fn on_machine(
        &mut self,
        id: &MachineId,
        span: Micros,
        step: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let id = id.clone();
        self.after(span, move |w| match w.paused_until(&id) {
            Some(t) => w.on_machine(&id, t - w.now, step),
            None => step(w),
        });
    }

    /// Reports soon, because something has changed.
    pub(crate) fn schedule_heartbeat(&mut self, id: &MachineId) {
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut m.heartbeat_scheduled, true) {
            return;
        }
        let at = now.max(m.last_heartbeat_at + Micros::from_millis(500));
        let id = id.clone();
        self.at(at, move |w| {
            if let Some(m) = w.machines.get_mut(&id) {
                m.heartbeat_scheduled = false;
                w.send_heartbeat(&id);
            }
        });
    }

    fn send_heartbeat(&mut self, id: &MachineId) {
        if let Some(t) = self.paused_until(id) {
            let m = id.clone();
            return self.at(t, move |w| w.send_heartbeat(&m));
        }
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if !m.up || m.in_flight.is_some() {
            return;
        }
        let heartbeat = m.heartbeat(now);
        let number = m.sequence;
        m.in_flight = Some(number);
        m.last_heartbeat_at = now;
        let node = m.node;
        let me = id.clone();
        if self
            .connections_refused_until
            .get(id)
            .is_some_and(|t| now < *t)
        {
            // Its connection finds no room.
            let (s, me) = (agent_epoch(self, id), me);
            return self.after(Micros::from_millis(1), move |w| {
                w.receive_heartbeat_response(&me, s, number, now, Some(Err(None)));
            });
        }
        let epoch = agent_epoch(self, id);
        if self
            .machines
            .get(id)
            .is_some_and(|m| now < m.outbound_lost_until)
        {
            // It opens no connection.
            return self.after(Micros::from_secs(4), move |w| {
                w.receive_heartbeat_response(&me, epoch, number, now, None)
            });
        }
        if self.draws_fault(self.duplicated_heartbeats) {
            // A copy arrives again, up to well over a lease later.
            let copy = heartbeat.clone();
            let span = Micros(self.random(2_000_000, self.config.lease.0 * 8 / 5));
            self.after(span, move |w| {
                let from = w.agent_host(&copy.machine);
                w.send(from, Host::Node(node), move |w| {
                    w.node_heartbeat(node, copy, number, true)
                });
            });
        }
        if self.draws_fault(self.heartbeats_for_next_leader.copied) {
            self.heartbeats_for_next_leader.kept.push(heartbeat.clone());
        }
        if self.draws_fault(self.heartbeats_for_next_leader.held) {
            self.heartbeats_for_next_leader.kept.push(heartbeat);
        } else {
            self.send(self.agent_host(id), Host::Node(node), move |w| {
                w.node_heartbeat(node, heartbeat, number, false)
            });
        }
        self.after(Micros::from_secs(4), move |w| {
            w.receive_heartbeat_response(&me, epoch, number, now, None);
        });
    }

    /// A new leader begins: reports that were kept for it reach every controller, out of order.
    pub(crate) fn deliver_heartbeats_held_for_leader(&mut self) {
        for heartbeat in std::mem::take(&mut self.heartbeats_for_next_leader.kept) {
            for node in 0..self.nodes.len() {
                let (heartbeat, sequence) = (heartbeat.clone(), heartbeat.sequence);
                self.after(self.heartbeats_for_next_leader.after, move |w| {
                    let from = w.agent_host(&heartbeat.machine);
                    w.send(from, Host::Node(node), move |w| {
                        w.node_heartbeat(node, heartbeat, sequence, true)
                    });
                });
            }
        }
    }

    /// An answer to a report, or its absence. `Some(Ok)`: 200, `Some(Err)`: another node.
    pub(crate) fn receive_heartbeat_response(
        &mut self,
        id: &MachineId,
        epoch: u64,
        number: u64,
        sent: Micros,
        answer: Option<Answer>,
    ) {
        if let Some(t) = self.paused_until(id) {
            let id = id.clone();
            return self.at(t, move |w| {
                w.receive_heartbeat_response(&id, epoch, number, sent, answer)
            });
        }
        let nodes = self.nodes.len();
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if now < m.responses_lost_until && answer.is_some() {
            return;
        }
        if now < m.responses_held_until && answer.is_some() {
            let (id, until) = (id.clone(), m.responses_held_until);
            return self.at(until, move |w| {
                w.receive_heartbeat_response(&id, epoch, number, sent, answer)
            });
        }
        if m.in_flight != Some(number) || m.epoch != epoch {
            return;
        }
        if now > sent + Micros::from_secs(4) && answer.is_some() {
            return;
        }
        m.in_flight = None;
        match answer {
            Some(Ok((token, commands))) => {
                self.digest_heartbeat_response(token, &commands);
                let Some(m) = self.machines.get_mut(id) else {
                    return;
                };
                if token >= m.token {
                    let higher = token > m.token;
                    m.token = token;
                    m.lease_started_at = sent;
                    if higher {
                        self.schedule_heartbeat(id);
                    }
                    self.execute(id, commands);
                }
            }
            Some(Err(Some(to))) if to != m.node => {
                m.node = to;
                let id = id.clone();
                self.after(Micros::from_millis(100), move |w| w.send_heartbeat(&id));
            }
            _ => {
                m.node = (m.node + 1) % nodes;
                let id = id.clone();
                self.after(Micros::from_secs(1), move |w| w.send_heartbeat(&id));
            }
        }
    }

    /// Orders sent straight to a worker; `None`: hanging or gone, no answer (now).
    pub(crate) fn receive_pushed_commands(
        &mut self,
        id: &MachineId,
        token: FencingToken,
        epoch: u64,
        commands: Vec<Command>,
    ) -> Option<(bool, Heartbeat)> {
        self.digest_pushed_commands(token, epoch, &commands);
        let now = self.now;
        let m = self
            .machines
            .get_mut(id)
            .filter(|m| now >= m.responses_lost_until)?;
        let ok = token >= m.token && epoch == m.epoch;
        if ok {
            m.token = token;
            self.execute(id, commands);
        }
        let m = self.machines.get_mut(id)?;
        Some((ok, m.heartbeat(now)))
    }

    pub(crate) fn execute(&mut self, id: &MachineId, commands: Vec<Command>) {
        for command in commands {
            self.log(|| format!("{id} {command:?}"));
            match command {
                Command::Start { task, attempt } => self.start(id, &task, attempt),
                Command::Stop {
                    task,
                    attempt,
                    grace_s,
                } => self.stop(id, &task, attempt, grace_s),
                Command::Acknowledge { task, attempt } => {
                    if let (Some(t), Some(m)) = (TaskId::parse(&task), self.machines.get_mut(id))
                        && m.tasks
                            .get(&(t.clone(), attempt))
                            .is_some_and(|x| x.state == TaskState::Ended)
                    {
                        m.tasks.remove(&(t, attempt));
                    }
                }
            }
        }
    }

    fn start(&mut self, id: &MachineId, task: &str, attempt: Attempt) {
        let now = self.now;
        let Some(task) = TaskId::parse(task) else {
            return;
        };
        let spec = self.jobs.get(&task.job).map(|j| j.spec.clone());
        let types = self.machine_types.clone();
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let here = m
            .tasks
            .keys()
            .filter_map(|(t, _)| Some((t.job.clone(), &self.jobs.get(&t.job)?.spec)));
        let jobs: BTreeMap<JobId, (f64, f64, f64)> = here
            .map(|(k, s)| (k, (s.cpus, s.gpus, s.memory_gb)))
            .collect();
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let key = (task.clone(), attempt);
        if m.tasks.contains_key(&key) {
            return;
        }
        let live = |t: &Task| t.state != TaskState::Ended;
        let busy = m.tasks.iter().any(|((t, _), x)| *t == task && live(x));
        let kind = types.iter().find(|t| t.name == m.kind);
        let mut used = (0.0, 0.0, 0.0);
        for ((t, _), _) in m.tasks.iter().filter(|(_, x)| live(x)) {
            if let Some(j) = jobs.get(&t.job) {
                used = (used.0 + j.0, used.1 + j.1, used.2 + j.2);
            }
        }
        let why = match (&spec, kind) {
            (None, _) => Some(ExitReason::UnknownTask),
            (Some(_), _) if busy => Some(ExitReason::Busy),
            (Some(s), Some(k))
                if used.0 + s.cpus > k.cpus + 1e-6
                    || used.1 + s.gpus > k.gpus + 1e-6
                    || used.2 + s.memory_gb > k.memory_gb + 1e-6 =>
            {
                Some(ExitReason::InsufficientResources)
            }
            _ => None,
        };
        let state = if why.is_some() {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        m.tasks.insert(
            key,
            Task {
                state,
                why,
                saved: false,
                started: now,
            },
        );
        let (Some(spec), None) = (spec, why) else {
            return self.schedule_heartbeat(id);
        };
        let cached = m.images.contains(&spec.image);
        let rate = kind.map_or(1.0, |k| k.fetch_gb_per_s);
        let fetch = if cached {
            Micros::from_millis(1)
        } else {
            Micros::from_secs_f64(spec.image_gb / rate)
        };
        let epoch = m.epoch;
        let me = id.clone();
        self.schedule_heartbeat(id);
        self.on_machine(id, fetch, move |w| w.fetched(&me, epoch, task, attempt));
    }

    fn live(&mut self, id: &MachineId, epoch: u64, key: &(TaskId, Attempt)) -> Option<&mut Task> {
        let m = self.machines.get_mut(id)?;
        if m.epoch != epoch {
            return None;
        }
        m.tasks.get_mut(key).filter(|t| t.state != TaskState::Ended)
    }

    fn fetched(&mut self, id: &MachineId, epoch: u64, task: TaskId, attempt: Attempt) {
        let key = (task.clone(), attempt);
        if self
            .live(id, epoch, &key)
            .is_none_or(|t| t.state != TaskState::Fetching)
        {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.start_count += 1;
        job.first_started_at.get_or_insert(self.now);
        let (spec, done, fails) = (
            job.spec.clone(),
            job.done[task.index as usize],
            job.always_fails,
        );
        self.check_task_start(id, &task);
        if let Some(m) = self.machines.get_mut(id)
            && !m.images.contains(&spec.image)
        {
            m.images.push(spec.image.clone());
        }
        let is_faulty = self.machines.get(id).is_some_and(|m| m.is_faulty);
        if done {
            return self.exit(id, &key, ExitReason::Done, false);
        }
        if is_faulty || fails {
            return self.exit(id, &key, ExitReason::Error, false);
        }
        if spec.kind == JobKind::Gang {
            if let Some(t) = self.live(id, epoch, &key) {
                t.state = TaskState::Waiting;
            }
            let wait = self.config.gang_wait;
            let (me, k) = (id.clone(), key.clone());
            self.on_machine(id, wait, move |w| {
                if w.live(&me, epoch, &k)
                    .is_some_and(|t| t.state == TaskState::Waiting)
                {
                    w.exit(&me, &k, ExitReason::Incomplete, false);
                }
            });
            self.schedule_heartbeat(id);
            return self.gang_ready(&task.job, attempt);
        }
        self.begin(id, epoch, &key);
    }

    fn begin(&mut self, id: &MachineId, epoch: u64, key: &(TaskId, Attempt)) {
        let now = self.now;
        if let Some(t) = self.live(id, epoch, key) {
            t.state = TaskState::Running;
            t.started = now;
        }
        self.schedule_heartbeat(id);
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        if job.spec.kind == JobKind::Service {
            return;
        }
        let left = job.run_time - job.checkpointed;
        let gang = job.spec.kind == JobKind::Gang;
        // A gang runs at its slowest.
        let on = if gang {
            self.members(&key.0.job, key.1)
        } else {
            vec![(id.clone(), key.0.clone())]
        };
        let slowest = on
            .iter()
            .filter_map(|(m, _)| Some(self.machines.get(m)?.slowdown))
            .fold(1.0, f64::max);
        let slowest = if gang {
            slowest
        } else {
            self.machines.get(id).map_or(1.0, |m| m.slowdown)
        };
        let left = Micros((left.0 as f64 * slowest) as u64);
        let (me, k) = (id.clone(), key.clone());
        self.task_ends_in(&key.0, left);
        self.on_machine(id, left, move |w| w.complete(&me, epoch, &k));
    }

    fn complete(&mut self, id: &MachineId, epoch: u64, key: &(TaskId, Attempt)) {
        if self
            .live(id, epoch, key)
            .is_none_or(|t| t.state != TaskState::Running)
        {
            return;
        }
        let gang = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| j.spec.kind == JobKind::Gang);
        let members = if gang {
            self.members(&key.0.job, key.1)
        } else {
            vec![(id.clone(), key.0.clone())]
        };
        // A gang that lost a task, or of which a machine hangs, makes no progress.
        let whole = self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| members.len() == j.spec.tasks as usize);
        if gang && (!whole || members.iter().any(|(m, _)| self.paused_until(m).is_some())) {
            return;
        }
        for (m, task) in members {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.done[task.index as usize] = true;
                if job.done.iter().all(|d| *d) {
                    job.done_at.get_or_insert(self.now);
                }
            }
            self.exit(&m, &(task, key.1), ExitReason::Done, false);
        }
        if self
            .jobs
            .get(&key.0.job)
            .is_some_and(|j| j.done_at.is_some())
        {
            self.job_ending(&key.0.job);
        }
    }

    fn members(&self, job: &JobId, attempt: Attempt) -> Vec<(MachineId, TaskId)> {
        let mut out = Vec::new();
        for m in self.machines.values() {
            for ((t, a), x) in &m.tasks {
                if t.job == *job && *a == attempt && x.state != TaskState::Ended {
                    out.push((m.id.clone(), t.clone()));
                }
            }
        }
        out
    }

    fn gang_ready(&mut self, job: &JobId, attempt: Attempt) {
        let members = self.members(job, attempt);
        let Some(truth) = self.jobs.get(job) else {
            return;
        };
        let is_waiting = |w: &Simulation, m: &MachineId, t: &TaskId| {
            w.machines[m].tasks[&(t.clone(), attempt)].state == TaskState::Waiting
        };
        if members.len() == truth.spec.tasks as usize
            && members.iter().all(|(m, t)| is_waiting(self, m, t))
        {
            for (m, t) in members {
                let s = agent_epoch(self, &m);
                self.begin(&m, s, &(t, attempt));
            }
        }
    }

    /// The other tasks of a running gang notice that one is gone.
    pub(crate) fn gang_lost(&mut self, job: &JobId, attempt: Attempt) {
        let peer = self.config.gang_peer;
        if self
            .jobs
            .get(job)
            .is_none_or(|j| j.spec.kind != JobKind::Gang)
        {
            return;
        }
        for (m, t) in self.members(job, attempt) {
            let key = (t, attempt);
            let running = self.machines[&m].tasks[&key].state;
            if matches!(running, TaskState::Running | TaskState::Saving) {
                let s = agent_epoch(self, &m);
                let wait = Micros(self.random(0, peer.0));
                self.on_machine(&m.clone(), wait, move |w| {
                    if w.live(&m, s, &key).is_some() {
                        w.exit(&m, &key, ExitReason::GangPeersLost, false);
                    }
                });
            }
        }
    }

    fn stop(&mut self, id: &MachineId, task: &str, attempt: Attempt, grace_s: f64) {
        let Some(task) = TaskId::parse(task) else {
            return;
        };
        let key = (task, attempt);
        let epoch = agent_epoch(self, id);
        let Some(job) = self.jobs.get(&key.0.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(t) = self.live(id, epoch, &key) else {
            return;
        };
        let saves =
            t.state == TaskState::Running && spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        if t.state == TaskState::Saving && grace_s > 0.0 {
            return;
        }
        if !saves {
            return self.exit(id, &key, ExitReason::Stopped, false);
        }
        t.state = TaskState::Saving;
        let progress = self.now - self.machines[id].tasks[&key].started;
        let me = id.clone();
        self.schedule_heartbeat(id);
        self.on_machine(id, Micros::from_secs_f64(spec.save_s), move |w| {
            if w.live(&me, epoch, &key)
                .is_none_or(|t| t.state != TaskState::Saving)
            {
                return;
            }
            let whole = w.members(&key.0.job, key.1).len() as u32 == spec.tasks;
            if whole && let Some(job) = w.jobs.get_mut(&key.0.job) {
                job.checkpointed = (job.checkpointed + progress).min(job.run_time);
            }
            w.exit(&me, &key, ExitReason::Stopped, whole);
        });
    }

    fn exit(&mut self, id: &MachineId, key: &(TaskId, Attempt), why: ExitReason, saved: bool) {
        if let Some(t) = self.machines.get_mut(id).and_then(|m| m.tasks.get_mut(key)) {
            t.state = TaskState::Ended;
            t.why = Some(why);
            t.saved = saved;
        }
        self.log(|| format!("{id} {} exits: {why:?}", key.0));
        self.schedule_heartbeat(id);
        if why != ExitReason::Done {
            self.gang_lost(&key.0.job, key.1);
        }
    }
}

pub(crate) fn agent_epoch(w: &Simulation, id: &MachineId) -> u64 {
    w.machines.get(id).map_or(0, |m| m.epoch)
}
