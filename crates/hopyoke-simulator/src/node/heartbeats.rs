//! Heartbeats of agents, and the cloud's list of machines.

use crate::agent::{MAX_HEARTBEAT_CHARS, heartbeat_chars};
use crate::digest::Channel;
use crate::{Host, Simulation};
use hopyoke_protocol::worker::Heartbeat;
use hopyoke_types::Micros;

impl Simulation {
    /// A heartbeat reaches a node; `copy`: a duplicate whose response nobody waits for.
    pub(crate) fn node_heartbeat(
        &mut self,
        i: usize,
        heartbeat: Heartbeat,
        number: u64,
        copy: bool,
    ) {
        if !self.nodes[i].up && copy {
            return;
        }
        if !self.nodes[i].up {
            let (m, s) = (heartbeat.machine.clone(), heartbeat.epoch);
            let sent = self.now;
            return self.after(Micros::from_millis(5), move |w| {
                w.receive_heartbeat_response(&m, s, number, sent, Some(Err(None)))
            });
        }
        self.digest_message(Channel::Heartbeat, &heartbeat);
        let now = self.now;
        let lease_is_valid = self.lease_is_valid(i);
        let seen = self.nodes[i].observed_leader;
        let answer = match &mut self.nodes[i].leadership {
            // No node accepts a longer body.
            _ if heartbeat_chars(&heartbeat) > MAX_HEARTBEAT_CHARS => Err(None),
            Some(l) if lease_is_valid && heartbeat.token <= l.scheduler.token => {
                let (entities_before, plans) =
                    (l.scheduler.entities_visited(), l.scheduler.plans());
                let a = l.scheduler.heartbeat(&heartbeat, now);
                if l.scheduler.plans() == plans {
                    self.max_entities_per_heartbeat = self
                        .max_entities_per_heartbeat
                        .max(l.scheduler.entities_visited() - entities_before);
                }
                Ok((a.token, a.commands))
            }
            Some(_) => Err(None),
            None => Err(seen.filter(|s| *s != i)),
        };
        let p = self.nodes[i].process;
        if copy {
            // Nobody waits for its answer.
            return self.run_scheduler(i, p);
        }
        let (m, s) = (heartbeat.machine.clone(), heartbeat.epoch);
        let sent = self.machines.get(&m).map_or(now, |m| m.last_heartbeat_at);
        let to = self.agent_host(&m);
        self.send(Host::Node(i), to, move |w| {
            w.receive_heartbeat_response(&m, s, number, sent, Some(answer))
        });
        self.run_scheduler(i, p);
    }

    /// Lists the cloud's machines every 5 s.
    pub(super) fn poll_cloud_inventory(&mut self, i: usize, process: u64) {
        if self.leadership(i, process).is_none() {
            return;
        }
        let now = self.now;
        let listed = self.list_machines();
        if let Some(l) = self.leadership(i, process) {
            l.scheduler.instances_listed(&listed, now);
        }
        self.timer(i, Micros::from_secs(5), move |w| {
            w.poll_cloud_inventory(i, process)
        });
    }
}
