//! Commands that a leader pushes to agents, besides those in heartbeat responses.

use crate::{Host, Simulation};
use hopyoke_protocol::worker::Command;
use hopyoke_types::{FencingToken, MachineId, Micros};

/// A push without a response within this has an unknown outcome.
const PUSH_TIMEOUT: Micros = Micros::from_secs(3);

/// Commands on their way to an agent.
pub(super) struct PushDelivery {
    pub(super) node: usize,
    pub(super) process: u64,
    pub(super) machine: MachineId,
    pub(super) token: FencingToken,
    /// The agent's epoch for which the commands are meant.
    pub(super) epoch: u64,
    pub(super) commands: Vec<Command>,
    pub(super) sent: Micros,
}

impl Simulation {
    /// Pushes commands to an agent; fails at once where the node has no socket left.
    pub(super) fn push_commands(&mut self, push: PushDelivery) {
        let PushDelivery {
            node: i,
            process,
            epoch,
            sent,
            ..
        } = push;
        let machine = push.machine.clone();
        if self
            .sockets_exhausted_until
            .get(&i)
            .is_some_and(|t| sent < *t)
        {
            if let Some(l) = self.leadership(i, process) {
                l.scheduler.push_failed(&machine, false, sent);
            }
            return;
        }
        self.send(Host::Node(i), self.agent_host(&machine), move |w| {
            w.deliver_pushed_commands(push);
        });
        self.timer(i, PUSH_TIMEOUT, move |w| {
            let now = w.now;
            if let Some(l) = w.leadership(i, process)
                && l.scheduler
                    .machines
                    .get(&machine)
                    .is_some_and(|x| x.push_in_flight && x.epoch.max(1) == epoch)
            {
                l.scheduler.push_failed(&machine, true, now);
            }
        });
    }

    /// Commands reach a machine: they wait while it hangs or its link holds them, and some are delayed.
    fn deliver_pushed_commands(&mut self, push: PushDelivery) {
        let held = self
            .machines
            .get(&push.machine)
            .map(|m| m.commands_held_until)
            .filter(|t| *t > self.now);
        if let Some(t) = self.paused_until(&push.machine).or(held) {
            return self.at(t, move |w| w.deliver_pushed_commands(push));
        }
        let PushDelivery {
            node: i,
            process,
            machine,
            token,
            epoch,
            commands,
            sent,
        } = push;
        if self.draws_fault(self.delayed_commands) {
            let late = Micros(self.random(2_000_000, 16_000_000));
            // They reach the agent, whoever leads by then; nobody waits for the response.
            return self.schedule_on_machine(&machine.clone(), late, move |w| {
                w.log(|| format!("{machine} receives commands of token {} late", token.0));
                w.receive_pushed_commands(&machine, token, epoch, commands);
            });
        }
        let Some((executed, heartbeat)) =
            self.receive_pushed_commands(&machine, token, epoch, commands)
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
        self.at(responds_at, move |w| {
            w.send(w.agent_host(&machine), Host::Node(i), move |w| {
                let now = w.now;
                if now < sent + PUSH_TIMEOUT
                    && let Some(l) = w.leadership(i, process)
                {
                    l.scheduler
                        .push_answered(&machine, executed, Some(&heartbeat), now);
                    w.run_scheduler(i, process);
                }
            });
        });
    }
}
