//! Admits submissions at a limited rate and spreads the retries of rejected ones.

use crate::gossip::{GossipOutbox, QueueGossip};
use crate::tenants::{TenantCounts, Tenants};
use crate::token_bucket::TokenBucket;
use crate::wait_queue::WaitQueue;
use hopyoke_types::{JobId, Micros};

/// Delay after which a rejected submission may be retried, in seconds (1 to 30).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(pub u32);

/// Maximum retry delay in seconds; clients wait no longer even if told to.
const MAX_RETRY_AFTER_S: f64 = 30.0;
/// Share of the bucket's capacity that is reserved for tenants within their fair share.
const RESERVED_SHARE: f64 = 0.3;
/// Minimum rate used for retry times, as a share of the base rate: loans that lower the current rate are returned, and
/// a client that retries too early keeps its queue position.
const MIN_BASE_RATE_SHARE: f64 = 0.5;
/// Jobs whose retry is due within this time are admitted before new submissions.
const DUE_WINDOW: Micros = Micros::from_secs(1);

/// Admits submissions at a given rate.
///
/// Each rejected job gets a position in a queue that advances at that rate, which spreads retries over time. It keeps
/// the position until its retry: a client that retries when told to is admitted before new submissions and isn't
/// overtaken. Clients may retry at any node, so nodes gossip their queue positions, and each node expects an equal part
/// of the retries that are due. Without gossip, a node knows only its own queue.
///
/// Active tenants share the rate by weight, and unused share is available to others. A tenant that has used up its
/// share must leave a reserve for the others, whose new submissions don't wait behind its queue.
#[derive(Debug, Clone)]
pub struct AdmissionGate {
    bucket: TokenBucket,
    /// Rate without loans.
    base_rate: f64,
    queue: WaitQueue,
    outbox: GossipOutbox,
    tenants: Tenants,
    counts: TenantCounts,
    /// Jobs admitted since `window_start`.
    admitted_in_window: f64,
    window_start: Micros,
    /// Jobs admitted per second in the previous window.
    last_window_rate: f64,
}

impl AdmissionGate {
    /// Creates a gate that admits `rate` jobs per second. `guaranteed` tells for each tenant, by index, whether it has
    /// a guarantee; `peers` is the number of other nodes that may share the queue.
    #[must_use]
    pub fn new(rate: f64, guaranteed: &[bool], peers: usize, now: Micros) -> AdmissionGate {
        AdmissionGate {
            bucket: TokenBucket::full(rate, now),
            base_rate: rate,
            queue: WaitQueue::default(),
            outbox: GossipOutbox::new(peers),
            tenants: Tenants::new(guaranteed, now),
            counts: TenantCounts::default(),
            admitted_in_window: 0.0,
            window_start: now,
            last_window_rate: 0.0,
        }
    }

    /// Sets the rate, in jobs per second; `base_rate` is the rate without outstanding loans.
    pub fn set_rate(&mut self, rate: f64, base_rate: f64, now: Micros) {
        self.base_rate = base_rate;
        if (rate - self.bucket.rate()).abs() > 0.01 {
            self.bucket.set_rate(rate, now);
        }
    }

    /// Admits a tenant's job if there is capacity.
    ///
    /// # Errors
    /// Returns after how long the client may retry if there is no capacity.
    pub fn admit(&mut self, job: &JobId, tenant: usize, now: Micros) -> Result<(), RetryAfter> {
        let tenant = self.tenants.index(tenant);
        self.queue.expire(now);
        self.tenants.record_request(tenant, self.bucket.rate(), now);
        let within_share = self.tenants.is_within_share(tenant);
        let reserve = if within_share {
            0.0
        } else {
            RESERVED_SHARE * self.bucket.capacity()
        };
        // Jobs ahead in the queue have a claim on the tokens left and on the next second's refill. A tenant within its
        // share has to wait only for its own jobs.
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
            self.tenants.record_admission(tenant);
            self.counts.admitted += 1;
            self.admitted_rate(now);
            self.admitted_in_window += 1.0;
            return Ok(());
        }
        Err(self.reject(job, tenant, now))
    }

    /// Rejects a job and gives it a queue position. The reason may be another than this gate's rate.
    pub fn reject(&mut self, job: &JobId, tenant: usize, now: Micros) -> RetryAfter {
        let tenant = self.tenants.index(tenant);
        self.counts.rejected += 1;
        self.tenants.record_rejection(tenant);
        let wait_s = self.queue.ahead_of(job).map_or(MAX_RETRY_AFTER_S, |ahead| {
            (ahead + 1) as f64 / self.drain_rate(now)
        });
        let after_s = wait_s.ceil().clamp(1.0, MAX_RETRY_AFTER_S);
        let due_at = now + Micros::from_secs_f64(after_s);
        self.queue.upsert(job, tenant, due_at, true);
        self.outbox.push(job, tenant, Some(due_at));
        RetryAfter(after_s as u32)
    }

    /// Returns how many queued jobs are admitted per second by all nodes that share the queue, assuming equal rates.
    fn drain_rate(&self, now: Micros) -> f64 {
        self.bucket
            .rate()
            .max(self.base_rate * MIN_BASE_RATE_SHARE)
            .max(0.1)
            * self.outbox.sharing_nodes(now) as f64
    }

    /// Takes the updates of queue positions to send to a peer now.
    pub fn take_gossip(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.outbox.take(peer, now)
    }

    /// Applies the updates of queue positions that a peer sent, which may be none.
    pub fn gossip_received(&mut self, peer: usize, gossip: &[QueueGossip], now: Micros) {
        self.outbox.gossip_received(peer, now);
        self.queue.expire(now);
        for entry in gossip {
            match entry.due_in {
                Some(due_in) => {
                    let due_at = now + due_in.min(Micros::from_secs_f64(MAX_RETRY_AFTER_S));
                    let tenant = self.tenants.index(entry.tenant);
                    self.queue.upsert(&entry.job, tenant, due_at, false);
                }
                None => {
                    self.queue.remove(&entry.job);
                }
            }
        }
    }

    /// Returns how many jobs per second were admitted recently.
    pub fn admitted_rate(&mut self, now: Micros) -> f64 {
        let elapsed = now - self.window_start;
        if elapsed >= Micros::from_secs(1) {
            self.last_window_rate = self.admitted_in_window / elapsed.as_secs_f64();
            (self.admitted_in_window, self.window_start) = (0.0, now);
        }
        // The count of the current window is a lower bound of its rate.
        self.last_window_rate.max(self.admitted_in_window)
    }

    /// Returns the estimated time until all jobs that this node rejected are admitted.
    pub fn estimated_wait(&mut self, now: Micros) -> Micros {
        self.queue.expire(now);
        Micros::from_secs_f64(
            self.queue.own_entries() as f64 * self.outbox.sharing_nodes(now) as f64
                / self.drain_rate(now),
        )
    }

    /// Returns how many jobs were admitted and rejected.
    #[must_use]
    pub fn counts(&self) -> TenantCounts {
        self.counts
    }

    /// Returns the counters by tenant index; the last entry covers all tenants not in the settings.
    pub fn tenant_counts(&self) -> impl Iterator<Item = TenantCounts> {
        self.tenants.counts()
    }
}
