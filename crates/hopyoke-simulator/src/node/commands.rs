//! Commands that a leader pushes to agents, in addition to those in heartbeat responses.

use crate::{Host, Simulation};
use hopyoke_protocol::worker::{Command, Heartbeat};
use hopyoke_types::{FencingToken, MachineId, Micros};

/// Duration after which a push without a response counts as having an unknown outcome.
const PUSH_TIMEOUT: Micros = Micros::from_secs(3);

/// Interval at which the network repeats executed pushes while that fault lasts.
const REPETITION_INTERVAL: Micros = Micros::from_millis(500);

/// Pushed commands that an agent has executed.
#[derive(Clone)]
pub(crate) struct ExecutedPush {
    machine: MachineId,
    token: FencingToken,
    epoch: u64,
    commands: Vec<Command>,
}

/// Commands in flight to an agent.
pub(super) struct PushDelivery {
    pub(super) node: usize,
    pub(super) process: u64,
    pub(super) machine: MachineId,
    pub(super) token: FencingToken,
    /// The agent epoch to which the commands apply.
    pub(super) epoch: u64,
    pub(super) commands: Vec<Command>,
    pub(super) sent: Micros,
}

impl Simulation {
    /// Pushes commands to an agent. Fails immediately if the node has no sockets left.
    pub(super) fn push_commands(&mut self, push: PushDelivery) {
        let PushDelivery {
            node,
            process,
            epoch,
            sent,
            ..
        } = push;
        let machine = push.machine.clone();
        if self
            .sockets_exhausted_until
            .get(&node)
            .is_some_and(|t| sent < *t)
        {
            if let Some(l) = self.leadership(node, process) {
                l.scheduler.push_failed(&machine, false, sent);
            }
            return;
        }
        self.send(Host::Node(node), self.agent_host(&machine), move |sim| {
            sim.deliver_pushed_commands(push);
        });
        self.timer(node, PUSH_TIMEOUT, move |sim| {
            let now = sim.now;
            if let Some(l) = sim.leadership(node, process)
                && l.scheduler
                    .machines
                    .get(&machine)
                    .is_some_and(|m| m.push_in_flight && m.epoch.max(1) == epoch)
            {
                l.scheduler.push_failed(&machine, true, now);
            }
        });
    }

    /// Delivers pushed commands to a machine. The delivery is delayed while the machine hangs or its link holds
    /// commands back, or by an injected fault.
    fn deliver_pushed_commands(&mut self, push: PushDelivery) {
        let held = self
            .machines
            .get(&push.machine)
            .map(|m| m.commands_held_until)
            .filter(|t| *t > self.now);
        if let Some(t) = self.paused_until(&push.machine).or(held) {
            return self.at(t, move |sim| sim.deliver_pushed_commands(push));
        }
        let PushDelivery {
            node,
            process,
            machine,
            token,
            epoch,
            commands,
            sent,
        } = push;
        if self.draws_fault(self.delayed_commands) {
            let delay = Micros(self.random(2_000_000, 16_000_000));
            // The commands reach the agent whichever node leads by then, and their response is dropped.
            return self.schedule_on_machine(&machine.clone(), delay, move |sim| {
                sim.log(|| format!("{machine} receives delayed commands of token {}", token.0));
                sim.receive_push_once(&machine, token, epoch, commands);
            });
        }
        let Some((executed, heartbeat)) = self.receive_push_once(&machine, token, epoch, commands)
        else {
            return;
        };
        let responds_at = self
            .machines
            .get(&machine)
            .map_or(self.now, |m| m.responses_held_until);
        if self.now.max(responds_at) >= sent + PUSH_TIMEOUT {
            return;
        }
        self.at(responds_at, move |sim| {
            sim.send(sim.agent_host(&machine), Host::Node(node), move |sim| {
                let now = sim.now;
                if now < sent + PUSH_TIMEOUT
                    && let Some(l) = sim.leadership(node, process)
                {
                    l.scheduler
                        .push_answered(&machine, executed, Some(&heartbeat), now);
                    sim.run_scheduler(node, process);
                }
            });
        });
    }

    /// Handles the first delivery of a push at its agent, and keeps the push for repetitions if it is executed.
    fn receive_push_once(
        &mut self,
        machine: &MachineId,
        token: FencingToken,
        epoch: u64,
        commands: Vec<Command>,
    ) -> Option<(bool, Heartbeat)> {
        let received = self.receive_pushed_commands(machine, token, epoch, commands.clone());
        if !commands.is_empty() && matches!(received, Some((true, _))) {
            self.executed_pushes.push(ExecutedPush {
                machine: machine.clone(),
                token,
                epoch,
                commands,
            });
        }
        received
    }

    /// Delivers that share of all pushes executed so far once more, and repeats this until the given time. Nobody
    /// receives the responses.
    pub(crate) fn repeat_executed_pushes(&mut self, percent: u64, until: Micros) {
        for push in self.executed_pushes.clone() {
            if self.random(0, 99) >= percent {
                continue;
            }
            let delay = Micros(self.random(0, REPETITION_INTERVAL.0));
            self.schedule_on_machine(&push.machine.clone(), delay, move |sim| {
                sim.receive_repeated_push(push);
            });
        }
        if self.now + REPETITION_INTERVAL < until {
            self.after(REPETITION_INTERVAL, move |sim| {
                sim.repeat_executed_pushes(percent, until)
            });
        }
    }

    fn receive_repeated_push(&mut self, push: ExecutedPush) {
        let ExecutedPush {
            machine,
            token,
            epoch,
            commands,
        } = push;
        self.log(|| format!("{machine} receives a repeated push of token {token}: {commands:?}"));
        let received = self.receive_pushed_commands(&machine, token, epoch, commands);
        if let Some((false, heartbeat)) = received {
            self.log(|| {
                format!(
                    "{machine} refuses it: it has seen token {}",
                    heartbeat.token
                )
            });
        }
    }
}
