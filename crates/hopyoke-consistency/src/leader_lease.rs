//! How long a leader may go on commanding workers.
//!
//! It may while its lease in the state service holds and it hears of cancellations. When the
//! service refuses everybody, both would run out for nothing: nobody could take over, and nobody
//! could cancel. A node can't tell such an outage from a refusal that only it gets, but its peers
//! can: a peer that is refused too promises not to lead for a short span. While **all** peers'
//! promises hold without a gap, the leader goes on.
//!
//! What that rests on:
//!
//! - A peer promises only if it neither leads nor tries to, and knows that no try of its own can
//!   still succeed late. It keeps the promise; a restarted one has forgotten what it promised, so
//!   it waits for as long as any promise may last before it tries to lead.
//! - A promise counts from when the leader asked for it, so never longer than the peer keeps it.
//! - Promises extend only what holds at that moment: whoever has been without entitlement must
//!   renew its lease first, for another may have led meanwhile. (Guards `ran_twice`.)
//! - A promise comes with all cancellations that the peer has confirmed to users and the leader may not
//!   know of; a peer that can't name them all, for it was restarted since or they were too many, makes
//!   none (`hopyoke_consistency`). (Guards `ran_cancelled`.)

use hopyoke_types::Micros;

/// How long a promise lasts.
pub const SUPPORT_DURATION: Micros = Micros::from_secs(2);

/// A leader's right to command.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    ttl: Micros,
    /// How long after the sending of a watch its answer covers cancellations.
    news: Micros,
    lease_until: Micros,
    heard_until: Micros,
    vouched_until: Micros,
    /// Until when each peer has promised not to lead.
    promised_until: Vec<Micros>,
}

impl LeaderLease {
    /// `until` is what the grant of the lease allows; nothing is heard yet.
    pub fn new(until: Micros, ttl: Micros, watch: Micros, peers: usize) -> LeaderLease {
        LeaderLease {
            ttl,
            news: watch + ttl,
            lease_until: until,
            heard_until: Micros::ZERO,
            vouched_until: Micros::ZERO,
            promised_until: vec![Micros::ZERO; peers],
        }
    }

    /// The lease was renewed by a request sent at `sent`. (Counted from the sending, less the
    /// drift between the clocks.)
    pub fn renewed(&mut self, sent: Micros) {
        self.lease_until = self.lease_until.max(sent + self.ttl.less_drift());
    }

    /// All changes up to some moment after `sent` are known.
    pub fn heard(&mut self, sent: Micros) {
        self.heard_until = self.heard_until.max(sent + self.news);
    }

    /// A peer answered what we asked at `sent`; `span` is what it promises, if it does. What came with it must
    /// have been taken in before.
    pub fn answered(&mut self, peer: usize, sent: Micros, span: Option<Micros>, now: Micros) {
        let Some(until) = self.promised_until.get_mut(peer) else {
            return;
        };
        *until = span.map_or(Micros::ZERO, |span| {
            sent + span.min(SUPPORT_DURATION).less_drift()
        });
        if self.is_valid(now) {
            let all = self
                .promised_until
                .iter()
                .min()
                .copied()
                .unwrap_or(Micros::ZERO);
            self.vouched_until = self.vouched_until.max(all);
        }
    }

    /// We may command workers and renew their leases.
    pub fn is_valid(&self, now: Micros) -> bool {
        (now < self.lease_until && now < self.heard_until) || now < self.vouched_until
    }
}
