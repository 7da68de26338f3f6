//! Probes: after a failover registered machines are asked at once what runs on them.

use crate::ledger::MachinePhase;
use crate::{Action, Scheduler};
use hopyoke_types::{MachineId, Micros};
use std::collections::VecDeque;

/// Machines asked at the same time: each takes a socket, and silent ones hold theirs for the
/// whole time limit, so there must be enough for the others to pass them.
const MAX_PROBES_IN_FLIGHT: usize = 96;

/// Machines to be asked what runs on them.
#[derive(Debug, Default)]
pub(crate) struct FailoverProbes {
    queue: VecDeque<MachineId>,
    /// Probes under way.
    in_flight: usize,
}

impl FailoverProbes {
    pub(crate) fn push(&mut self, machine: MachineId) {
        self.queue.push_back(machine);
    }
}

impl Scheduler {
    /// After a failover, registered machines are asked at once what is on them, instead of waiting
    /// until each finds us with a heartbeat: an empty push shows them our token, and its
    /// answer is their report. (A machine that is known to have seen our token is accounted for.)
    /// Machines that are overdue and no longer listed are asked too, before they are given up.
    pub(crate) fn send_probes(&mut self, now: Micros) {
        for _ in 0..self.probes.queue.len() {
            if !self.can_probe() {
                return;
            }
            let Some(id) = self.probes.queue.pop_front() else {
                return;
            };
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            let needs_probe = m.phase != MachinePhase::Lost
                && !m.deleting
                && (m.presumed_deleted || !m.is_reconciled(self.token));
            let Some(address) = m.address.filter(|_| needs_probe) else {
                continue;
            };
            if m.push_in_flight || now < m.push_retry_at {
                self.probes.push(id);
                continue;
            }
            m.push_in_flight = true;
            m.probe_in_flight = true;
            m.probed_at = now;
            self.probes.in_flight += 1;
            // Most machines are in their first epoch; the refusal tells of another.
            let epoch = m.epoch.max(1);
            self.actions.push_back(Action::PushCommands {
                machine: id,
                address,
                epoch,
                commands: Vec::new(),
            });
        }
    }

    pub(crate) fn can_probe(&self) -> bool {
        !self.probes.queue.is_empty() && self.probes.in_flight < MAX_PROBES_IN_FLIGHT
    }

    pub(crate) fn end_probe(&mut self, id: &MachineId) {
        if let Some(m) = self.machines.get_mut(id)
            && std::mem::take(&mut m.probe_in_flight)
        {
            self.probes.in_flight -= 1;
        }
    }
}
