//! Detects that the leader is isolated from all agents.

use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeSet;

/// Detects that the leader receives no heartbeats although it should, so that it is isolated from its agents and must
/// step down. The timeout depends on the number of machines.
///
/// Each agent sends a heartbeat every `heartbeat_interval`, with a jitter of a quarter. Once many agents have
/// discovered the leader, one and a half intervals without any heartbeat mean isolation; with few agents, it may be
/// chance. After a failover, agents first have to discover the new leader: each tries one node after the other, with a
/// response timeout for each node that is down. An agent that answers pushed commands meanwhile shows that the leader
/// isn't isolated, so the leader then waits for discovery. Only time during which this process ran and held a valid
/// lease counts: after a stall, the heartbeats of that time are still in socket buffers, so their absence says nothing
/// about the agents.
///
/// Guards against a leader that steps down on resuming from a stall, against machine leases that expire while an
/// overloaded leader waits, and against a new leader that steps down before agents have tried the nodes that are down.
#[derive(Debug, Clone)]
pub struct HeartbeatMonitor {
    heartbeat_interval: Micros,
    /// Maximum time that an agent needs to discover the only node that answers.
    max_discovery_time: Micros,
    /// Machines known to have discovered this leader, at most [`MANY_MACHINES`].
    discovered: BTreeSet<MachineId>,
    /// Whether an agent has answered pushed commands.
    command_answered: bool,
    /// Time since the last heartbeat, without stalls.
    silence: Micros,
    last_check_at: Micros,
}

/// Number of machines from which the shorter timeout applies.
const MANY_MACHINES: usize = 8;
/// An agent's response timeout plus its delay before it tries the next node.
const ATTEMPT_TIME: Micros = Micros::from_secs(4 + 1);
/// Maximum time counted between two checks; a longer gap means that the process was stalled.
const MAX_CHECK_INTERVAL: Micros = Micros::from_millis(500);

impl HeartbeatMonitor {
    /// Creates a monitor for a new leader. `heartbeat_interval` is the interval of one agent; `nodes` is the number of
    /// nodes, including this one.
    #[must_use]
    pub fn new(heartbeat_interval: Micros, nodes: u32, now: Micros) -> HeartbeatMonitor {
        let max_discovery_time =
            ATTEMPT_TIME.times(u64::from(nodes.saturating_sub(1))) + heartbeat_interval.times(2);
        HeartbeatMonitor {
            heartbeat_interval,
            max_discovery_time,
            discovered: BTreeSet::new(),
            command_answered: false,
            silence: Micros::ZERO,
            last_check_at: now,
        }
    }

    /// Records a heartbeat. `acknowledges_leader` is set if it shows that its agent has received a response or commands
    /// from this leader; otherwise the network may have delayed it since before the agent began its discovery.
    pub fn heartbeat_received(&mut self, machine: &MachineId, acknowledges_leader: bool) {
        if acknowledges_leader
            && self.discovered.len() < MANY_MACHINES
            && !self.discovered.contains(machine)
        {
            self.discovered.insert(machine.clone());
        }
        self.silence = Micros::ZERO;
    }

    /// Records that an agent answered pushed commands.
    pub fn command_answered(&mut self) {
        self.command_answered = true;
    }

    /// Returns whether the leader is isolated: no heartbeat arrives although this number of `machines` should send
    /// them. Must be called several times a second.
    pub fn is_isolated(&mut self, machines: usize, lease_is_valid: bool, now: Micros) -> bool {
        let elapsed = now - self.last_check_at;
        self.last_check_at = self.last_check_at.max(now);
        if !lease_is_valid {
            // Agents that are refused try other nodes and have to discover this one again.
            self.discovered.clear();
            (self.command_answered, self.silence) = (false, Micros::ZERO);
            return false;
        }
        self.silence += elapsed.min(MAX_CHECK_INTERVAL);
        machines >= 2 && self.silence > self.isolation_timeout(machines)
    }

    fn isolation_timeout(&self, machines: usize) -> Micros {
        let few_machines_timeout = self.heartbeat_interval.times(3).max(Micros::from_secs(6));
        if self.discovered.len() < machines.min(MANY_MACHINES) {
            return if self.command_answered {
                few_machines_timeout.max(self.max_discovery_time)
            } else {
                few_machines_timeout
            };
        }
        if machines >= MANY_MACHINES {
            Micros(self.heartbeat_interval.0 * 3 / 2) + MAX_CHECK_INTERVAL
        } else {
            few_machines_timeout
        }
    }
}
