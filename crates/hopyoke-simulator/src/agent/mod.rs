//! Simulated agents. Each runs the tasks of one machine and sends heartbeats to the leader as the worker protocol
//! requires.

mod gangs;
mod heartbeats;
mod tasks;

use crate::Simulation;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use hopyoke_types::{Attempt, FencingToken, MachineId, Micros, TaskId};
use std::collections::BTreeMap;

/// Largest heartbeat body that a node accepts, in characters.
pub(crate) const MAX_HEARTBEAT_CHARS: usize = 64 * 1024;

/// One attempt of a task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Why the attempt ended. `None` until it has.
    pub(crate) exit_reason: Option<ExitReason>,
    /// Whether a checkpoint was saved before the attempt ended.
    pub(crate) checkpoint_saved: bool,
    /// When the start command arrived and, once the task runs, when it began to run.
    pub(crate) started_at: Micros,
}

/// Response of a node to a heartbeat: the leader's fencing token with commands, or a rejection that may name the node
/// to contact instead.
pub(crate) type HeartbeatResult = Result<(FencingToken, Vec<Command>), Option<usize>>;

/// A machine and its agent.
pub(crate) struct Agent {
    pub(crate) id: MachineId,
    /// Name of the machine type.
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// Relative clock drift. A positive drift makes the agent's lease last longer.
    pub(crate) clock_drift: f64,
    /// Whether the machine has booted.
    pub(crate) up: bool,
    /// When the cloud created the machine.
    pub(crate) created_at: Micros,
    /// End of the period during which the whole machine hangs.
    pub(crate) hangs_until: Micros,
    /// End of the period during which its heartbeats arrive, but responses and pushed commands to it are lost.
    pub(crate) responses_lost_until: Micros,
    /// End of the period during which it reaches no node, while pushed commands still reach it.
    pub(crate) outbound_lost_until: Micros,
    /// End of the period during which pushed commands to it are held back; they arrive afterwards.
    pub(crate) commands_held_until: Micros,
    /// End of the period during which responses to its heartbeats, and its own responses to pushed commands, are held
    /// back.
    pub(crate) responses_held_until: Micros,
    /// Whether every task on this machine fails.
    pub(crate) is_faulty: bool,
    /// Factor by which tasks on this machine take longer.
    pub(crate) slowdown: f64,
    /// Number of the agent epoch. An epoch ends when the lease expires.
    pub(crate) epoch: u64,
    /// Sequence number of the latest heartbeat.
    pub(crate) sequence: u64,
    /// Highest fencing token received so far.
    pub(crate) token: FencingToken,
    /// When a higher token last led to a heartbeat. `None` if none has.
    pub(crate) token_change_reported_at: Option<Micros>,
    /// When the cloud preempts the machine, once that has been announced.
    pub(crate) preemption_at: Option<Micros>,
    pub(crate) tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// Cached images.
    pub(crate) images: Vec<String>,
    /// Start of the current lease: when the last answered heartbeat was sent.
    pub(crate) lease_started_at: Micros,
    /// Node that heartbeats are sent to.
    pub(crate) node: usize,
    /// Sequence number of the heartbeat in flight, if any.
    pub(crate) in_flight: Option<u64>,
    pub(crate) last_heartbeat_at: Micros,
    /// Whether an extra heartbeat is scheduled because of a change.
    heartbeat_scheduled: bool,
}

/// Epoch of an agent after a restart of its machine.
pub(crate) enum RememberedEpoch {
    Same,
    Next,
    First,
}

/// What an agent remembers when its machine has restarted. The protocol leaves it open.
pub(crate) struct AgentMemory {
    pub(crate) epoch: RememberedEpoch,
    /// Whether the highest fencing token is kept.
    pub(crate) token: bool,
    /// Whether the sequence number is kept.
    pub(crate) sequence: bool,
}

impl Agent {
    /// Creates the agent of a machine that has not booted yet.
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
            token_change_reported_at: None,
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

    /// Builds the next heartbeat, with the status of all tasks, and advances the sequence number.
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

/// Estimates the length of an encoded heartbeat in characters, for comparison with [`MAX_HEARTBEAT_CHARS`].
pub(crate) fn heartbeat_chars(heartbeat: &Heartbeat) -> usize {
    let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
    let status_chars = |t: &TaskStatus| 62 + t.task.len() + digits(t.attempt.0);
    220 + heartbeat.tasks.iter().map(status_chars).sum::<usize>()
}

impl Simulation {
    /// Returns the epoch of a machine's agent, or 0 if the machine no longer exists.
    pub(crate) fn agent_epoch(&self, id: &MachineId) -> u64 {
        self.machines.get(id).map_or(0, |m| m.epoch)
    }

    /// Returns when a hanging machine resumes. Returns `None` if it does not hang.
    pub(crate) fn paused_until(&self, id: &MachineId) -> Option<Micros> {
        self.machines
            .get(id)
            .map(|m| m.hangs_until)
            .filter(|t| *t > self.now)
    }

    /// Runs `handler` on a machine after `delay`. If the machine hangs then, the handler runs when it resumes.
    pub(crate) fn schedule_on_machine(
        &mut self,
        id: &MachineId,
        delay: Micros,
        handler: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let id = id.clone();
        self.after(delay, move |sim| match sim.paused_until(&id) {
            Some(t) => sim.schedule_on_machine(&id, t - sim.now, handler),
            None => handler(sim),
        });
    }
}
