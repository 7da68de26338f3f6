//! Handling of heartbeats, which rebuild and update the ledger and renew agents' leases.

use crate::Scheduler;
use crate::ledger::{Machine, MachinePhase};
use hopyoke_protocol::worker::{Command, Heartbeat};
use hopyoke_types::{FencingToken, Micros, TaskId};
use tracing::{info, warn};

/// Response to a heartbeat.
#[derive(Debug, PartialEq)]
pub struct HeartbeatReply {
    /// Fencing token of the commands.
    pub token: FencingToken,
    /// False if the heartbeat was ignored: it was not newer than earlier ones, or its machine is deleted.
    pub is_fresh: bool,
    /// Commands to the agent.
    pub commands: Vec<Command>,
}

impl Scheduler {
    /// Handles a heartbeat. The response renews the agent's lease.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Micros) -> HeartbeatReply {
        // An outdated heartbeat, or one of a deleted machine, is answered without commands.
        let is_fresh = self.merge_heartbeat(heartbeat, true, now);
        let lease_bound = self.cfg.lease_bound();
        let mut commands = Vec::new();
        if let Some(m) = self.machines.get_mut(&heartbeat.machine) {
            // The agent counts its lease from the sending of the heartbeat, which is earlier, so the lease
            // never outlasts this bound.
            m.lease_end = m.lease_end.max(now + lease_bound);
        }
        if is_fresh {
            // Runs a due scheduling cycle first, so that its commands go with this response.
            if self.placement_schedule.is_requested_cycle_due(now) {
                self.run_due_work(now);
            }
            commands = self.commands_for(
                &heartbeat.machine,
                Some((heartbeat.epoch, heartbeat.sequence)),
                now,
            );
        }
        let machine = self.machines.get(&heartbeat.machine);
        HeartbeatReply {
            token: machine.map_or(self.token, |m| m.agent_token.current()),
            is_fresh,
            commands,
        }
    }

    /// Returns whether a token that an agent has seen belongs to a later leader.
    pub fn is_superseded_by(&self, token: FencingToken) -> bool {
        self.command_tokens.is_superseded_by(token)
    }

    /// Merges a heartbeat into the ledger and returns true, or returns false if it is to be ignored.
    ///
    /// `renews_lease` is true for a heartbeat proper and false for the status in the answer to a push.
    pub(crate) fn merge_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        renews_lease: bool,
        now: Micros,
    ) -> bool {
        let id = &heartbeat.machine;
        if self.inventory.deleted.contains_key(id) {
            return false;
        }
        if !self.machines.contains_key(id) {
            if !renews_lease {
                return false;
            }
            // Requested by an earlier leader, or by a scale-out request whose response was lost.
            let mut m = Machine::new(
                id.clone(),
                heartbeat.machine_type.clone(),
                heartbeat.zone.clone(),
                heartbeat.spot,
                self.token,
                now,
            );
            m.lease_end = now + self.cfg.lease_bound();
            self.machines.insert(id.clone(), m);
        }
        let Some(is_new_epoch) = self.merge_machine_status(heartbeat, renews_lease, now) else {
            return false;
        };
        if is_new_epoch {
            // The agent dropped all tasks of its earlier epoch, and refuses commands pushed to it.
            self.clear_allocations(id);
        }
        self.merge_tasks(heartbeat, renews_lease, now);
        true
    }

    /// Merges the machine's own status, and returns whether the agent's epoch is new. `None` if the
    /// heartbeat is not newer than the newest one so far.
    fn merge_machine_status(
        &mut self,
        heartbeat: &Heartbeat,
        renews_lease: bool,
        now: Micros,
    ) -> Option<bool> {
        let earlier_epochs_expired = self.earlier_epochs_expired(now);
        let id = &heartbeat.machine;
        let m = self.machines.get_mut(id)?;
        // Heartbeats may arrive out of order.
        if (heartbeat.epoch, heartbeat.sequence) <= (m.epoch, m.sequence) {
            return None;
        }
        let is_new_epoch = heartbeat.epoch > m.epoch;
        let is_back = m.phase != MachinePhase::Up;
        let provisioned_after = (m.phase == MachinePhase::Provisioning && m.is_request_time_known)
            .then_some(now - m.requested_at);
        let was_reconciled = m.is_reconciled(self.token);
        m.epoch = heartbeat.epoch;
        m.sequence = heartbeat.sequence;
        m.token_seen = m.token_seen.max(heartbeat.token);
        m.epoch_began_after_grant |= renews_lease && earlier_epochs_expired;
        self.placement_schedule
            .request_if(is_back || was_reconciled != m.is_reconciled(self.token));
        if !m.is_registered {
            self.registry.request_registration(id);
        }
        self.receive_health
            .heartbeat_received(self.cfg.heartbeat_interval, now);
        m.last_seen = now;
        m.unreachable = false;
        m.presumed_deleted = false;
        m.address = heartbeat.address.parse().ok();
        m.spot = heartbeat.spot;
        m.phase = MachinePhase::Up;
        if is_new_epoch || (is_back && m.lease_end <= now) {
            // A new epoch starts with a full lease and may have begun just now, while `lease_end` was that
            // of the epoch before. Answers to pushes reveal new epochs too (scenario
            // epoch_learned_by_pushed_command).
            m.lease_end = m.lease_end.max(now + self.cfg.lease_bound());
        }
        if is_back {
            info!(machine = %id, zone = %m.zone, spot = m.spot, epoch = m.epoch, "machine is up: its agent sends heartbeats");
        }
        self.merge_preemption_notice(heartbeat, now);
        if let Some(took) = provisioned_after {
            self.record_provisioning_time(&heartbeat.machine_type, took, now);
        }
        Some(is_new_epoch)
    }

    fn merge_preemption_notice(&mut self, heartbeat: &Heartbeat, now: Micros) {
        let id = &heartbeat.machine;
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let preemption_at = heartbeat
            .preemption_notice_s
            .map(|s| now + Micros::from_secs_f64(s));
        if preemption_at.is_some() && m.preemption_notice_at.is_none() {
            self.placement_schedule.request();
            info!(machine = %id, zone = %m.zone, in_s = heartbeat.preemption_notice_s, "preemption notice received");
        }
        m.preemption_notice_at = preemption_at;
    }

    fn record_provisioning_time(&mut self, machine_type: &str, took: Micros, now: Micros) {
        let nominal = self.boot_time(machine_type);
        if nominal > Micros::ZERO {
            let in_boot_times = |t: Micros| t.as_secs_f64() / nominal.as_secs_f64();
            self.provisioning_estimator.record_provisioned(
                machine_type,
                in_boot_times(took),
                in_boot_times(now),
            );
        }
    }

    fn merge_tasks(&mut self, heartbeat: &Heartbeat, renews_lease: bool, now: Micros) {
        let id = &heartbeat.machine;
        let allocations = self.machines.get(id).map_or(0, |m| m.allocations().len());
        self.add_visited(1 + heartbeat.tasks.len() + allocations);
        let mut listed = Vec::with_capacity(heartbeat.tasks.len());
        for t in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                warn!(machine = %id, task = %t.task, "heartbeat lists a malformed task id");
                continue;
            };
            listed.push((task.clone(), t.attempt));
            self.merge_task(id, task, t, now);
        }
        listed.sort_unstable();
        self.remove_absent_attempts(id, &listed, renews_lease, heartbeat, now);
    }
}
