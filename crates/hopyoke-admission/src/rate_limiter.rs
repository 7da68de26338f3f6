//! One limit of a shared service, spent by importance.

use crate::token_bucket::TokenBucket;
use hopyoke_types::Micros;

/// What depends on a request, most first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// Leases, grants, and what a new leader reads: a rule or all service rests on it.
    Critical,
    /// The leader's records, and its news of them.
    Records,
    /// Cancellations: nobody has any use for what goes on until they are recorded.
    Cancels,
    /// New work, and repeated submissions.
    Accepts,
    /// Polls: users come again by themselves.
    Polls,
    /// What can wait: learning, clean-up, probes.
    Background,
}

impl RequestPriority {
    /// All of them, most first.
    pub const ALL: [RequestPriority; 6] = [
        RequestPriority::Critical,
        RequestPriority::Records,
        RequestPriority::Cancels,
        RequestPriority::Accepts,
        RequestPriority::Polls,
        RequestPriority::Background,
    ];

    /// The part of the node's bucket that is kept for what matters more.
    fn floor(self) -> f64 {
        match self {
            RequestPriority::Critical => 0.0,
            RequestPriority::Records => 0.15,
            RequestPriority::Cancels => 0.25,
            RequestPriority::Accepts => 0.35,
            RequestPriority::Polls => 0.5,
            RequestPriority::Background => 0.7,
        }
    }
}

/// A limit that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// What the service takes a second, from all nodes together; bursts worth one second too.
    pub per_second: f64,
    /// Nodes there are, up or not.
    pub nodes: u32,
}

/// Of the limit this much is shared out: requests that were spread over time when they were sent
/// may arrive closer together.
const SHARED_OUT: f64 = 0.95;

/// A node's part of a limit, spent by importance.
///
/// The parts of all nodes add up to less than the limit, bursts included, whatever any node
/// believes of the others; so while nodes keep to them the service refuses nothing, and no node's
/// flood takes what another's leases need.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    bucket: TokenBucket,
    refused: [u64; 6],
    taken: [u64; 6],
}

impl RateLimiter {
    /// A node's part.
    pub fn new(bounds: Bounds, now: Micros) -> RateLimiter {
        let part = bounds.per_second * SHARED_OUT / f64::from(bounds.nodes.max(1));
        RateLimiter {
            bucket: TokenBucket::full(part, now),
            refused: [0; 6],
            taken: [0; 6],
        }
    }

    /// Takes `n` (requests, or changes).
    ///
    /// # Errors
    /// There is no room: how long it takes at least until there may be.
    pub fn take(&mut self, importance: RequestPriority, n: u32, now: Micros) -> Result<(), Micros> {
        let floor = importance.floor() * self.bucket.most();
        let taken = self.bucket.take(f64::from(n), floor, now);
        let count = if taken.is_ok() {
            &mut self.taken
        } else {
            &mut self.refused
        };
        count[importance as usize] += 1;
        taken
    }

    /// How often room was found and not found, for operators.
    pub fn counts(&self, importance: RequestPriority) -> (u64, u64) {
        (
            self.taken[importance as usize],
            self.refused[importance as usize],
        )
    }
}
