//! Commands to agents, in heartbeat responses or pushed.

use crate::ledger::{Allocation, AllocationState, Job, MachinePhase};
use crate::{Action, Scheduler};
use hopyoke_protocol::user::JobKind;
use hopyoke_protocol::worker::{Command, ExitReason, Heartbeat, TaskState};
use hopyoke_types::{Attempt, MachineId, Micros};

/// Limit on starts and acknowledgements in one response or push.
const MAX_COMMANDS_PER_RESPONSE: usize = 400;

impl Scheduler {
    /// Returns the commands that bring a machine in line with the ledger. All of them may be repeated.
    ///
    /// `answers` is the (epoch, sequence) of the heartbeat that they answer; `None` if they are pushed.
    pub(crate) fn commands_for(
        &mut self,
        id: &MachineId,
        answers: Option<(u64, u64)>,
        now: Micros,
    ) -> Vec<Command> {
        let may_acknowledge = self.may_acknowledge(id, answers.is_some(), now);
        let Some(m) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        self.commands_due.remove(id);
        let may_start = m.is_registered && m.is_reconciled(self.token);
        // Stops come first and are never deferred to the next response, as this one renews the lease of
        // every task that it does not stop. Guards the invariant `ran_cancelled`.
        let mut stops = Vec::new();
        let mut others = Vec::new();
        let pushed_under = answers.is_none().then(|| m.agent_token.current());
        for ((task, attempt), allocation) in m.allocations_in_flight() {
            let (name, attempt) = (task.to_string(), *attempt);
            let job = self.jobs.get(&task.job);
            // Other commands beyond the limit go with the next response. Stops need no limit: a machine
            // holds no more attempts than fit into its heartbeat.
            let is_below_limit = others.len() < MAX_COMMANDS_PER_RESPONSE;
            match allocation.state {
                AllocationState::Ended(exit_reason) => {
                    if may_acknowledge
                        && is_below_limit
                        && is_result_recorded(exit_reason, job, task.index)
                    {
                        let task = name;
                        others.push(Command::Acknowledge { task, attempt });
                    }
                }
                _ if allocation.is_missing => {}
                AllocationState::Unconfirmed if allocation.stop.is_some() => {
                    allocation.pushed_under = pushed_under.max(allocation.pushed_under);
                    stops.extend(stop_unconfirmed_start(allocation, name, attempt, now));
                }
                AllocationState::Unconfirmed => {
                    if is_below_limit
                        && may_start
                        && job.is_none_or(|j| j.is_start_recorded(attempt))
                    {
                        match answers {
                            Some(a) => allocation.start_sent_with = Some(a),
                            None => allocation.push_in_flight = true,
                        }
                        allocation.pushed_under = pushed_under.max(allocation.pushed_under);
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

    /// Returns whether a message to an agent may acknowledge attempts that have ended, so that the agent forgets them.
    ///
    /// If a start was pushed under the agent's current token, the token is raised first. Only responses raise it, and only
    /// while no push awaits its answer: otherwise one message would overtake another with a lower token, which the agent
    /// would refuse.
    fn may_acknowledge(&mut self, id: &MachineId, is_response: bool, now: Micros) -> bool {
        let Some(m) = self.machines.get_mut(id) else {
            return false;
        };
        if m.agent_token.may_acknowledge() {
            return true;
        }
        let jobs = &self.jobs;
        let is_any_due = m.allocations().iter().any(|((task, _), allocation)| {
            if allocation.is_missing {
                return true;
            }
            let AllocationState::Ended(exit_reason) = allocation.state else {
                return false;
            };
            is_result_recorded(exit_reason, jobs.get(&task.job), task.index)
        });
        is_response
            && is_any_due
            && !m.push_in_flight
            && m.agent_token.raise(&mut self.command_tokens, now)
    }

    /// Pushes new commands instead of waiting for the next heartbeat. Acknowledgements alone are not
    /// pushed.
    pub(crate) fn push_commands(&mut self, now: Micros) {
        let mut later = Vec::new();
        while let Some(id) = self.commands_due.pop_first() {
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            // Other machines get their commands in the response to their next heartbeat.
            if m.phase != MachinePhase::Up || !m.is_reconciled(self.token) || m.address.is_none() {
                continue;
            }
            if m.push_in_flight {
                // The answer to that push marks the commands as due again.
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
                if commands.iter().any(|c| matches!(c, Command::Start { .. })) {
                    m.agent_token.start_pushed();
                }
                self.actions.push_back(Action::PushCommands {
                    machine: id,
                    address,
                    token: m.agent_token.current(),
                    epoch: m.epoch,
                    commands,
                });
            }
        }
        self.commands_due.extend(later);
    }

    /// Handles an agent's answer to pushed commands, which carries its status. `executed` is false if it
    /// refused them; `heartbeat` is `None` if its status can't be decoded.
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
                    // Which starts were executed is unknown until a heartbeat lists them.
                    None => allocation.outcome_unknown |= executed,
                    Some(_) if executed && allocation.start_sent_with < answered => {
                        allocation.start_sent_with = answered
                    }
                    Some(_) => {}
                }
            }
            // A push that was refused because of another epoch than expected is repeated immediately, any
            // other refused one after a pause.
            if !executed && heartbeat.is_none_or(|r| r.epoch == m.epoch) {
                m.push_retry_at = now + Micros::from_millis(500);
            }
        }
        if let Some(r) = heartbeat
            && r.machine == *machine
        {
            self.merge_heartbeat(r, false, now);
        }
        // The agent's epoch differed from the expected one, which is now known: probes it again.
        if self.reconciliation.is_active()
            && self
                .machines
                .get(machine)
                .is_some_and(|m| !m.is_reconciled(self.token))
        {
            self.probes.push(machine.clone());
        }
        // Sends commands that were refused or became due since the push.
        self.commands_due.insert(machine.clone());
    }

    /// Handles a push without an answer. If `maybe_sent`, its commands may be executed at any later time
    /// in the agent's epoch.
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

/// Returns true if the result of an ended attempt is stored, or need not be.
fn is_result_recorded(exit_reason: ExitReason, job: Option<&Job>, index: u32) -> bool {
    match job {
        Some(j) if exit_reason == ExitReason::Done && j.spec.kind != JobKind::Service => {
            j.recorded_done.contains(index)
        }
        _ => true,
    }
}

/// Returns the commands that stop an attempt that no heartbeat has confirmed.
///
/// A late start takes effect unless the agent already knows the attempt as stopped. So if the outcome of
/// the start is unknown, after a while the attempt is started and stopped in the same response.
fn stop_unconfirmed_start(
    allocation: &Allocation,
    task: String,
    attempt: Attempt,
    now: Micros,
) -> impl Iterator<Item = Command> {
    let is_start_repeated =
        allocation.outcome_unknown && now >= allocation.created_at + Micros::from_secs(5);
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
