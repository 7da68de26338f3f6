//! Heartbeats of agents, and polls of the cloud's list of machines.

use crate::agent::{MAX_HEARTBEAT_CHARS, heartbeat_chars};
use crate::digest::Channel;
use crate::{Host, Simulation};
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_types::Micros;

impl Simulation {
    /// Handles a heartbeat that reaches a node. The response to a duplicate is dropped.
    pub(crate) fn node_heartbeat(
        &mut self,
        node: usize,
        heartbeat: Heartbeat,
        sequence: u64,
        is_duplicate: bool,
    ) {
        if !self.nodes[node].up && is_duplicate {
            return;
        }
        if !self.nodes[node].up {
            let (machine, epoch) = (heartbeat.machine.clone(), heartbeat.epoch);
            let sent = self.now;
            return self.after(Micros::from_millis(5), move |sim| {
                sim.receive_heartbeat_response(&machine, epoch, sequence, sent, Some(Err(None)))
            });
        }
        self.digest_message(Channel::Heartbeat, &heartbeat);
        let now = self.now;
        let lease_is_valid = self.lease_is_valid(node);
        let observed_leader = self.nodes[node].observed_leader;
        let result = match &mut self.nodes[node].leadership {
            // Nodes reject longer bodies.
            _ if heartbeat_chars(&heartbeat) > MAX_HEARTBEAT_CHARS => Err(None),
            Some(l) if lease_is_valid && !l.scheduler.is_superseded_by(heartbeat.token) => {
                let (entities_before, cycles_before) =
                    (l.scheduler.entities_visited(), l.scheduler.cycles());
                let response = l.scheduler.heartbeat(&heartbeat, now);
                if l.scheduler.cycles() == cycles_before {
                    self.max_entities_per_heartbeat = self
                        .max_entities_per_heartbeat
                        .max(l.scheduler.entities_visited() - entities_before);
                }
                Ok((response.token, response.commands))
            }
            Some(_) => Err(None),
            None => Err(observed_leader.filter(|leader| *leader != node)),
        };
        let process = self.nodes[node].process;
        if is_duplicate {
            return self.run_scheduler(node, process);
        }
        let (machine, epoch) = (heartbeat.machine.clone(), heartbeat.epoch);
        let sent = self
            .machines
            .get(&machine)
            .map_or(now, |m| m.last_heartbeat_at);
        let agent = self.agent_host(&machine);
        self.send(Host::Node(node), agent, move |sim| {
            sim.receive_heartbeat_response(&machine, epoch, sequence, sent, Some(result))
        });
        self.run_scheduler(node, process);
    }

    /// Lists the cloud's machines every 5 s.
    pub(super) fn poll_cloud_inventory(&mut self, node: usize, process: u64) {
        if self.leadership(node, process).is_none() {
            return;
        }
        let now = self.now;
        let listed = self.list_machines();
        if let Some(l) = self.leadership(node, process) {
            l.scheduler.instances_listed(&listed, now);
        }
        self.timer(node, Micros::from_secs(5), move |sim| {
            sim.poll_cloud_inventory(node, process)
        });
    }
}
