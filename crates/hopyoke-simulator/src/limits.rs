//! Rate limits of the key-value store, and the nodes' shares of them.

use super::{Host, Simulation};
use hopyoke_admission::{AdmissionController, RateLimiter, RequestPriority, SharedLimit};
use hopyoke_scheduler::Team;
use hopyoke_types::{JobId, Micros};

/// How often nodes gossip about their waiting queues.
const GOSSIP_INTERVAL: Micros = Micros::from_millis(400);

/// The store's token buckets: it rejects above its rates, with bursts worth one second.
pub(crate) struct StoreLimits {
    requests_per_s: f64,
    writes_per_s: f64,
    /// Requests and changes left in the buckets, at `at`.
    tokens: (f64, f64),
    refilled_at: Micros,
    /// Nodes don't limit their own rates.
    pub(crate) nodes_unlimited: bool,
    /// Requests that were accepted.
    pub(crate) accepted_count: u64,
    /// Requests that were rejected.
    pub(crate) rejected_count: u64,
}

/// A node's share of the store's rates.
pub(crate) struct NodeLimits {
    /// Of requests.
    pub(crate) rate_limiter: RateLimiter,
    /// Of changes: submissions wait for admission.
    pub(crate) admission: AdmissionController,
}

impl StoreLimits {
    /// Limits of requests and changes per second.
    pub(crate) fn new(
        requests_per_s: f64,
        writes_per_s: f64,
        nodes_unlimited: bool,
    ) -> StoreLimits {
        let tokens = (requests_per_s, writes_per_s);
        StoreLimits {
            requests_per_s,
            writes_per_s,
            tokens,
            refilled_at: Micros::ZERO,
            nodes_unlimited,
            accepted_count: 0,
            rejected_count: 0,
        }
    }

    fn try_accept(&mut self, writes: usize, now: Micros) -> bool {
        let span = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens.0 = (self.tokens.0 + self.requests_per_s * span).min(self.requests_per_s);
        self.tokens.1 = (self.tokens.1 + self.writes_per_s * span).min(self.writes_per_s);
        let ok = self.tokens.0 >= 1.0 && self.tokens.1 >= writes as f64;
        if ok {
            self.tokens = (self.tokens.0 - 1.0, self.tokens.1 - writes as f64);
            self.accepted_count += 1;
        } else {
            self.rejected_count += 1;
        }
        ok
    }

    /// The share of one of so many nodes.
    pub(crate) fn node_limits(&self, nodes: usize, teams: &[Team], now: Micros) -> NodeLimits {
        let shared_limit = |per_second| SharedLimit {
            per_second,
            nodes: nodes as u32,
        };
        let guaranteed: Vec<bool> = teams.iter().map(|t| t.cpus > 0.0 || t.gpus > 0.0).collect();
        NodeLimits {
            rate_limiter: RateLimiter::new(shared_limit(self.requests_per_s), now),
            admission: AdmissionController::new(shared_limit(self.writes_per_s), &guaranteed, now),
        }
    }
}

impl Simulation {
    /// The store accepts one more request with so many changes, or answers 429.
    pub(crate) fn store_accepts(&mut self, writes: usize) -> bool {
        let now = self.now;
        self.limits
            .as_mut()
            .is_none_or(|l| l.try_accept(writes, now))
    }

    /// A node may send a request within its share; else how long until it may.
    pub(crate) fn acquire_request(
        &mut self,
        i: usize,
        priority: RequestPriority,
    ) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.nodes_unlimited) {
            return Ok(());
        }
        let now = self.now;
        self.nodes[i]
            .limits_of_node
            .as_mut()
            .map_or(Ok(()), |p| p.rate_limiter.take(priority, 1, now))
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
            self.send(Host::Node(i), Host::Node(j), move |sim| {
                let now = sim.now;
                if let Some(limits_of_node) = sim.nodes[j].limits_of_node.as_mut() {
                    limits_of_node
                        .admission
                        .gossip_received(peer_index(i, j), &gossip, now);
                }
            });
        }
        self.timer(i, GOSSIP_INTERVAL, move |sim| sim.gossip_queue(i, process));
    }

    /// A user's job is let in by a node; else when the user is to come back.
    pub(crate) fn admit(&mut self, i: usize, job: &JobId) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.nodes_unlimited) {
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
        let admitted = p.admission.admit(job, team, is_leader, now).and_then(|()| {
            let admitted = p.rate_limiter.take(RequestPriority::Accepts, 1, now);
            admitted.map_err(|_| p.admission.reject(job, team, is_leader, now))
        });
        admitted.map_err(|after| Micros::from_secs(u64::from(after.0)))
    }
}
