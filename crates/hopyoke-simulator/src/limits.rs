//! Rate limits of the key-value store and the nodes' shares of them.

use super::{Host, Simulation};
use hopyoke_admission::{AdmissionController, RateLimiter, RequestPriority, SharedLimit};
use hopyoke_scheduler::Team;
use hopyoke_types::{JobId, Micros};

/// Interval at which nodes gossip about their admission queues.
const GOSSIP_INTERVAL: Micros = Micros::from_millis(400);

/// Token buckets of the key-value store. Requests above its rates are rejected; a burst may use up one second's worth.
pub(crate) struct StoreLimits {
    requests_per_s: f64,
    writes_per_s: f64,
    /// Tokens for requests and for writes left at `refilled_at`.
    tokens: (f64, f64),
    refilled_at: Micros,
    /// Whether nodes don't limit their own rates.
    pub(crate) nodes_unlimited: bool,
    /// Number of accepted requests.
    pub(crate) accepted_count: u64,
    /// Number of rejected requests.
    pub(crate) rejected_count: u64,
}

/// A node's share of the store's rate limits.
pub(crate) struct NodeLimits {
    /// Limits the node's requests.
    pub(crate) rate_limiter: RateLimiter,
    /// Limits the node's writes: submissions wait for admission.
    pub(crate) admission: AdmissionController,
}

impl StoreLimits {
    /// Creates limits from rates per second. The buckets are full.
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

    /// Accepts a request with `writes` writes if the buckets hold enough tokens.
    fn try_accept(&mut self, writes: usize, now: Micros) -> bool {
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens.0 = (self.tokens.0 + self.requests_per_s * elapsed_s).min(self.requests_per_s);
        self.tokens.1 = (self.tokens.1 + self.writes_per_s * elapsed_s).min(self.writes_per_s);
        let is_accepted = self.tokens.0 >= 1.0 && self.tokens.1 >= writes as f64;
        if is_accepted {
            self.tokens = (self.tokens.0 - 1.0, self.tokens.1 - writes as f64);
            self.accepted_count += 1;
        } else {
            self.rejected_count += 1;
        }
        is_accepted
    }

    /// Returns the limits of one of `nodes` nodes.
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
    /// Returns whether the store accepts a request with `writes` writes. If not, it responds with 429.
    pub(crate) fn store_accepts(&mut self, writes: usize) -> bool {
        let now = self.now;
        self.limits
            .as_mut()
            .is_none_or(|l| l.try_accept(writes, now))
    }

    /// Acquires a request from a node's share of the rate.
    ///
    /// # Errors
    ///
    /// Returns how long to wait if the share is used up.
    pub(crate) fn acquire_request(
        &mut self,
        node: usize,
        priority: RequestPriority,
    ) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.nodes_unlimited) {
            return Ok(());
        }
        let now = self.now;
        self.nodes[node]
            .limits
            .as_mut()
            .map_or(Ok(()), |limits| limits.rate_limiter.take(priority, 1, now))
    }

    /// Gossips about the node's admission queue periodically.
    pub(crate) fn gossip_queue(&mut self, node: usize, process: u64) {
        if !self.nodes[node].up || self.nodes[node].process != process {
            return;
        }
        let now = self.now;
        // Index of `node` among the peers of `observer`.
        let peer_index =
            |node: usize, observer: usize| if node < observer { node } else { node - 1 };
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            let Some(limits) = self.nodes[node].limits.as_mut() else {
                return;
            };
            let gossip = limits.admission.take_gossip(peer_index(peer, node), now);
            self.send(Host::Node(node), Host::Node(peer), move |sim| {
                let now = sim.now;
                if let Some(limits) = sim.nodes[peer].limits.as_mut() {
                    limits
                        .admission
                        .gossip_received(peer_index(node, peer), &gossip, now);
                }
            });
        }
        self.timer(node, GOSSIP_INTERVAL, move |sim| {
            sim.gossip_queue(node, process)
        });
    }

    /// Admits a user's job at a node.
    ///
    /// # Errors
    ///
    /// Returns after how long the user should retry.
    pub(crate) fn admit(&mut self, node: usize, job: &JobId) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.nodes_unlimited) {
            return Ok(());
        }
        let (now, is_leader) = (self.now, self.nodes[node].leadership.is_some());
        let team = self.jobs.get(job).map_or("", |j| j.spec.team.as_str());
        let team = self
            .config
            .teams
            .iter()
            .position(|t| t.name == team)
            .unwrap_or(self.config.teams.len());
        let Some(limits) = self.nodes[node].limits.as_mut() else {
            return Ok(());
        };
        let admitted = limits
            .admission
            .admit(job, team, is_leader, now)
            .and_then(|()| {
                let admitted = limits.rate_limiter.take(RequestPriority::Accepts, 1, now);
                admitted.map_err(|_| limits.admission.reject(job, team, is_leader, now))
            });
        admitted.map_err(|retry_after| Micros::from_secs(u64::from(retry_after.0)))
    }
}
