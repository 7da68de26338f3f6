//! Where a heartbeat goes.

use hopyoke_types::Micros;

/// The use of a node's connections, as it announces it to its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLoad {
    /// Connections that are open.
    pub open: u64,
    /// Connections that the node accepts at once.
    pub max_open: u64,
    /// The node leads, and has its peers hold agents' connections and relay their heartbeats.
    pub offloads: bool,
}

/// A peer, by its last announcement.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    load: ConnectionLoad,
    announced_at: Option<Micros>,
}

/// What is done with a heartbeat that an agent sent to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// This node leads: it answers.
    Local,
    /// The agent is redirected to the peer with this index.
    RedirectToPeer(usize),
    /// The heartbeat is relayed to the leader, and the agent keeps its connection to this node.
    Relay,
    /// The agent is redirected to the leader.
    RedirectToLeader,
}

/// The shares of its open connections, 0 to 1, between which a leader's offloading changes.
#[derive(Debug, Clone, Copy)]
struct OffloadThresholds {
    /// From this share on it begins.
    start: f64,
    /// Below this share it ends. Lower, since agents that were redirected would otherwise come back and be redirected
    /// again.
    stop: f64,
}

const THRESHOLDS: OffloadThresholds = OffloadThresholds {
    start: 0.88,
    stop: 0.6,
};
/// For a leader whose processor is overloaded: reading requests and answering them is the largest part of the cost of a
/// heartbeat, and peers can do it.
const THRESHOLDS_CPU_OVERLOADED: OffloadThresholds = OffloadThresholds {
    start: 0.3,
    stop: 0.2,
};
/// A peer accepts agents up to this share of its connections: users connect to it as well.
const PEER_MAX_SHARE: f64 = 0.8;
/// By then all peers have received the announcement that this node offloads: they are greeted every second.
const ANNOUNCEMENT_DELAY: Micros = Micros::from_millis(2_200);
/// A peer's announcement is valid for this long.
const VALIDITY: Micros = Micros::from_millis(3_500);

/// Routes heartbeats by the connection load of the nodes.
#[derive(Debug, Clone)]
pub struct Routes {
    peers: Vec<Peer>,
    /// Since when this node, which leads, has announced that it offloads.
    offloading_since: Option<Micros>,
    /// The peer that is tried first for the next redirect.
    next_peer: usize,
}

impl Routes {
    /// For a node with this number of peers.
    #[must_use]
    pub fn new(peers: usize) -> Routes {
        Routes {
            peers: vec![Peer::default(); peers],
            offloading_since: None,
            next_peer: 0,
        }
    }

    /// A peer announced its connection load.
    pub fn load_received(&mut self, peer: usize, load: ConnectionLoad, now: Micros) {
        if let Some(p) = self.peers.get_mut(peer) {
            *p = Peer {
                load,
                announced_at: Some(now),
            };
        }
    }

    /// What this node is to announce: `open` of `max_open` connections are in use, and its processor may be overloaded.
    pub fn update_own_load(
        &mut self,
        leads: bool,
        cpu_overloaded: bool,
        open: u64,
        max_open: u64,
        now: Micros,
    ) -> ConnectionLoad {
        let share = open as f64 / max_open.max(1) as f64;
        let thresholds = thresholds(cpu_overloaded);
        let offloads = leads
            && (share >= thresholds.start
                || (self.offloading_since.is_some() && share >= thresholds.stop));
        self.offloading_since = offloads.then(|| self.offloading_since.unwrap_or(now));
        ConnectionLoad {
            open,
            max_open,
            offloads,
        }
    }

    /// Routes a heartbeat that was sent to the leader itself. A redirected agent costs two requests now and saves a
    /// handshake with each heartbeat; if no peer has room, the heartbeat is answered locally.
    pub fn route_at_leader(
        &mut self,
        cpu_overloaded: bool,
        open: u64,
        max_open: u64,
        now: Micros,
    ) -> Route {
        // A peer that has not received the announcement yet would redirect the agent back.
        let announced = self
            .offloading_since
            .is_some_and(|since| now >= since + ANNOUNCEMENT_DELAY);
        let start = thresholds(cpu_overloaded).start;
        if !announced || (open as f64) < start * max_open.max(1) as f64 {
            return Route::Local;
        }
        let count = self.peers.len();
        for offset in 0..count {
            let index = (self.next_peer + offset) % count;
            let peer = &mut self.peers[index];
            let has_room = (peer.load.open as f64) < PEER_MAX_SHARE * peer.load.max_open as f64;
            if has_room && peer.is_current(now) {
                // Until its next announcement, redirected agents count as open connections.
                peer.load.open += 1;
                self.next_peer = index + 1;
                return Route::RedirectToPeer(index);
            }
        }
        Route::Local
    }

    /// Routes a heartbeat that was sent to a node that does not lead; `leader` is the index of the peer that does, if
    /// known.
    #[must_use]
    pub fn route_at_follower(&self, leader: Option<usize>, now: Micros) -> Route {
        let offloads = leader
            .and_then(|l| self.peers.get(l))
            .is_some_and(|p| p.load.offloads && p.is_current(now));
        if offloads {
            Route::Relay
        } else {
            Route::RedirectToLeader
        }
    }
}

impl Peer {
    fn is_current(&self, now: Micros) -> bool {
        self.announced_at.is_some_and(|at| now < at + VALIDITY)
    }
}

fn thresholds(cpu_overloaded: bool) -> OffloadThresholds {
    if cpu_overloaded {
        THRESHOLDS_CPU_OVERLOADED
    } else {
        THRESHOLDS
    }
}
