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
//! - A promise names the jobs that the peer told users are cancelled. A peer that was restarted
//!   since the leader last heard of all changes has forgotten some, so its promise does not
//!   count. (Guards `ran_cancelled`.)

use hopyoke_types::Micros;

/// How long a promise lasts.
pub const PROMISE: Micros = Micros::from_secs(2);

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// The process that answered last, and the one at our last news of all changes.
    process: Option<u64>,
    process_at_news: Option<u64>,
    promised_until: Micros,
}

/// A leader's right to command.
#[derive(Debug, Clone)]
pub struct Entitlement {
    ttl: Micros,
    /// How long after the sending of a watch its answer covers cancellations.
    news: Micros,
    lease_until: Micros,
    heard_until: Micros,
    vouched_until: Micros,
    peers: Vec<Peer>,
}

impl Entitlement {
    /// `until` is what the grant of the lease allows; nothing is heard yet.
    pub fn new(until: Micros, ttl: Micros, watch: Micros, peers: usize) -> Entitlement {
        Entitlement {
            ttl,
            news: watch + ttl,
            lease_until: until,
            heard_until: Micros::ZERO,
            vouched_until: Micros::ZERO,
            peers: vec![Peer::default(); peers],
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
        for p in &mut self.peers {
            p.process_at_news = p.process;
        }
    }

    /// A peer answered what we asked at `sent`; `span` is what it promises, if it does.
    pub fn answered(&mut self, peer: usize, process: u64, sent: Micros, span: Option<Micros>, now: Micros) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        p.process = Some(process);
        p.promised_until = match span {
            Some(span) if p.process_at_news == Some(process) => sent + span.min(PROMISE).less_drift(),
            _ => Micros::ZERO,
        };
        if self.holds(now) {
            let all = self.peers.iter().map(|p| p.promised_until).min().unwrap_or(Micros::ZERO);
            self.vouched_until = self.vouched_until.max(all);
        }
    }

    /// We may command workers and renew their leases.
    pub fn holds(&self, now: Micros) -> bool {
        (now < self.lease_until && now < self.heard_until) || now < self.vouched_until
    }
}
