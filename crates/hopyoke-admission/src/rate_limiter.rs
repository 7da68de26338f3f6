//! Limits a node's requests to its share of a shared limit, by priority.

use crate::token_bucket::TokenBucket;
use hopyoke_types::Micros;

/// Priority of a request to the key-value store, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// Leases, grants of lease support and reads of a new leader, on which safety or the whole service depends.
    Critical,
    /// Writes of the leader's job records, and its watch of them.
    Records,
    /// Cancellations: tasks keep running until these are recorded.
    Cancels,
    /// Submissions, including repeated ones.
    Accepts,
    /// Status polls, which clients repeat anyway.
    Polls,
    /// Deferrable work: learned run times, garbage collection, probes.
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

    /// Share of the bucket's capacity that is reserved for higher priorities.
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

/// A rate limit that all nodes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedLimit {
    /// Rate per second that the service accepts from all nodes together, with bursts of up to one second's worth.
    pub per_second: f64,
    /// Number of nodes, whether up or down.
    pub nodes: u32,
}

/// Share of the limit that is divided among the nodes. The rest is headroom for requests that arrive closer together
/// than they were sent.
const ALLOCATED_SHARE: f64 = 0.95;

/// Limits one node to its share of a limit, by priority.
///
/// The shares of all nodes, including bursts, add up to less than the limit, whatever a node knows of the others. So
/// the service refuses nothing while nodes keep to their shares, and an overloaded node can't use up the capacity that
/// another node needs for its leases.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    bucket: TokenBucket,
    refused: [u64; 6],
    taken: [u64; 6],
}

impl RateLimiter {
    /// Creates a limiter for one node's equal share of `limit`.
    #[must_use]
    pub fn new(limit: SharedLimit, now: Micros) -> RateLimiter {
        let share = limit.per_second * ALLOCATED_SHARE / f64::from(limit.nodes.max(1));
        RateLimiter {
            bucket: TokenBucket::full(share, now),
            refused: [0; 6],
            taken: [0; 6],
        }
    }

    /// Takes capacity for `count` requests or changes.
    ///
    /// # Errors
    /// Returns the minimum time until there may be enough capacity.
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

    /// Returns whether [`RateLimiter::take`] would succeed.
    #[must_use]
    pub fn has_room(&mut self, priority: RequestPriority, count: u32, now: Micros) -> bool {
        let floor = priority.floor() * self.bucket.capacity();
        self.bucket.has_room(f64::from(count), floor, now)
    }

    /// Returns how often capacity was taken and how often it was refused.
    #[must_use]
    pub fn counts(&self, priority: RequestPriority) -> (u64, u64) {
        (
            self.taken[priority as usize],
            self.refused[priority as usize],
        )
    }
}
