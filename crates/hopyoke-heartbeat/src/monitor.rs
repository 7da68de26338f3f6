//! Whether any machine still reaches the leader.

use hopyoke_types::{MachineId, Micros};
use std::collections::BTreeSet;

/// A leader that no worker reaches is no leader worth having; how soon that is certain depends on how many
/// should have come.
///
/// Each worker reports every `heartbeat`, give or take a quarter. When many have found us, not one report for one and a
/// half intervals is no chance; of a few it may be. After a takeover workers have to find us first: each tries one node
/// after the other, and those that are away cost it the time of an answer that does not come. Whoever answers our
/// orders meanwhile shows that we are not the one that is cut off. Only
/// time in which this process ran and was entitled to answer counts: after a standstill the reports of that time
/// wait in buffers yet, and silence then speaks against nobody. (Guards against leadership that is
/// given away on waking, against machines whose leases lapse while a deaf leader waits, and against a
/// new leader that gives up before workers have been past the nodes that are away.)
#[derive(Debug, Clone)]
pub struct HeartbeatMonitor {
    heartbeat_interval: Micros,
    /// What a worker needs at the most until it has found the one node that answers.
    search: Micros,
    /// Some of the machines that have found us, as many as matter.
    found: BTreeSet<MachineId>,
    /// A worker answered orders of ours.
    reached: bool,
    quiet: Micros,
    looked: Micros,
}

/// So many machines are many.
const MANY: usize = 8;
/// A worker waits so long for an answer, and then so long until it tries the next node.
const TRY: Micros = Micros::from_secs(4 + 1);
/// Between two looks no more than this counts: a process that runs looks more often.
const STEP: Micros = Micros::from_millis(500);

impl HeartbeatMonitor {
    /// Nothing is heard yet. `heartbeat_interval` is the time between two heartbeats of one worker; `nodes` is how many nodes there
    /// are, this one included.
    pub fn new(heartbeat_interval: Micros, nodes: u32, now: Micros) -> HeartbeatMonitor {
        let search = TRY.times(u64::from(nodes.saturating_sub(1))) + heartbeat_interval.times(2);
        HeartbeatMonitor {
            heartbeat_interval,
            search,
            found: BTreeSet::new(),
            reached: false,
            quiet: Micros::ZERO,
            looked: now,
        }
    }

    /// A worker's report came; `answered`: it shows that the worker has had an answer, or orders, of this leader. One
    /// that does not may be old, and kept by the network: its worker may be past no other node yet.
    pub fn heard(&mut self, machine: &MachineId, answered: bool) {
        if answered && self.found.len() < MANY && !self.found.contains(machine) {
            self.found.insert(machine.clone());
        }
        self.quiet = Micros::ZERO;
    }

    /// A worker answered orders of ours.
    pub fn answered(&mut self) {
        self.reached = true;
    }

    /// Looks again, several times a second; true if no worker reaches us although so many `machines` should.
    pub fn is_cut_off(&mut self, machines: usize, entitled: bool, now: Micros) -> bool {
        let span = now - self.looked;
        self.looked = self.looked.max(now);
        if !entitled {
            // Workers that are refused look for another node, and need a while to come back.
            self.found.clear();
            (self.reached, self.quiet) = (false, Micros::ZERO);
            return false;
        }
        self.quiet += span.min(STEP);
        machines >= 2 && self.quiet > self.patience(machines)
    }

    fn patience(&self, machines: usize) -> Micros {
        let few = self.heartbeat_interval.times(3).max(Micros::from_secs(6));
        if self.found.len() < machines.min(MANY) {
            return if self.reached {
                few.max(self.search)
            } else {
                few
            };
        }
        if machines >= MANY {
            Micros(self.heartbeat_interval.0 * 3 / 2) + STEP
        } else {
            few
        }
    }
}
