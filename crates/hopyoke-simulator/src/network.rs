//! Simulated network between nodes, agents, key-value store and cloud: latency, partitions, delayed delivery and paused
//! nodes.

use crate::Simulation;
use hopyoke_types::{MachineId, Micros};

/// Endpoint of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Host {
    /// A node, by its index.
    Node(usize),
    /// The agents of all machines.
    Agents,
    /// The agents of the machines in a zone, by the zone's index in the settings.
    AgentsInZone(usize),
    /// The key-value store.
    KvStore,
    /// The cloud API.
    Cloud,
}

/// Bidirectional partition between a node and other hosts.
#[derive(Debug, Clone)]
pub(crate) struct NetworkPartition {
    /// Node that is cut off.
    pub(crate) node: usize,
    /// Hosts on the other side.
    pub(crate) unreachable: Vec<Host>,
    /// When the partition heals.
    pub(crate) until: Micros,
    /// Whether packets are held back and delivered when the partition heals. Otherwise they are lost.
    pub(crate) holds_packets: bool,
}

impl NetworkPartition {
    /// Returns whether a host is on the other side.
    fn covers(&self, host: Host) -> bool {
        let is_agent = matches!(host, Host::AgentsInZone(_));
        self.unreachable.contains(&host) || (is_agent && self.unreachable.contains(&Host::Agents))
    }

    /// Returns whether the partition lies between two hosts.
    fn separates(&self, a: Host, b: Host) -> bool {
        let node = Host::Node(self.node);
        (a == node && self.covers(b)) || (b == node && self.covers(a))
    }
}

/// Delay between the arrival of messages at an overloaded node and their handling.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeliveryDelay {
    /// Affected node.
    pub(crate) node: usize,
    /// Time that messages wait.
    pub(crate) delay: Micros,
    /// End of the overload.
    pub(crate) until: Micros,
}

impl Simulation {
    /// Returns the network endpoint of a machine's agent.
    pub(crate) fn agent_host(&self, id: &MachineId) -> Host {
        let zone = self
            .machines
            .get(id)
            .and_then(|m| self.config.zones.iter().position(|z| *z == m.zone));
        zone.map_or(Host::Agents, Host::AgentsInZone)
    }

    /// Partitions a zone from all other zones, the key-value store and the cloud. A node's zone is its
    /// index modulo the number of zones.
    pub(crate) fn partition_zone(&mut self, zone: usize, until: Micros, holds_packets: bool) {
        let (nodes, zones) = (self.nodes.len(), self.config.zones.len());
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..nodes).partition(|node| node % zones == zone);
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

    /// Returns a partition that currently separates two hosts. Returns `None` if they are connected.
    pub(crate) fn partition_between(&self, a: Host, b: Host) -> Option<&NetworkPartition> {
        self.partitions
            .iter()
            .find(|p| self.now < p.until && p.separates(a, b))
    }

    /// Sends a message and runs `handler` when it is delivered. A partition delays or drops it.
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

    /// Runs a handler at a host now, or when the node resumes if it is paused.
    fn handle_on(&mut self, host: Host, handler: impl FnOnce(&mut Simulation) + 'static) {
        match host {
            Host::Node(node) if self.is_paused(node) => {
                let until = self.paused_nodes[&node];
                self.at(until, move |sim| sim.handle_on(host, handler));
            }
            _ => handler(self),
        }
    }

    /// Returns whether a node's process is paused. Its clocks keep running, as on a stalled machine.
    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.paused_nodes
            .get(&node)
            .is_some_and(|until| self.now < *until)
    }

    /// Starts a timer of a node. It fires late if the node is paused then.
    pub(crate) fn timer(
        &mut self,
        node: usize,
        delay: Micros,
        handler: impl FnOnce(&mut Simulation) + 'static,
    ) {
        self.after(delay, move |sim| sim.handle_on(Host::Node(node), handler));
    }

    /// Returns how long messages to a host currently wait before they are handled.
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
