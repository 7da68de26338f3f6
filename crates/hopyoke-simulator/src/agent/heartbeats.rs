//! Heartbeats of agents, responses to them, pushed commands, and the lease of an agent.

use super::{AgentMemory, HeartbeatResult, RememberedEpoch};
use crate::{Host, Simulation};
use hopyoke_protocol::worker::{Command, Heartbeat};
use hopyoke_types::{Attempt, FencingToken, MachineId, Micros, TaskId};

/// Time after which an unanswered heartbeat counts as failed.
const HEARTBEAT_TIMEOUT: Micros = Micros::from_secs(4);

impl Simulation {
    /// Starts the agent of a machine that has booted.
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

    /// Sends heartbeats periodically, with a jitter of 25 % of the interval.
    fn run_heartbeat_timer(&mut self, id: &MachineId) {
        let base = self.config.heartbeat_interval.0;
        let interval = Micros(self.random(base * 3 / 4, base * 5 / 4));
        let m = id.clone();
        self.after(interval, move |sim| {
            if sim.machines.contains_key(&m) {
                sim.send_heartbeat(&m);
                sim.run_heartbeat_timer(&m);
            }
        });
        let m = id.clone();
        self.check_agent_lease(&m);
    }

    /// Ends the epoch and kills all tasks once the lease has expired. The lease runs from the sending of the last
    /// answered heartbeat, by the agent's own clock.
    fn check_agent_lease(&mut self, id: &MachineId) {
        let lease = self.config.lease;
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let limit = Micros((lease.0 as f64 * (1.0 + m.clock_drift)) as u64);
        if now > m.lease_started_at + limit {
            m.epoch += 1;
            self.expired_epochs += 1;
            m.lease_started_at = now;
            m.in_flight = None;
            let killed: Vec<(TaskId, Attempt)> = std::mem::take(&mut m.tasks).into_keys().collect();
            self.log(|| format!("{id} lease expired, {} tasks killed", killed.len()));
            for (t, a) in killed {
                self.end_gang_on_member_loss(&t.job, a);
            }
        } else {
            let at = m.lease_started_at + limit + Micros(1);
            let id = id.clone();
            self.at(at, move |sim| sim.check_agent_lease(&id));
        }
    }

    /// Restarts a machine: it is back at once, without its tasks and images, and with what its agent `remembers`.
    pub(crate) fn reboot(&mut self, id: &MachineId, remembers: &AgentMemory) {
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        m.epoch = match remembers.epoch {
            RememberedEpoch::Same => m.epoch,
            RememberedEpoch::Next => m.epoch + 1,
            RememberedEpoch::First => 1,
        };
        if !remembers.token {
            m.token = FencingToken(0);
        }
        if !remembers.sequence {
            m.sequence = 0;
        }
        (m.in_flight, m.lease_started_at) = (None, now);
        m.images.clear();
        let killed: Vec<(TaskId, Attempt)> = std::mem::take(&mut m.tasks).into_keys().collect();
        self.log(|| format!("{id} restarts, {} tasks lost", killed.len()));
        for (task, attempt) in killed {
            self.end_gang_on_member_loss(&task.job, attempt);
        }
        self.send_heartbeat(id);
    }

    /// Schedules a heartbeat that reports a change, at least half a second after the previous heartbeat.
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
        self.at(at, move |sim| {
            if let Some(m) = sim.machines.get_mut(&id) {
                m.heartbeat_scheduled = false;
                sim.send_heartbeat(&id);
            }
        });
    }

    /// Schedules a heartbeat that reports a higher token, at most one in half of a lease.
    fn report_token_change(&mut self, id: &MachineId) {
        let (now, min_interval) = (self.now, Micros(self.config.lease.0 / 2));
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if m.token_change_reported_at
            .is_none_or(|t| now >= t + min_interval)
        {
            m.token_change_reported_at = Some(now);
            self.schedule_heartbeat(id);
        }
    }

    /// Sends a heartbeat unless one is in flight. A machine that hangs sends it when it resumes.
    fn send_heartbeat(&mut self, id: &MachineId) {
        if let Some(t) = self.paused_until(id) {
            let m = id.clone();
            return self.at(t, move |sim| sim.send_heartbeat(&m));
        }
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if !m.up || m.in_flight.is_some() {
            return;
        }
        let heartbeat = m.next_heartbeat(now);
        let (sequence, epoch) = (m.sequence, m.epoch);
        m.in_flight = Some(sequence);
        m.last_heartbeat_at = now;
        let is_outbound_lost = now < m.outbound_lost_until;
        let node = m.node;
        let machine = id.clone();
        if self
            .connections_refused_until
            .get(id)
            .is_some_and(|t| now < *t)
        {
            return self.after(Micros::from_millis(1), move |sim| {
                sim.receive_heartbeat_response(&machine, epoch, sequence, now, Some(Err(None)));
            });
        }
        if !is_outbound_lost {
            self.transmit_heartbeat(node, heartbeat);
        }
        self.after(HEARTBEAT_TIMEOUT, move |sim| {
            sim.receive_heartbeat_response(&machine, epoch, sequence, now, None);
        });
    }

    /// Sends a heartbeat to a node. Injected faults may duplicate it or hold it back for the next leader.
    fn transmit_heartbeat(&mut self, node: usize, heartbeat: Heartbeat) {
        let sequence = heartbeat.sequence;
        if self.draws_fault(self.duplicated_heartbeats) {
            // The duplicate may arrive after the lease has expired.
            let copy = heartbeat.clone();
            let delay = Micros(self.random(2_000_000, self.config.lease.0 * 8 / 5));
            self.after(delay, move |sim| {
                let from = sim.agent_host(&copy.machine);
                sim.send(from, Host::Node(node), move |sim| {
                    sim.node_heartbeat(node, copy, sequence, true)
                });
            });
        }
        if self.draws_fault(self.heartbeats_for_next_leader.copied) {
            self.heartbeats_for_next_leader.kept.push(heartbeat.clone());
        }
        if self.draws_fault(self.heartbeats_for_next_leader.held) {
            self.heartbeats_for_next_leader.kept.push(heartbeat);
        } else {
            let from = self.agent_host(&heartbeat.machine);
            self.send(from, Host::Node(node), move |sim| {
                sim.node_heartbeat(node, heartbeat, sequence, false)
            });
        }
    }

    /// Delivers the heartbeats that were held back for a new leader to every node, out of order.
    pub(crate) fn deliver_heartbeats_held_for_leader(&mut self) {
        for heartbeat in std::mem::take(&mut self.heartbeats_for_next_leader.kept) {
            for node in 0..self.nodes.len() {
                let (heartbeat, sequence) = (heartbeat.clone(), heartbeat.sequence);
                self.after(self.heartbeats_for_next_leader.after, move |sim| {
                    let from = sim.agent_host(&heartbeat.machine);
                    sim.send(from, Host::Node(node), move |sim| {
                        sim.node_heartbeat(node, heartbeat, sequence, true)
                    });
                });
            }
        }
    }

    /// Handles the response to a heartbeat that was sent at `sent`. `None` means that it timed out.
    pub(crate) fn receive_heartbeat_response(
        &mut self,
        id: &MachineId,
        epoch: u64,
        sequence: u64,
        sent: Micros,
        response: Option<HeartbeatResult>,
    ) {
        if let Some(t) = self.paused_until(id) {
            let id = id.clone();
            return self.at(t, move |sim| {
                sim.receive_heartbeat_response(&id, epoch, sequence, sent, response)
            });
        }
        let nodes = self.nodes.len();
        let now = self.now;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        if now < m.responses_lost_until && response.is_some() {
            return;
        }
        if now < m.responses_held_until && response.is_some() {
            let (id, until) = (id.clone(), m.responses_held_until);
            return self.at(until, move |sim| {
                sim.receive_heartbeat_response(&id, epoch, sequence, sent, response)
            });
        }
        if m.in_flight != Some(sequence) || m.epoch != epoch {
            return;
        }
        if now > sent + HEARTBEAT_TIMEOUT && response.is_some() {
            return;
        }
        m.in_flight = None;
        match response {
            Some(Ok((token, commands))) => {
                self.digest_heartbeat_response(token, &commands);
                let Some(m) = self.machines.get_mut(id) else {
                    return;
                };
                if token >= m.token {
                    let is_higher = token > m.token;
                    m.token = token;
                    m.lease_started_at = sent;
                    if is_higher {
                        self.report_token_change(id);
                    }
                    self.execute_commands(id, commands);
                }
            }
            Some(Err(Some(redirect))) if redirect != m.node => {
                m.node = redirect;
                let id = id.clone();
                self.after(Micros::from_millis(100), move |sim| sim.send_heartbeat(&id));
            }
            _ => {
                m.node = (m.node + 1) % nodes;
                let id = id.clone();
                self.after(Micros::from_secs(1), move |sim| sim.send_heartbeat(&id));
            }
        }
    }

    /// Handles commands that a leader pushed to an agent. Returns whether they were accepted and the agent's next
    /// heartbeat. Returns `None` if the machine no longer exists or its response is lost.
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
        let is_accepted = token >= m.token && epoch == m.epoch;
        if is_accepted {
            m.token = token;
            self.execute_commands(id, commands);
        }
        let m = self.machines.get_mut(id)?;
        Some((is_accepted, m.next_heartbeat(now)))
    }
}
