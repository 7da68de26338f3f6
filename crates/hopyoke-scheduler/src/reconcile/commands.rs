//! Commands to agents: with heartbeat responses, or pushed at once.

use crate::ledger::{Allocation, AllocationState, Job, MachinePhase};
use crate::{Action, Scheduler};
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState};
use hopyoke_types::{Attempt, MachineId, Micros};

/// Starts and removals in one answer.
const MAX_COMMANDS_PER_RESPONSE: usize = 400;

impl Scheduler {
    /// The commands that bring a machine in line with the ledger; all of them can be repeated. `answers`: epoch and
    /// sequence of the heartbeat that they answer; `None`: they are pushed.
    pub(crate) fn commands_for(
        &mut self,
        id: &MachineId,
        answers: Option<(u64, u64)>,
        now: Micros,
    ) -> Vec<Command> {
        let Some(m) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        self.commands_due.remove(id);
        let may_start = m.is_registered && m.is_reconciled(self.token);
        // Stops of work that is over come first and are never left for the next answer: this one renews the
        // lease of whatever it does not stop. (Guards `ran_cancelled`.)
        let mut stops = Vec::new();
        let mut others = Vec::new();
        for ((task, attempt), allocation) in m.allocations_in_flight() {
            let (name, attempt) = (task.to_string(), *attempt);
            let job = self.jobs.get(&task.job);
            // Responses are bounded; the rest goes with the next. A machine holds no more attempts than
            // its heartbeat has room for, so all stops fit.
            let has_room = others.len() < MAX_COMMANDS_PER_RESPONSE;
            match allocation.state {
                AllocationState::Ended(exit_reason) => {
                    if has_room && may_acknowledge(allocation, exit_reason, job, task.index) {
                        let task = name;
                        others.push(Command::Acknowledge { task, attempt });
                    }
                }
                AllocationState::Unconfirmed if allocation.stop.is_some() => {
                    stops.extend(stop_unconfirmed_start(allocation, name, attempt, now));
                }
                AllocationState::Unconfirmed => {
                    if has_room && may_start && job.is_none_or(|j| j.is_start_recorded(attempt)) {
                        match answers {
                            Some(a) => allocation.start_sent_with = Some(a),
                            None => allocation.push_in_flight = true,
                        }
                        let task = name;
                        others.push(Command::Start { task, attempt });
                    }
                }
                AllocationState::Live(state) => {
                    if let Some(stop) = allocation.stop
                        && (state != TaskState::Saving || stop.grace_s == 0.0)
                    {
                        stops.push(Command::Stop {
                            task: name,
                            attempt,
                            grace_s: stop.grace_s,
                        });
                    }
                }
            }
        }
        stops.append(&mut others);
        stops
    }

    /// Sends new commands at once instead of with the answer to the next heartbeat. Results that are
    /// merely to be forgotten can wait for that.
    pub(crate) fn push_commands(&mut self, now: Micros) {
        let mut later = Vec::new();
        while let Some(id) = self.commands_due.pop_first() {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            // Whatever is not up yet gets its commands with the answer to its first heartbeat.
            if m.phase != MachinePhase::Up || !m.is_reconciled(self.token) || m.address.is_none() {
                continue;
            }
            if m.push_in_flight {
                // Its answer makes the commands due again.
                continue;
            }
            if now < m.push_retry_at {
                later.push(id);
                continue;
            }
            let commands: Vec<Command> = self.commands_for(&id, None, now);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if let Some(address) = m.address
                && commands
                    .iter()
                    .any(|o| !matches!(o, Command::Acknowledge { .. }))
            {
                m.push_in_flight = true;
                self.actions.push_back(Action::PushCommands {
                    machine: id,
                    address,
                    epoch: m.epoch,
                    commands,
                });
            }
        }
        self.commands_due.extend(later);
    }

    /// An agent answered pushed commands (or refused them) with its heartbeat.
    pub fn push_answered(
        &mut self,
        machine: &MachineId,
        executed: bool,
        heartbeat: Option<&Heartbeat>,
        now: Micros,
    ) {
        self.end_probe(machine);
        if let Some(m) = self.machines.get_mut(machine) {
            m.push_in_flight = false;
            let answered = heartbeat.map(|r| (r.epoch, r.sequence));
            for (_, allocation) in m.allocations_in_flight().filter(|(_, s)| s.push_in_flight) {
                allocation.push_in_flight = false;
                match answered {
                    // Its heartbeat can't be read: what was started is unknown until another shows it.
                    None => allocation.outcome_unknown |= executed,
                    Some(_) if executed && allocation.start_sent_with < answered => {
                        allocation.start_sent_with = answered
                    }
                    Some(_) => {}
                }
            }
            // A probe that met another epoch than we believed can be repeated at once.
            if !executed && heartbeat.is_none_or(|r| r.epoch == m.epoch) {
                m.push_retry_at = now + Micros::from_millis(500);
            }
        }
        if let Some(r) = heartbeat
            && r.machine == *machine
        {
            self.merge_heartbeat(r, false, now);
        }
        // The epoch was another than we believed; now we know it.
        if self.reconciliation.is_active()
            && self
                .machines
                .get(machine)
                .is_some_and(|m| !m.is_reconciled(self.token))
        {
            self.probes.push(machine.clone());
        }
        // What changed meanwhile, or was refused, is still to be sent.
        self.commands_due.insert(machine.clone());
    }

    /// Pushed commands got no answer. If they may have been sent they may be executed late, at any
    /// time of the epoch.
    pub fn push_failed(&mut self, machine: &MachineId, maybe_sent: bool, now: Micros) {
        self.end_probe(machine);
        if let Some(m) = self.machines.get_mut(machine) {
            m.push_in_flight = false;
            m.push_retry_at = now + Micros::from_secs(3);
            m.unreachable = true;
            if self.reconciliation.is_active() && !m.is_reconciled(self.token) {
                self.probes.push(machine.clone());
            }
            for (_, allocation) in m.allocations_in_flight().filter(|(_, s)| s.push_in_flight) {
                allocation.push_in_flight = false;
                allocation.outcome_unknown |= maybe_sent;
            }
            self.commands_due.insert(machine.clone());
        }
    }
}

/// A result is acknowledged only once it is recorded, and an attempt whose start may yet be executed late
/// never: after the acknowledgement it would run again.
fn may_acknowledge(
    allocation: &Allocation,
    exit_reason: ExitReason,
    job: Option<&Job>,
    index: u32,
) -> bool {
    let is_recorded = match job {
        Some(j) if exit_reason == ExitReason::Done && j.spec.kind != JobKind::Service => {
            j.recorded_done.contains(index)
        }
        _ => true,
    };
    is_recorded && !allocation.outcome_unknown && !allocation.push_in_flight
}

/// Stops an attempt that no heartbeat has shown. Its start may be executed late unless the agent knows the attempt as
/// stopped already, so after a while it is started and stopped in one response.
fn stop_unconfirmed_start(
    allocation: &Allocation,
    task: String,
    attempt: Attempt,
    now: Micros,
) -> impl Iterator<Item = Command> {
    let is_start_repeated =
        allocation.outcome_unknown && now >= allocation.since + Micros::from_secs(5);
    let start = is_start_repeated.then(|| Command::Start {
        task: task.clone(),
        attempt,
    });
    let stop = Command::Stop {
        task,
        attempt,
        grace_s: 0.0,
    };
    start.into_iter().chain([stop])
}
