//! Probes: requests for the status of registered machines after a failover.

use crate::ledger::MachinePhase;
use crate::{Action, Scheduler};
use hopyoke_types::{MachineId, Micros};
use std::collections::VecDeque;

/// Limit on concurrent probes. Each takes a socket, and unresponsive machines hold theirs until the timeout,
/// so the limit must leave enough for the others.
const MAX_PROBES_IN_FLIGHT: usize = 96;

/// Queue of machines to be probed.
#[derive(Debug, Default)]
pub(crate) struct FailoverProbes {
    queue: VecDeque<MachineId>,
    /// Number of probes that await an answer.
    in_flight: usize,
}

impl FailoverProbes {
    pub(crate) fn push(&mut self, machine: MachineId) {
        self.queue.push_back(machine);
    }
}

impl Scheduler {
    /// Probes registered machines that are not reconciled, instead of waiting for their heartbeats to reach
    /// this leader. A probe is a push without commands: it passes on this leader's token, and the answer
    /// carries the machine's status. Once a machine has seen the token it is accounted for.
    ///
    /// Machines that are presumed deleted are probed too, before they are removed.
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
            // An unknown epoch is most likely the first; a refusal carries the actual one.
            let epoch = m.epoch.max(1);
            self.actions.push_back(Action::PushCommands {
                machine: id,
                address,
                token: m.agent_token.current(),
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
