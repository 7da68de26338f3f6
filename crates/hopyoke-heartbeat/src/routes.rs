//! Where a report goes.

use hopyoke_types::Micros;

/// What a node tells the others of its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Crowd {
    /// Connections open.
    pub open: u64,
    /// The most that it takes.
    pub most: u64,
    /// It leads, and has others hold workers' connections for it.
    pub shares: bool,
}

/// A peer, as far as it has been heard of lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peer {
    crowd: Crowd,
    heard: Option<Micros>,
}

/// What is done with a report that a worker brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// We lead: it is answered here.
    Here,
    /// The worker is sent to this peer (its place in the list).
    To(usize),
    /// It is carried to the leader, and the worker stays.
    Carry,
    /// The worker is sent to the leader.
    Leader,
}

/// From this part of its connections on a leader has others hold workers' connections...
const SHARES_FROM: f64 = 0.88;
/// ... and no longer below this: workers that were sent away would come back and be sent away again.
const SHARES_UNTIL: f64 = 0.6;
/// The same for a leader that is behind on its processor: reading requests and answering them is most of
/// what a report costs, and others can do it.
const BEHIND_FROM: f64 = 0.3;
const BEHIND_UNTIL: f64 = 0.2;
/// A peer takes workers up to this part of its connections: users come to it as well.
const HOLDS_UNTIL: f64 = 0.8;
/// By then all peers have heard that this node shares: they are greeted every second.
const TOLD: Micros = Micros::from_millis(2_200);
/// What a peer said holds for this long.
const FRESH: Micros = Micros::from_millis(3_500);

/// Where reports go, by how crowded the nodes are.
#[derive(Debug, Clone)]
pub struct Routes {
    peers: Vec<Peer>,
    /// Since when this node, which leads, has told the others that it shares.
    shares: Option<Micros>,
    next: usize,
}

impl Routes {
    /// For a node with so many peers.
    pub fn new(peers: usize) -> Routes {
        Routes {
            peers: vec![Peer::default(); peers],
            shares: None,
            next: 0,
        }
    }

    /// A peer told how crowded it is.
    pub fn heard(&mut self, peer: usize, crowd: Crowd, now: Micros) {
        if let Some(p) = self.peers.get_mut(peer) {
            *p = Peer {
                crowd,
                heard: Some(now),
            };
        }
    }

    /// What this node tells the others: `open` of `most` connections are in use, and it may be behind on
    /// its processor.
    pub fn own(&mut self, leads: bool, behind: bool, open: u64, most: u64, now: Micros) -> Crowd {
        let part = open as f64 / most.max(1) as f64;
        let (from, until) = bounds(behind);
        let shares = leads && (part >= from || (self.shares.is_some() && part >= until));
        self.shares = shares.then(|| self.shares.unwrap_or(now));
        Crowd { open, most, shares }
    }

    /// A report came to the leader itself. A worker that is sent away costs two requests now and saves a
    /// handshake with each report; if no peer has room, it is answered here.
    pub fn at_leader(&mut self, behind: bool, open: u64, most: u64, now: Micros) -> Route {
        // A peer that has not heard of it yet would send the worker back.
        let told = self.shares.is_some_and(|t| now >= t + TOLD);
        if !told || (open as f64) < bounds(behind).0 * most.max(1) as f64 {
            return Route::Here;
        }
        let n = self.peers.len();
        for k in 0..n {
            let i = (self.next + k) % n;
            let p = &mut self.peers[i];
            let room = (p.crowd.open as f64) < HOLDS_UNTIL * p.crowd.most as f64;
            if room && fresh(p.heard, now) {
                // Until it is heard again, what it was sent counts.
                p.crowd.open += 1;
                self.next = i + 1;
                return Route::To(i);
            }
        }
        Route::Here
    }

    /// A report came to a node that does not lead; the leader is this peer, if it is known.
    pub fn elsewhere(&self, leader: Option<usize>, now: Micros) -> Route {
        let shares = leader
            .and_then(|l| self.peers.get(l))
            .is_some_and(|p| p.crowd.shares && fresh(p.heard, now));
        if shares { Route::Carry } else { Route::Leader }
    }
}

fn bounds(behind: bool) -> (f64, f64) {
    if behind {
        (BEHIND_FROM, BEHIND_UNTIL)
    } else {
        (SHARES_FROM, SHARES_UNTIL)
    }
}

fn fresh(heard: Option<Micros>, now: Micros) -> bool {
    heard.is_some_and(|t| now < t + FRESH)
}
