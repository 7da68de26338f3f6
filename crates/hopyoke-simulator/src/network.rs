//! The network between nodes, agents, store and cloud: latency, partitions, overloaded receivers, paused nodes.

use crate::Simulation;
use hopyoke_types::{MachineId, Micros};

/// Ends of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Host {
    /// A node, by its number.
    Node(usize),
    /// The agents of all machines.
    Agents,
    /// The agents of a zone's machines, by the zone's place in the settings' list.
    AgentsInZone(usize),
    /// The key-value store.
    KvStore,
    /// The cloud's API.
    Cloud,
}

/// A node can't reach some hosts, nor they the node.
#[derive(Debug, Clone)]
pub(crate) struct NetworkPartition {
    /// The node.
    pub(crate) node: usize,
    /// Hosts on the other side.
    pub(crate) unreachable: Vec<Host>,
    /// When the partition heals.
    pub(crate) until: Micros,
    /// Packets are held back and delivered when the partition heals, instead of lost.
    pub(crate) holds_packets: bool,
}

impl NetworkPartition {
    fn covers(&self, host: Host) -> bool {
        let is_agent = matches!(host, Host::AgentsInZone(_));
        self.unreachable.contains(&host) || (is_agent && self.unreachable.contains(&Host::Agents))
    }

    fn separates(&self, a: Host, b: Host) -> bool {
        let node = Host::Node(self.node);
        (a == node && self.covers(b)) || (b == node && self.covers(a))
    }
}

/// A node's process is behind: it handles messages so long after their arrival.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeliveryDelay {
    /// The node.
    pub(crate) node: usize,
    /// How long messages wait.
    pub(crate) delay: Micros,
    /// When the node has caught up.
    pub(crate) until: Micros,
}

impl Simulation {
    /// Where a machine's agent is, as an end of a network path.
    pub(crate) fn agent_host(&self, id: &MachineId) -> Host {
        let zone = self
            .machines
            .get(id)
            .and_then(|m| self.config.zones.iter().position(|z| *z == m.zone));
        zone.map_or(Host::Agents, Host::AgentsInZone)
    }

    /// Separates a zone from all others, and from what belongs to no zone. Node `i` stands in zone `i` modulo the
    /// number of zones.
    pub(crate) fn partition_zone(&mut self, zone: usize, until: Micros, holds_packets: bool) {
        let (nodes, zones) = (self.nodes.len(), self.config.zones.len());
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..nodes).partition(|i| i % zones == zone);
        let others = (0..zones).filter(|z| *z != zone).map(Host::AgentsInZone);
        let outside_hosts: Vec<Host> = [Host::KvStore, Host::Cloud]
            .into_iter()
            .chain(outside.iter().copied().map(Host::Node))
            .chain(others)
            .collect();
        let partition = |node, unreachable: &[Host]| NetworkPartition {
            node,
            unreachable: unreachable.to_vec(),
            until,
            holds_packets,
        };
        self.partitions.extend(
            inside
                .into_iter()
                .map(|node| partition(node, &outside_hosts)),
        );
        let agents = [Host::AgentsInZone(zone)];
        self.partitions
            .extend(outside.into_iter().map(|node| partition(node, &agents)));
    }

    /// The partition that separates two hosts now.
    pub(crate) fn partition_between(&self, a: Host, b: Host) -> Option<&NetworkPartition> {
        self.partitions
            .iter()
            .find(|p| self.now < p.until && p.separates(a, b))
    }

    /// Sends a message: it arrives after a while, late, or never.
    pub(crate) fn send(
        &mut self,
        from: Host,
        to: Host,
        handler: impl FnOnce(&mut Simulation) + 'static,
    ) {
        let latency = Micros(self.random(400, 6_000)) + self.delivery_delay(to);
        let handler = move |sim: &mut Simulation| sim.handle_on(to, handler);
        let fault = self.partition_between(from, to);
        match fault.map(|p| (p.holds_packets, p.until)) {
            Some((true, until)) => self.at(until + latency, handler),
            Some((false, _)) => {}
            None => self.after(latency, handler),
        }
    }

    /// Handles something at a host now; at a paused node, when it goes on.
    fn handle_on(&mut self, host: Host, handler: impl FnOnce(&mut Simulation) + 'static) {
        match host {
            Host::Node(i) if self.is_paused(i) => {
                let until = self.paused_nodes[&i];
                self.at(until, move |sim| sim.handle_on(host, handler));
            }
            _ => handler(self),
        }
    }

    /// A node's process is paused (as by a debugger or a stalled machine) while its clocks run on.
    pub(crate) fn is_paused(&self, i: usize) -> bool {
        self.paused_nodes
            .get(&i)
            .is_some_and(|until| self.now < *until)
    }

    /// A timer of a node.
    pub(crate) fn timer(
        &mut self,
        i: usize,
        span: Micros,
        handler: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.after(span, move |sim| sim.handle_on(Host::Node(i), handler));
    }

    /// How long messages to a host wait before they are handled.
    pub(crate) fn delivery_delay(&self, to: Host) -> Micros {
        let now = self.now;
        if to == Host::KvStore && now < self.kv_store.request_delay.1 {
            return self.kv_store.request_delay.0;
        }
        let delays = self
            .delivery_delays
            .iter()
            .filter(|d| Host::Node(d.node) == to && now < d.until);
        delays.map(|d| d.delay).max().unwrap_or(Micros::ZERO)
    }
}
