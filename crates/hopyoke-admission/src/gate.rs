//! Who is let in, and when those refused are to come back.

use crate::gossip::{GossipOutbox, QueueGossip};
use crate::tenants::Tenants;
use crate::token_bucket::TokenBucket;
use crate::wait_queue::WaitQueue;
use hopyoke_types::{JobId, Micros};

/// When one that was refused is to come back, in whole seconds (1 to 30).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(pub u32);

/// Users wait no longer than this, whatever they are told.
const MOST: f64 = 30.0;
/// Of a second's rate so much is left to tenants that have not used up their own part.
const RESERVE: f64 = 0.3;
/// Room is promised at this part of the lasting rate at the least, while less of it is here: what was lent
/// comes back. One that is told to come back too early keeps its place.
const LASTING: f64 = 0.5;
/// Those who are due within this time come before newcomers.
const SOON: Micros = Micros::from_secs(1);

/// Lets in what a rate allows.
///
/// Each one refused is given a place in a line that moves at that rate, so that those told to come back do so
/// spread out, and keeps it until then: whoever comes back as told is let in before newcomers. So nobody is
/// overtaken again and again until its user gives up. Nodes tell each other of their places, for users come back to
/// any of them; each expects its part of those who are due. Without word of the others a node has its own line only.
///
/// Each tenant has a part of the rate, equal among those that ask at the time; what one does not use others
/// may. One that has used up its own leaves a reserve to the others, whose newcomers do not wait behind its line.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    bucket: TokenBucket,
    lasting: f64,
    line: WaitQueue,
    words: GossipOutbox,
    tenants: Tenants,
    let_in: u64,
    refused: u64,
    /// Let in since `counted`, and a second before that.
    lately: f64,
    counted: Micros,
    used: f64,
}

impl AdmissionGate {
    /// Lets in `rate` a second. `guaranteed`: of each tenant, in the order of their indices, whether it has a
    /// guarantee; `peers`: other nodes with whom the line may be shared.
    pub fn new(rate: f64, guaranteed: &[bool], peers: usize, now: Micros) -> AdmissionGate {
        AdmissionGate {
            bucket: TokenBucket::full(rate, now),
            lasting: rate,
            line: WaitQueue::default(),
            words: GossipOutbox::new(peers),
            tenants: Tenants::new(guaranteed, now),
            let_in: 0,
            refused: 0,
            lately: 0.0,
            counted: now,
            used: 0.0,
        }
    }

    /// Another rate from now on; `lasting` is what it will be once nothing is lent or borrowed.
    pub fn set_rate(&mut self, rate: f64, lasting: f64, now: Micros) {
        self.lasting = lasting;
        if (rate - self.bucket.rate()).abs() > 0.01 {
            self.bucket.set_rate(rate, now);
        }
    }

    /// A tenant asks for a job to be let in.
    ///
    /// # Errors
    /// There is no room now: when to come back.
    pub fn enter(&mut self, job: &JobId, tenant: usize, now: Micros) -> Result<(), RetryAfter> {
        let tenant = self.tenants.index(tenant);
        self.line.expire(now);
        self.tenants.asks(tenant, self.bucket.rate(), now);
        let within = self.tenants.is_within(tenant);
        let reserve = if within {
            0.0
        } else {
            RESERVE * self.bucket.most()
        };
        // Whoever is due before it has a claim on what there is and on what the next second brings; on what is its
        // own tenant's part only that tenant's.
        let claims = self.line.due(now + SOON, job, |t| t == tenant || !within);
        let claims = claims as f64 / self.words.sharing(now) as f64;
        let coming = self.bucket.rate() * SOON.as_secs_f64();
        let floor = reserve.max(claims - coming);
        if self.bucket.take(1.0, floor, now).is_ok() {
            if self.line.leave(job) {
                self.words.note(job, tenant, None);
            }
            self.tenants.let_in(tenant);
            self.let_in += 1;
            self.used_at(now);
            self.lately += 1.0;
            return Ok(());
        }
        Err(self.refuse(job, tenant, now))
    }

    /// One has to be refused for another reason: it takes a place in the line as well.
    pub fn refuse(&mut self, job: &JobId, tenant: usize, now: Micros) -> RetryAfter {
        let tenant = self.tenants.index(tenant);
        self.refused += 1;
        self.tenants.refused(tenant);
        let wait = self
            .line
            .ahead_of(job)
            .map_or(MOST, |ahead| (ahead + 1) as f64 / self.moves_at(now));
        let after = wait.ceil().clamp(1.0, MOST);
        let due = now + Micros::from_secs_f64(after);
        self.line.told(job, tenant, due, true);
        self.words.note(job, tenant, Some(due));
        RetryAfter(after as u32)
    }

    /// How many of the line get in a second, at all nodes that share it: they have as much as this one.
    fn moves_at(&self, now: Micros) -> f64 {
        self.bucket.rate().max(self.lasting * LASTING).max(0.1) * self.words.sharing(now) as f64
    }

    /// What to tell a peer of the line now.
    pub fn words(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.words.take(peer, now)
    }

    /// A peer told of its line, or that there is nothing new.
    pub fn heard(&mut self, peer: usize, words: &[QueueGossip], now: Micros) {
        self.words.heard(peer, now);
        self.line.expire(now);
        for word in words {
            match word.due_in {
                Some(span) => {
                    let due = now + span.min(Micros::from_secs_f64(MOST));
                    self.line
                        .told(&word.job, self.tenants.index(word.tenant), due, false);
                }
                None => {
                    self.line.leave(&word.job);
                }
            }
        }
    }

    /// How many were let in a second of late.
    pub fn used(&mut self, now: Micros) -> f64 {
        self.used_at(now)
    }

    fn used_at(&mut self, now: Micros) -> f64 {
        let span = now - self.counted;
        if span >= Micros::from_secs(1) {
            self.used = self.lately / span.as_secs_f64();
            (self.lately, self.counted) = (0.0, now);
        }
        // Of a second that has only begun, what has come counts.
        self.used.max(self.lately)
    }

    /// How long the line is of those whom this node told to come back.
    pub fn line(&mut self, now: Micros) -> Micros {
        self.line.expire(now);
        Micros::from_secs_f64(
            self.line.own() as f64 * self.words.sharing(now) as f64 / self.moves_at(now),
        )
    }

    /// How many were let in and refused, for operators.
    pub fn counts(&self) -> (u64, u64) {
        (self.let_in, self.refused)
    }

    /// The same by tenant, in the order of their indices; the last stands for all that the settings do not name.
    pub fn tenant_counts(&self) -> impl Iterator<Item = (u64, u64)> {
        self.tenants.counts()
    }
}
