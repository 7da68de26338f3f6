//! Routes heartbeats between agents, followers and the leader.

use hopyoke_types::Micros;

/// Connection load of a node, as announced to its peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLoad {
    /// Number of open connections.
    pub open: u64,
    /// Maximum number of open connections.
    pub max_open: u64,
    /// Whether the node is the leader and lets its peers hold agent connections and relay heartbeats.
    pub offloads: bool,
}

/// A peer's last announcement.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    load: ConnectionLoad,
    announced_at: Option<Micros>,
}

/// Route of a heartbeat that an agent sent to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// This node is the leader and answers.
    Local,
    /// Redirects the agent to the peer with this index.
    RedirectToPeer(usize),
    /// Relays the heartbeat to the leader; the agent keeps its connection to this node.
    Relay,
    /// Redirects the agent to the leader.
    RedirectToLeader,
}

/// Connection utilization, 0 to 1, at which a leader starts and stops offloading.
#[derive(Debug, Clone, Copy)]
struct OffloadThresholds {
    /// Utilization from which offloading starts.
    start: f64,
    /// Utilization below which offloading stops. Lower than `start`, so that redirected agents don't return only to be
    /// redirected again.
    stop: f64,
}

const THRESHOLDS: OffloadThresholds = OffloadThresholds {
    start: 0.88,
    stop: 0.6,
};
/// Thresholds of a leader with CPU overload: request handling is the largest part of the CPU cost of a heartbeat, and
/// peers can take it over.
const THRESHOLDS_CPU_OVERLOADED: OffloadThresholds = OffloadThresholds {
    start: 0.3,
    stop: 0.2,
};
/// Connection utilization up to which a peer receives agents; the rest is left to users.
const PEER_MAX_UTILIZATION: f64 = 0.8;
/// Time until all peers have received the announcement that this node offloads; it is sent every second.
const ANNOUNCEMENT_DELAY: Micros = Micros::from_millis(2_200);
/// Time for which a peer's announcement is valid.
const VALIDITY: Micros = Micros::from_millis(3_500);

/// Routes heartbeats by the connection load of the nodes.
#[derive(Debug, Clone)]
pub struct Routes {
    peers: Vec<Peer>,
    /// When this node started to offload as the leader; `None` if it doesn't offload.
    offloading_since: Option<Micros>,
    /// Index of the peer to try first for the next redirect (round-robin).
    next_peer: usize,
}

impl Routes {
    /// Creates the routes of a node with this number of peers.
    #[must_use]
    pub fn new(peers: usize) -> Routes {
        Routes {
            peers: vec![Peer::default(); peers],
            offloading_since: None,
            next_peer: 0,
        }
    }

    /// Records the connection load that a peer announced.
    pub fn load_received(&mut self, peer: usize, load: ConnectionLoad, now: Micros) {
        if let Some(p) = self.peers.get_mut(peer) {
            *p = Peer {
                load,
                announced_at: Some(now),
            };
        }
    }

    /// Decides whether this node offloads, and returns the load to announce. `open` of `max_open` connections are in
    /// use.
    pub fn update_own_load(
        &mut self,
        leads: bool,
        cpu_overloaded: bool,
        open: u64,
        max_open: u64,
        now: Micros,
    ) -> ConnectionLoad {
        let utilization = open as f64 / max_open.max(1) as f64;
        let thresholds = thresholds(cpu_overloaded);
        let offloads = leads
            && (utilization >= thresholds.start
                || (self.offloading_since.is_some() && utilization >= thresholds.stop));
        self.offloading_since = offloads.then(|| self.offloading_since.unwrap_or(now));
        ConnectionLoad {
            open,
            max_open,
            offloads,
        }
    }

    /// Routes a heartbeat that was sent to this node, the leader. A redirect costs two requests once and saves a
    /// handshake per heartbeat; if no peer has capacity, the heartbeat is answered locally.
    pub fn route_at_leader(
        &mut self,
        cpu_overloaded: bool,
        open: u64,
        max_open: u64,
        now: Micros,
    ) -> Route {
        // A peer that hasn't received the announcement yet would redirect the agent back.
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
            let has_capacity =
                (peer.load.open as f64) < PEER_MAX_UTILIZATION * peer.load.max_open as f64;
            if has_capacity && peer.is_current(now) {
                // Counts the redirected agent as an open connection until the peer's next announcement.
                peer.load.open += 1;
                self.next_peer = index + 1;
                return Route::RedirectToPeer(index);
            }
        }
        Route::Local
    }

    /// Routes a heartbeat that was sent to this node, a follower. `leader` is the peer index of the leader, if known.
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
