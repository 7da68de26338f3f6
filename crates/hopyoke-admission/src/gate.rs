//! Which submissions are admitted, and after how long rejected ones may retry.

use crate::gossip::{GossipOutbox, QueueGossip};
use crate::tenants::{TenantCounts, Tenants};
use crate::token_bucket::TokenBucket;
use crate::wait_queue::WaitQueue;
use hopyoke_types::{JobId, Micros};

/// After how long a rejected submission may be retried, in whole seconds (1 to 30).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(pub u32);

/// Clients wait no longer than this, in seconds, whatever they are answered.
const MAX_RETRY_AFTER_S: f64 = 30.0;
/// The share of a full bucket that is reserved for tenants within their own share.
const RESERVE: f64 = 0.3;
/// Retry times are computed with at least this share of the lasting rate, while the present rate is lower: loans
/// are returned. A client that retries too early keeps its queue position.
const LASTING_SHARE: f64 = 0.5;
/// Jobs whose retry is due within this time are admitted before new ones.
const DUE_WINDOW: Micros = Micros::from_secs(1);

/// Admits submissions at a given rate.
///
/// Each rejected job gets a position in a queue that advances at that rate, so retries are spread over time, and
/// keeps it until its retry: a client that retries as it was answered is admitted before new submissions, and is not
/// overtaken until it gives up. Nodes announce their queue positions to each other, for clients retry at any of
/// them; each node expects an equal part of the retries that are due. Without gossip a node knows its own queue only.
///
/// Each tenant has a share of the rate, equal among those that are active; what one does not use is available to
/// others. A tenant that has used up its share leaves a reserve to the others, whose new submissions do not wait
/// behind its queue.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    bucket: TokenBucket,
    /// The rate without loans.
    lasting_rate: f64,
    queue: WaitQueue,
    outbox: GossipOutbox,
    tenants: Tenants,
    counts: TenantCounts,
    /// Admitted since `window_start`.
    admitted_in_window: f64,
    window_start: Micros,
    /// Admitted a second in the window before.
    last_window_rate: f64,
}

impl AdmissionGate {
    /// Admits `rate` jobs a second. `guaranteed`: of each tenant, by index, whether it has a guarantee; `peers`: the
    /// number of other nodes with which the queue may be shared.
    #[must_use]
    pub fn new(rate: f64, guaranteed: &[bool], peers: usize, now: Micros) -> AdmissionGate {
        AdmissionGate {
            bucket: TokenBucket::full(rate, now),
            lasting_rate: rate,
            queue: WaitQueue::default(),
            outbox: GossipOutbox::new(peers),
            tenants: Tenants::new(guaranteed, now),
            counts: TenantCounts::default(),
            admitted_in_window: 0.0,
            window_start: now,
            last_window_rate: 0.0,
        }
    }

    /// Sets the rate, in jobs a second; `lasting_rate` is the rate once no loan is outstanding.
    pub fn set_rate(&mut self, rate: f64, lasting_rate: f64, now: Micros) {
        self.lasting_rate = lasting_rate;
        if (rate - self.bucket.rate()).abs() > 0.01 {
            self.bucket.set_rate(rate, now);
        }
    }

    /// Admits a tenant's job, if there is room.
    ///
    /// # Errors
    /// There is no room now: after how long the client may retry.
    pub fn admit(&mut self, job: &JobId, tenant: usize, now: Micros) -> Result<(), RetryAfter> {
        let tenant = self.tenants.index(tenant);
        self.queue.expire(now);
        self.tenants.requested(tenant, self.bucket.rate(), now);
        let within_share = self.tenants.is_within_share(tenant);
        let reserve = if within_share {
            0.0
        } else {
            RESERVE * self.bucket.capacity()
        };
        // Jobs ahead in the queue have a claim on the level and on the next second's refill; on the tenant's own
        // share only jobs of that tenant have.
        let claims = self
            .queue
            .due_ahead_of(now + DUE_WINDOW, job, |t| t == tenant || !within_share);
        let claims = claims as f64 / self.outbox.sharing_nodes(now) as f64;
        let refill = self.bucket.rate() * DUE_WINDOW.as_secs_f64();
        let floor = reserve.max(claims - refill);
        if self.bucket.take(1.0, floor, now).is_ok() {
            if self.queue.remove(job) {
                self.outbox.push(job, tenant, None);
            }
            self.tenants.admitted(tenant);
            self.counts.admitted += 1;
            self.admitted_rate(now);
            self.admitted_in_window += 1.0;
            return Ok(());
        }
        Err(self.reject(job, tenant, now))
    }

    /// Rejects a job, perhaps for another reason than this gate's rate: it gets a queue position as well.
    pub fn reject(&mut self, job: &JobId, tenant: usize, now: Micros) -> RetryAfter {
        let tenant = self.tenants.index(tenant);
        self.counts.rejected += 1;
        self.tenants.rejected(tenant);
        let wait_s = self.queue.ahead_of(job).map_or(MAX_RETRY_AFTER_S, |ahead| {
            (ahead + 1) as f64 / self.drain_rate(now)
        });
        let after_s = wait_s.ceil().clamp(1.0, MAX_RETRY_AFTER_S);
        let due_at = now + Micros::from_secs_f64(after_s);
        self.queue.upsert(job, tenant, due_at, true);
        self.outbox.push(job, tenant, Some(due_at));
        RetryAfter(after_s as u32)
    }

    /// How many of the queue are admitted a second, at all nodes that share it: their rates are taken as equal.
    fn drain_rate(&self, now: Micros) -> f64 {
        self.bucket
            .rate()
            .max(self.lasting_rate * LASTING_SHARE)
            .max(0.1)
            * self.outbox.sharing_nodes(now) as f64
    }

    /// Takes the queue positions to announce to a peer now.
    pub fn take_gossip(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.outbox.take(peer, now)
    }

    /// A peer announced changes of its queue positions, perhaps none.
    pub fn gossip_received(&mut self, peer: usize, gossip: &[QueueGossip], now: Micros) {
        self.outbox.gossip_received(peer, now);
        self.queue.expire(now);
        for entry in gossip {
            match entry.due_in {
                Some(span) => {
                    let due_at = now + span.min(Micros::from_secs_f64(MAX_RETRY_AFTER_S));
                    let tenant = self.tenants.index(entry.tenant);
                    self.queue.upsert(&entry.job, tenant, due_at, false);
                }
                None => {
                    self.queue.remove(&entry.job);
                }
            }
        }
    }

    /// How many jobs a second were admitted over the last second.
    pub fn admitted_rate(&mut self, now: Micros) -> f64 {
        let span = now - self.window_start;
        if span >= Micros::from_secs(1) {
            self.last_window_rate = self.admitted_in_window / span.as_secs_f64();
            (self.admitted_in_window, self.window_start) = (0.0, now);
        }
        // A window that has only begun counts with what it holds already.
        self.last_window_rate.max(self.admitted_in_window)
    }

    /// How long the queue of jobs that this node rejected takes to be admitted.
    pub fn estimated_wait(&mut self, now: Micros) -> Micros {
        self.queue.expire(now);
        Micros::from_secs_f64(
            self.queue.own_entries() as f64 * self.outbox.sharing_nodes(now) as f64
                / self.drain_rate(now),
        )
    }

    /// How many jobs were admitted and rejected, for operators.
    #[must_use]
    pub fn counts(&self) -> TenantCounts {
        self.counts
    }

    /// The same by tenant index; the last stands for all tenants that the settings do not name.
    pub fn tenant_counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.tenants.counts()
    }
}
