//! One limit of a shared service, spent by priority.

use crate::token_bucket::TokenBucket;
use hopyoke_types::Micros;

/// The priority of a request to the key-value store, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// Leases, grants, and what a new leader reads: a safety rule or the whole service depends on it.
    Critical,
    /// The leader's records, and its watch of them.
    Records,
    /// Cancellations: tasks go on in vain until they are recorded.
    Cancels,
    /// New submissions, and repeated ones.
    Accepts,
    /// Polls: clients repeat them by themselves.
    Polls,
    /// What can be delayed: learned run times, garbage collection, probes.
    Background,
}

impl RequestPriority {
    /// All priorities, highest first.
    pub const ALL: [RequestPriority; 6] = [
        RequestPriority::Critical,
        RequestPriority::Records,
        RequestPriority::Cancels,
        RequestPriority::Accepts,
        RequestPriority::Polls,
        RequestPriority::Background,
    ];

    /// The share of the node's bucket that is reserved for higher priorities.
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
pub struct SharedLimit {
    /// What the service accepts a second from all nodes together, with bursts worth one second.
    pub per_second: f64,
    /// The number of nodes, up or not.
    pub nodes: u32,
}

/// The part of the limit that is divided among the nodes: requests that were spread over time when they were sent
/// may arrive closer together.
const ALLOCATED_SHARE: f64 = 0.95;

/// A node's share of a limit, spent by priority.
///
/// The shares of all nodes add up to less than the limit, bursts included, whatever any node knows of the others;
/// so while nodes keep to them the service refuses nothing, and no node's overload uses up the room that another's
/// leases need.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    bucket: TokenBucket,
    refused: [u64; 6],
    taken: [u64; 6],
}

impl RateLimiter {
    /// For one node's equal share of `limit`.
    #[must_use]
    pub fn new(limit: SharedLimit, now: Micros) -> RateLimiter {
        let share = limit.per_second * ALLOCATED_SHARE / f64::from(limit.nodes.max(1));
        RateLimiter {
            bucket: TokenBucket::full(share, now),
            refused: [0; 6],
            taken: [0; 6],
        }
    }

    /// Takes `count` requests, or changes.
    ///
    /// # Errors
    /// There is no room: the minimum time until there may be.
    pub fn take(
        &mut self,
        priority: RequestPriority,
        count: u32,
        now: Micros,
    ) -> Result<(), Micros> {
        let floor = priority.floor() * self.bucket.capacity();
        let taken = self.bucket.take(f64::from(count), floor, now);
        let counters = if taken.is_ok() {
            &mut self.taken
        } else {
            &mut self.refused
        };
        counters[priority as usize] += 1;
        taken
    }

    /// Whether [`RateLimiter::take`] would succeed.
    #[must_use]
    pub fn has_room(&mut self, priority: RequestPriority, count: u32, now: Micros) -> bool {
        let floor = priority.floor() * self.bucket.capacity();
        self.bucket.has_room(f64::from(count), floor, now)
    }

    /// How often there was room and how often not, for operators.
    #[must_use]
    pub fn counts(&self, priority: RequestPriority) -> (u64, u64) {
        (
            self.taken[priority as usize],
            self.refused[priority as usize],
        )
    }
}
