//! The time for which a leader may command agents.
//!
//! A leader may command agents while its lease in the key-value store is valid and it receives cancellations. If the
//! store rejects the requests of all nodes, both would expire without need: no node could fail over, and no user
//! could cancel. A node cannot distinguish such an outage from a rejection of its own requests, but its peers can: a
//! peer whose requests are rejected too grants lease support and does not campaign for a short time. While the
//! support of **all** peers lasts without a gap, the leader lease stays valid.
//!
//! This relies on the following:
//!
//! - A peer grants support only if it neither leads nor campaigns, and none of its earlier campaigns can still
//!   succeed. It does not campaign until the support has expired. A restarted peer has lost the record of
//!   what it granted, so it waits for the maximum duration of support before it campaigns.
//! - Support counts from the time at which the leader sent the request, so the leader never relies on it for longer
//!   than the peer does.
//! - Support extends only a lease that is valid at that moment. A leader whose lease was not valid must renew it
//!   first, because another node may have led in the meantime. Guards the invariant `ran_twice`.
//! - Support comes with all cancellations that the peer has acknowledged to users and that the leader may
//!   lack. A peer that cannot list them all, because it was restarted since or dropped some, grants no support; see
//!   [`CancellationLog`](crate::CancellationLog). Guards the invariant `ran_cancelled`.

use crate::latency::TimeoutBounds;
use hopyoke_types::Micros;

/// Maximum duration of lease support.
pub const SUPPORT_DURATION: Micros = Micros::from_secs(2);

/// Number of renewals per time to live of a lease while each is answered.
const RENEWALS_PER_TTL: u64 = 4;
/// Maximum time after which an unanswered renewal is repeated. The first one stays in flight.
const MAX_RENEWAL_REPEAT: Micros = Micros::from_secs(1);
/// Minimum timeout of requests on which a lease depends: well above the few hundred milliseconds that the store's
/// responses occasionally take, and short enough to detect early that the store does not respond.
pub const MIN_LEASE_TIMEOUT: Micros = Micros::from_secs(1);
/// Maximum first timeout of such a request while the store's latency is unknown.
const MAX_FIRST_LEASE_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Time reserved for processing between two watches.
const WATCH_MARGIN: Micros = Micros::from_millis(100);

/// Returns the latency of the key-value store from which on no leader can be elected. The grant of a lease and the
/// write of the leader key under it are sequential, and both must be answered within the lease's time to live.
#[must_use]
pub fn max_election_latency(ttl: Micros) -> Micros {
    Micros(ttl.less_drift().0 / 2)
}

/// Returns the timeout bounds of requests on which a leader lease depends. The ceiling exceeds the maximum latency of
/// an election by a quarter to allow for variation; waiting longer cannot elect a leader and delays the next attempt.
#[must_use]
pub fn lease_timeouts(ttl: Micros) -> TimeoutBounds {
    let max_latency = max_election_latency(ttl);
    TimeoutBounds::new(
        first_lease_timeout(ttl),
        max_latency + Micros(max_latency.0 / 4),
    )
}

/// Returns the first timeout while the store's latency is unknown. Two attempts fit into the time to live, with some
/// time left for what follows.
fn first_lease_timeout(ttl: Micros) -> Micros {
    Micros(ttl.0 * 3 / 8).clamp(MIN_LEASE_TIMEOUT, MAX_FIRST_LEASE_TIMEOUT)
}

/// Returns the time between sending a renewal that is answered and sending the next one.
#[must_use]
pub fn renewal_interval(ttl: Micros) -> Micros {
    Micros(ttl.0 / RENEWALS_PER_TTL)
}

/// Returns the time after which an unanswered renewal is repeated. The response to the first one is still accepted
/// while it can extend the lease, so a lost renewal costs this interval and a slow store costs nothing.
#[must_use]
pub fn renewal_repeat_interval(ttl: Micros) -> Micros {
    renewal_interval(ttl).min(MAX_RENEWAL_REPEAT)
}

/// Tracks whether a leader may command agents.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    ttl: Micros,
    /// Time after the sending of a watch for which its response covers cancellations.
    changes_ttl: Micros,
    lease_until: Micros,
    changes_until: Micros,
    /// Time until which the support of all peers has lasted without a gap.
    supported_until: Micros,
    /// Time until which each peer supports this leader.
    peer_support_until: Vec<Micros>,
}

impl LeaderLease {
    /// Creates a lease that is valid until `until` without a renewal, once the first changes have been received.
    /// `ttl` is the lease's time to live, and `watch_timeout` the time that a response to a watch may take.
    pub fn new(until: Micros, ttl: Micros, watch_timeout: Micros, peers: usize) -> LeaderLease {
        LeaderLease {
            ttl,
            changes_ttl: watch_timeout + ttl,
            lease_until: until,
            changes_until: Micros::ZERO,
            supported_until: Micros::ZERO,
            peer_support_until: vec![Micros::ZERO; peers],
        }
    }

    /// Records a renewal whose request was sent at `sent_at`. The lease counts from the sending, less the drift
    /// between the clocks.
    pub fn lease_renewed(&mut self, sent_at: Micros) {
        self.lease_until = self.lease_until.max(sent_at + self.ttl.less_drift());
    }

    /// Records that all changes up to some moment after `sent_at` have been received.
    pub fn changes_received(&mut self, sent_at: Micros) {
        self.changes_until = self.changes_until.max(sent_at + self.changes_ttl);
    }

    /// Returns the time that the store may wait for changes before it answers the next watch, at most `max_wait`,
    /// given its latency. A response counts for `changes_ttl` from the sending of its request; the next one takes up
    /// to a wait and a latency after it and must arrive before that time is over.
    #[must_use]
    pub fn watch_wait(&self, latency: Micros, max_wait: Micros) -> Micros {
        let half = Micros(self.changes_ttl.0 / 2);
        half.saturating_sub(latency + WATCH_MARGIN).min(max_wait)
    }

    /// Records a peer's response to a request sent at `sent_at`; `duration` is the duration of the support that it
    /// grants, if any. The caller must have applied the cancellations in the same response.
    pub fn support_answered(
        &mut self,
        peer: usize,
        sent_at: Micros,
        duration: Option<Micros>,
        now: Micros,
    ) {
        let Some(until) = self.peer_support_until.get_mut(peer) else {
            return;
        };
        *until = duration.map_or(Micros::ZERO, |duration| {
            sent_at + duration.min(SUPPORT_DURATION).less_drift()
        });
        if self.is_valid(now) {
            let all_until = self
                .peer_support_until
                .iter()
                .min()
                .copied()
                .unwrap_or(Micros::ZERO);
            self.supported_until = self.supported_until.max(all_until);
        }
    }

    /// Returns whether this node may command agents and renew their leases.
    pub fn is_valid(&self, now: Micros) -> bool {
        (now < self.lease_until && now < self.changes_until) || now < self.supported_until
    }
}
