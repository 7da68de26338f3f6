//! Rate limits of the key-value store, and the nodes' shares of them.

use super::{Host, Simulation};
use hopyoke_admission::{AdmissionController, RateLimiter, RequestPriority, SharedLimit};
use hopyoke_scheduler::Team;
use hopyoke_types::{JobId, Micros};

/// How often nodes gossip about their waiting queues.
const GOSSIP_INTERVAL: Micros = Micros::from_millis(400);

/// The store's token buckets: it rejects above its rates, with bursts worth one second.
pub(crate) struct Limits {
    requests: f64,
    changes: f64,
    /// Requests and changes left in the buckets, at `at`.
    left: (f64, f64),
    at: Micros,
    /// Nodes don't limit their own rates.
    pub(crate) unpaced: bool,
    /// Requests that were accepted.
    pub(crate) taken: u64,
    /// Requests that were rejected.
    pub(crate) refused: u64,
}

/// A node's share of the store's rates.
pub(crate) struct NodeLimits {
    /// Of requests.
    pub(crate) rate_limiter: RateLimiter,
    /// Of changes: submissions wait for admission.
    pub(crate) admission: AdmissionController,
}

impl Limits {
    /// Limits of requests and changes per second.
    pub(crate) fn new(requests: f64, changes: f64, unpaced: bool) -> Limits {
        let left = (requests, changes);
        Limits {
            requests,
            changes,
            left,
            at: Micros::ZERO,
            unpaced,
            taken: 0,
            refused: 0,
        }
    }

    fn takes(&mut self, changes: usize, now: Micros) -> bool {
        let span = (now - self.at).as_secs_f64();
        self.at = now;
        self.left.0 = (self.left.0 + self.requests * span).min(self.requests);
        self.left.1 = (self.left.1 + self.changes * span).min(self.changes);
        let ok = self.left.0 >= 1.0 && self.left.1 >= changes as f64;
        if ok {
            self.left = (self.left.0 - 1.0, self.left.1 - changes as f64);
            self.taken += 1;
        } else {
            self.refused += 1;
        }
        ok
    }

    /// The share of one of so many nodes.
    pub(crate) fn limits_of_node(&self, nodes: usize, teams: &[Team], now: Micros) -> NodeLimits {
        let bounds = |per_second| SharedLimit {
            per_second,
            nodes: nodes as u32,
        };
        let guaranteed: Vec<bool> = teams.iter().map(|t| t.cpus > 0.0 || t.gpus > 0.0).collect();
        NodeLimits {
            rate_limiter: RateLimiter::new(bounds(self.requests), now),
            admission: AdmissionController::new(bounds(self.changes), &guaranteed, now),
        }
    }
}

impl Simulation {
    /// The store accepts one more request with so many changes, or answers 429.
    pub(crate) fn store_accepts(&mut self, changes: usize) -> bool {
        let now = self.now;
        self.limits.as_mut().is_none_or(|l| l.takes(changes, now))
    }

    /// A node may send a request within its share; else how long until it may.
    pub(crate) fn acquire_request(
        &mut self,
        i: usize,
        importance: RequestPriority,
    ) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.unpaced) {
            return Ok(());
        }
        let now = self.now;
        self.nodes[i]
            .limits_of_node
            .as_mut()
            .map_or(Ok(()), |p| p.rate_limiter.take(importance, 1, now))
    }

    /// Gossips about the node's waiting queue, again and again.
    pub(crate) fn gossip_queue(&mut self, i: usize, process: u64) {
        if !self.nodes[i].up || self.nodes[i].process != process {
            return;
        }
        let now = self.now;
        // A node's index among the peers of another.
        let peer_index = |of: usize, at: usize| if of < at { of } else { of - 1 };
        for j in (0..self.nodes.len()).filter(|j| *j != i) {
            let Some(limits_of_node) = self.nodes[i].limits_of_node.as_mut() else {
                return;
            };
            let gossip = limits_of_node.admission.take_gossip(peer_index(j, i), now);
            self.send(Host::Node(i), Host::Node(j), move |w| {
                let now = w.now;
                if let Some(limits_of_node) = w.nodes[j].limits_of_node.as_mut() {
                    limits_of_node
                        .admission
                        .gossip_received(peer_index(i, j), &gossip, now);
                }
            });
        }
        self.timer(i, GOSSIP_INTERVAL, move |w| w.gossip_queue(i, process));
    }

    /// A user's job is let in by a node; else when the user is to come back.
    pub(crate) fn admit(&mut self, i: usize, job: &JobId) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.unpaced) {
            return Ok(());
        }
        let (now, is_leader) = (self.now, self.nodes[i].leadership.is_some());
        let team = self.jobs.get(job).map_or("", |j| j.spec.team.as_str());
        let team = self
            .config
            .teams
            .iter()
            .position(|t| t.name == team)
            .unwrap_or(self.config.teams.len());
        let Some(p) = self.nodes[i].limits_of_node.as_mut() else {
            return Ok(());
        };
        let room = p.admission.admit(job, team, is_leader, now).and_then(|()| {
            let room = p.rate_limiter.take(RequestPriority::Accepts, 1, now);
            room.map_err(|_| p.admission.reject(job, team, is_leader, now))
        });
        room.map_err(|after| Micros::from_secs(u64::from(after.0)))
    }
}
