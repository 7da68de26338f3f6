//! Whether any machine still reaches the leader.

use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeSet;

/// Detects that a leader receives no heartbeats although it should: it is isolated from its agents and has to step
/// down. How soon that is certain depends on the number of machines.
///
/// Each agent sends a heartbeat every `heartbeat_interval`, give or take a quarter. Once many agents have found the
/// leader, no heartbeat for one and a half intervals is no coincidence; with a few it may be. After a failover agents
/// have to find the new leader first: each tries one node after the other, and those that are down cost it a response
/// timeout each. An agent that answers pushed commands meanwhile shows that the leader is not the one that is cut off.
/// Only time in which this process ran and held a valid lease counts: after a stall the heartbeats of that time are
/// still in socket buffers, and silence then says nothing about the agents. (Guards against leadership that is given
/// away on waking, against machines whose leases expire while an overloaded leader waits, and against a new leader that
/// gives up before agents have tried the nodes that are down.)
#[derive(Debug, Clone)]
pub struct HeartbeatMonitor {
    heartbeat_interval: Micros,
    /// The longest time that an agent needs to find the one node that answers.
    max_discovery_time: Micros,
    /// Machines that have found this leader, up to [`MANY_MACHINES`].
    found: BTreeSet<MachineId>,
    /// An agent answered pushed commands.
    command_answered: bool,
    silence: Micros,
    last_check_at: Micros,
}

/// From this number of machines on, the absence of all heartbeats is certain soon.
const MANY_MACHINES: usize = 8;
/// An agent's response timeout, and its delay until it tries the next node.
const ATTEMPT_TIME: Micros = Micros::from_secs(4 + 1);
/// Between two checks no more than this counts as silence: a process that runs checks more often.
const MAX_CHECK_INTERVAL: Micros = Micros::from_millis(500);

impl HeartbeatMonitor {
    /// For a leader that has received no heartbeat yet. `heartbeat_interval` is the time between two heartbeats of one
    /// agent; `nodes` is the number of nodes, this one included.
    #[must_use]
    pub fn new(heartbeat_interval: Micros, nodes: u32, now: Micros) -> HeartbeatMonitor {
        let max_discovery_time =
            ATTEMPT_TIME.times(u64::from(nodes.saturating_sub(1))) + heartbeat_interval.times(2);
        HeartbeatMonitor {
            heartbeat_interval,
            max_discovery_time,
            found: BTreeSet::new(),
            command_answered: false,
            silence: Micros::ZERO,
            last_check_at: now,
        }
    }

    /// A heartbeat was received; `acknowledges_leader`: it shows that its agent has received a response, or commands, of
    /// this leader. One that does not may have been delayed by the network, from before its agent began its search.
    pub fn heartbeat_received(&mut self, machine: &MachineId, acknowledges_leader: bool) {
        if acknowledges_leader && self.found.len() < MANY_MACHINES && !self.found.contains(machine)
        {
            self.found.insert(machine.clone());
        }
        self.silence = Micros::ZERO;
    }

    /// An agent answered pushed commands.
    pub fn command_answered(&mut self) {
        self.command_answered = true;
    }

    /// Checks again, as is to be done several times a second; true if no heartbeat arrives although this number of
    /// `machines` should send some.
    pub fn is_isolated(&mut self, machines: usize, lease_is_valid: bool, now: Micros) -> bool {
        let span = now - self.last_check_at;
        self.last_check_at = self.last_check_at.max(now);
        if !lease_is_valid {
            // Agents that are refused try another node, and need a while to come back.
            self.found.clear();
            (self.command_answered, self.silence) = (false, Micros::ZERO);
            return false;
        }
        self.silence += span.min(MAX_CHECK_INTERVAL);
        machines >= 2 && self.silence > self.max_silence(machines)
    }

    fn max_silence(&self, machines: usize) -> Micros {
        let of_few = self.heartbeat_interval.times(3).max(Micros::from_secs(6));
        if self.found.len() < machines.min(MANY_MACHINES) {
            return if self.command_answered {
                of_few.max(self.max_discovery_time)
            } else {
                of_few
            };
        }
        if machines >= MANY_MACHINES {
            Micros(self.heartbeat_interval.0 * 3 / 2) + MAX_CHECK_INTERVAL
        } else {
            of_few
        }
    }
}
