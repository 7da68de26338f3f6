//! Agents: each runs the tasks of one machine and sends heartbeats to the leader, as the protocol describes it.

mod gangs;
mod heartbeats;
mod tasks;

use crate::Simulation;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_types::{Attempt, FencingToken, MachineId, Micros, TaskId};
use std::collections::BTreeMap;

/// Longest body of a heartbeat that a node accepts, in characters.
pub(crate) const MAX_HEARTBEAT_CHARS: usize = 64 * 1024;

/// A task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Why it ended.
    pub(crate) exit_reason: Option<ExitReason>,
    /// Its progress was saved before it ended.
    pub(crate) checkpoint_saved: bool,
    /// When it was commanded, then when it began to run.
    pub(crate) started_at: Micros,
}

/// A node's response to a heartbeat: the leader's token with commands, or a rejection, perhaps with the node to go to.
pub(crate) type HeartbeatResult = Result<(FencingToken, Vec<Command>), Option<usize>>;

/// The agent of a machine.
pub(crate) struct Agent {
    pub(crate) id: MachineId,
    /// Name of the machine's type.
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// Rate by which its clock is fast; negative: slow.
    pub(crate) clock_drift: f64,
    /// The machine has booted.
    pub(crate) up: bool,
    /// When the cloud created the machine.
    pub(crate) created_at: Micros,
    /// Until then nothing happens on the machine.
    pub(crate) hangs_until: Micros,
    /// Until then its heartbeats arrive, but responses and pushed commands to it are lost.
    pub(crate) responses_lost_until: Micros,
    /// Until then it reaches no node, while pushed commands reach it.
    pub(crate) outbound_lost_until: Micros,
    /// Until then pushed commands to it are under way, and arrive after it.
    pub(crate) commands_held_until: Micros,
    /// Until then responses to its heartbeats, and its own to pushed commands, are under way.
    pub(crate) responses_held_until: Micros,
    /// Every task fails here.
    pub(crate) is_faulty: bool,
    /// How many times as long tasks take here.
    pub(crate) slowdown: f64,
    /// Number of the epoch; it ends when the lease expires.
    pub(crate) epoch: u64,
    /// Sequence number of the last heartbeat.
    pub(crate) sequence: u64,
    /// Highest fencing token that it has seen.
    pub(crate) token: FencingToken,
    /// When the cloud takes it back, once that is announced.
    pub(crate) preemption_at: Option<Micros>,
    pub(crate) tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Images in its cache.
    pub(crate) images: Vec<String>,
    /// The lease runs from here.
    pub(crate) lease_started_at: Micros,
    /// The node that its heartbeats go to.
    pub(crate) node: usize,
    /// Sequence number of the heartbeat in flight.
    pub(crate) in_flight: Option<u64>,
    pub(crate) last_heartbeat_at: Micros,
    /// A heartbeat is due because something has changed.
    heartbeat_scheduled: bool,
}

impl Agent {
    /// The agent of a machine that has not booted yet.
    pub(crate) fn new(
        id: MachineId,
        machine_type: &str,
        zone: &str,
        spot: bool,
        clock_drift: f64,
        now: Micros,
    ) -> Agent {
        Agent {
            id,
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            clock_drift,
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

    /// The next heartbeat, with the status of all tasks.
    pub(crate) fn next_heartbeat(&mut self, now: Micros) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), t)| TaskStatus {
                task: task.to_string(),
                attempt: *attempt,
                state: t.state,
                exit_reason: t.exit_reason,
                checkpoint_saved: t.checkpoint_saved,
            })
            .collect();
        Heartbeat {
            machine: self.id.clone(),
            address: format!(
                "10.1.0.1:{}",
                1000 + self.id.as_str()[2..].parse::<u32>().unwrap_or(0)
            ),
            machine_type: self.machine_type.clone(),
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

/// Length of a heartbeat in characters, as the protocol counts its limit.
pub(crate) fn heartbeat_chars(heartbeat: &Heartbeat) -> usize {
    let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
    let of = |t: &TaskStatus| 62 + t.task.len() + digits(t.attempt.0);
    220 + heartbeat.tasks.iter().map(of).sum::<usize>()
}

impl Simulation {
    /// Epoch of a machine's agent; 0 if the machine is gone.
    pub(crate) fn agent_epoch(&self, id: &MachineId) -> u64 {
        self.machines.get(id).map_or(0, |m| m.epoch)
    }

    /// Until when a machine hangs, if it does.
    pub(crate) fn paused_until(&self, id: &MachineId) -> Option<Micros> {
        self.machines
            .get(id)
            .map(|m| m.hangs_until)
            .filter(|t| *t > self.now)
    }

    /// Something happens on a machine after `span`; on one that hangs by then, when it goes on.
    pub(crate) fn schedule_on_machine(
        &mut self,
        id: &MachineId,
        span: Micros,
        step: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let id = id.clone();
        self.after(span, move |sim| match sim.paused_until(&id) {
            Some(t) => sim.schedule_on_machine(&id, t - sim.now, step),
            None => step(sim),
        });
    }
}
