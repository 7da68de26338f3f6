//! How long a leader may go on commanding agents.
//!
//! It may while its lease in the key-value store is valid and it receives cancellations. When the store refuses all
//! nodes, both would expire for nothing: nobody could fail over, and nobody could cancel. A node can't tell such an
//! outage from a refusal that only it gets, but its peers can: a peer that is refused too grants support, and does not
//! campaign for a short span. While the support of **all** peers lasts without a gap, the leader lease stays valid.
//!
//! What that rests on:
//!
//! - A peer grants support only if it neither leads nor campaigns, and knows that no campaign of its own can still
//!   succeed late. It keeps to it; a restarted one does not know what it has granted, so it waits for as long as any
//!   support may last before it campaigns.
//! - Support counts from when the leader asked for it, so never longer than the peer keeps to it.
//! - Support extends only a lease that is valid at that moment: a leader whose lease was not valid must renew it
//!   first, for another may have led meanwhile. (Guards `ran_twice`.)
//! - Support comes with all cancellations that the peer has acknowledged to users and the leader may not know of; a
//!   peer that can't name them all, because it was restarted since or they were too many, grants none
//!   (see [`CancellationLog`](crate::CancellationLog)). (Guards `ran_cancelled`.)

use crate::latency::TimeoutBounds;
use hopyoke_types::Micros;

/// How long support lasts.
pub const SUPPORT_DURATION: Micros = Micros::from_secs(2);

/// Renewals of a lease in its time to live, while each is answered or lost.
const RENEWALS_PER_TTL: u64 = 4;
/// A renewal without an answer is repeated after this at the latest, beside the one that may still be answered.
const MAX_RENEWAL_REPEAT: Micros = Micros::from_secs(1);
/// The shortest timeout of requests on which a lease depends: well above what the store takes occasionally (a few hundred
/// milliseconds), and so short that a store that does not answer is found out early.
pub const MIN_LEASE_TIMEOUT: Micros = Micros::from_secs(1);
/// The longest that such a request is waited for while nothing is known of the store's latency.
const MAX_FIRST_LEASE_TIMEOUT: Micros = Micros::from_millis(1_500);
/// What a watch's wait leaves of the entitlement for whatever comes between two watches.
const WATCH_MARGIN: Micros = Micros::from_millis(100);

/// The latency of the key-value store from which on no leader can be elected: the grant of a lease and the write of the
/// leader key under it come in turn, and both must be answered within the lease's time to live.
#[must_use]
pub fn max_election_latency(ttl: Micros) -> Micros {
    Micros(ttl.less_drift().0 / 2)
}

/// Bounds for requests on which a leader lease depends. The ceiling lies above the latency at which a leader can still be
/// elected by a quarter, for latency that varies; beyond that a longer wait elects nobody, and delays the next attempt.
#[must_use]
pub fn lease_timeouts(ttl: Micros) -> TimeoutBounds {
    let max_latency = max_election_latency(ttl);
    TimeoutBounds::new(
        first_lease_timeout(ttl),
        max_latency + Micros(max_latency.0 / 4),
    )
}

/// The first timeout while nothing is known of the store's latency: so long that two attempts fit into the time to live, and
/// a moment for what follows.
fn first_lease_timeout(ttl: Micros) -> Micros {
    Micros(ttl.0 * 3 / 8).clamp(MIN_LEASE_TIMEOUT, MAX_FIRST_LEASE_TIMEOUT)
}

/// How long after a renewal was sent the next one is, if it was answered.
#[must_use]
pub fn renewal_interval(ttl: Micros) -> Micros {
    Micros(ttl.0 / RENEWALS_PER_TTL)
}

/// How long after a renewal was sent the next one is, if it was not answered. The first one may still be: it is waited for
/// until its answer would be worth nothing. So a lost one costs this interval, and a slow store none at all.
#[must_use]
pub fn renewal_repeat_interval(ttl: Micros) -> Micros {
    renewal_interval(ttl).min(MAX_RENEWAL_REPEAT)
}

/// A leader's entitlement to command agents.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    ttl: Micros,
    /// How long after a watch was sent its answer covers cancellations.
    changes_ttl: Micros,
    lease_until: Micros,
    changes_until: Micros,
    /// Until when all peers' support has lasted without a gap.
    supported_until: Micros,
    /// Until when each peer supports this leader.
    peer_support_until: Vec<Micros>,
}

impl LeaderLease {
    /// A lease that is valid until `until` without a renewal, as soon as the first changes are received. `ttl`: the
    /// lease's time to live; `watch_timeout`: how long an answer to a watch may take.
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

    /// The lease was renewed by a request sent at `sent_at`. (Counted from the sending, less the drift between the
    /// clocks.)
    pub fn lease_renewed(&mut self, sent_at: Micros) {
        self.lease_until = self.lease_until.max(sent_at + self.ttl.less_drift());
    }

    /// All changes up to some moment after `sent_at` have been received.
    pub fn changes_received(&mut self, sent_at: Micros) {
        self.changes_until = self.changes_until.max(sent_at + self.changes_ttl);
    }

    /// How long the store may wait for changes before it answers the next watch, `max_wait` at most, if it takes `latency`
    /// besides. An answer counts from the sending of its request for `changes_ttl`; the next one comes a wait and a
    /// latency after it and must come before that.
    #[must_use]
    pub fn watch_wait(&self, latency: Micros, max_wait: Micros) -> Micros {
        let half = Micros(self.changes_ttl.0 / 2);
        half.saturating_sub(latency + WATCH_MARGIN).min(max_wait)
    }

    /// A peer answered the request sent at `sent_at`; `duration`: for how long it grants support, if it does. The
    /// cancellations of the same answer must have been applied before.
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

    /// This node may command agents and renew their leases.
    pub fn is_valid(&self, now: Micros) -> bool {
        (now < self.lease_until && now < self.changes_until) || now < self.supported_until
    }
}
