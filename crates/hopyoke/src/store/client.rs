//! Client of the key-value store: typed requests with priorities, rate-limited to this node's share of the store's
//! request rate.

use super::error::StoreError;
use super::timeouts::RequestTimeouts;
use hopyoke_admission::{RateLimiter, RequestPriority, SharedLimit};
use hopyoke_consistency::deadline::must_read_concurrently;
use hopyoke_consistency::latency::RequestKind;
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, ClientError, Method, Response};
use hopyoke_protocol::state::{
    Compare, CompareFailed, KeyValue, KeyValuePage, LeaseGrantRequest, LeaseGrantResponse,
    Mutation, Stored, Transaction, TransactionResponse, WatchResponse,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::{Micros, ModRevision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tracing::{debug, warn};

/// Outcome of a transaction.
#[derive(Debug)]
pub(crate) enum TransactionOutcome {
    /// All mutations were applied, at this revision.
    Applied(ModRevision),
    /// Nothing was applied: the comparisons of these keys failed.
    Failed(Vec<String>),
}

/// Value with the revision of its last change; `None` if the key is absent.
pub(crate) type VersionedValue<T> = Option<(Stored<T>, ModRevision)>;

/// All key-value pairs under a prefix.
pub(crate) struct Listing<T> {
    /// Sorted by key.
    pub(crate) pairs: Vec<KeyValue<T>>,
    /// Revision of the store at the first page; a watch from this revision on misses no change.
    pub(crate) revision: u64,
}

/// Result of reading a key.
pub(crate) enum KeyRead<T> {
    /// The key's value, with the revision of its last change.
    Present(Stored<T>, ModRevision),
    /// The key did not exist at this revision of the store.
    Absent(ModRevision),
}

impl<T> KeyRead<T> {
    fn into_versioned(self) -> VersionedValue<T> {
        match self {
            KeyRead::Present(value, mod_revision) => Some((value, mod_revision)),
            KeyRead::Absent(_) => None,
        }
    }
}

/// Body of the 404 response to a read of a key.
#[derive(Deserialize)]
struct KeyNotFound {
    #[serde(rename = "tide")]
    revision: u64,
}

/// Client of the key-value store.
pub(crate) struct KvClient {
    client: Client,
    /// Separate connections for critical requests: other requests may occupy all connections of `client`.
    critical_client: Client,
    rate_limiter: RefCell<RateLimiter>,
    /// Adaptive request timeouts.
    pub(crate) timeouts: RequestTimeouts,
    last_response_at: Cell<Micros>,
    last_failure_at: Cell<Micros>,
}

/// Pairs per page. Bounds a page to a few hundred kilobytes, which an overloaded node can still decode in time.
const PAGE_SIZE: u32 = 400;
/// Added to the timeout of a read for the transfer of a page.
const PAGE_TRANSFER_TIME: Micros = Micros::from_millis(3_500);
/// Maximum number of retries of one page, so that a failure does not restart the whole list.
const MAX_PAGE_RETRIES: u32 = 8;
/// Maximum time for which a request waits for the rate limiter.
const MAX_RATE_LIMIT_WAIT: Micros = Micros::from_millis(900);

impl KvClient {
    /// Creates a client. `requests` is the request rate that the store accepts from all nodes together, and the number
    /// of nodes. `leader_ttl` is the TTL of the leader lease, which bounds the request timeouts.
    pub(crate) fn new(addr: SocketAddr, requests: SharedLimit, leader_ttl: Micros) -> KvClient {
        KvClient {
            client: Client::new(addr),
            critical_client: Client::new(addr),
            rate_limiter: RefCell::new(RateLimiter::new(requests, runtime::now())),
            timeouts: RequestTimeouts::new(leader_ttl),
            last_response_at: Cell::new(Micros::ZERO),
            last_failure_at: Cell::new(Micros::ZERO),
        }
    }

    /// Returns when the store last responded with anything but 429 or 503.
    pub(crate) fn last_response_at(&self) -> Micros {
        self.last_response_at.get()
    }

    /// Returns whether the store is considered available: its last response is newer than the last failure. A 429
    /// counts as neither.
    pub(crate) fn is_responding(&self) -> bool {
        self.last_response_at.get() > self.last_failure_at.get()
    }

    /// Records that a request sent at `sent_at`, which is still awaited, has exceeded its timeout. The store counts as
    /// not responding until the next response.
    pub(crate) fn record_overdue_response(
        &self,
        kind: RequestKind,
        priority: RequestPriority,
        sent_at: Micros,
    ) {
        self.last_failure_at.set(runtime::now());
        self.timeouts.record_timeout(kind, priority, sent_at);
    }

    /// Returns how often the rate limiter admitted and how often it refused a request of a priority.
    pub(crate) fn request_counts(&self, priority: RequestPriority) -> (u64, u64) {
        self.rate_limiter.borrow().counts(priority)
    }

    fn with_priority(&self, priority: RequestPriority) -> PrioritizedClient<'_> {
        PrioritizedClient {
            store: self,
            priority,
            deadline: None,
        }
    }

    /// Returns the client for leases, elections and failover.
    pub(crate) fn critical(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Critical)
    }

    /// Returns the client for the leader's writes and watch of records.
    pub(crate) fn records(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Records)
    }

    /// Returns the client for cancellations.
    pub(crate) fn cancellations(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Cancels)
    }

    /// Returns the client for status requests.
    pub(crate) fn polls(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Polls)
    }

    /// Returns the client for submissions, which never wait for the rate limiter but fail immediately.
    pub(crate) fn submissions(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Accepts)
    }

    /// Returns the client for requests that can be delayed.
    pub(crate) fn background(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Background)
    }

    /// Waits until the rate limiter admits a request of `priority`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::RateLimited`] if the wait would exceed [`MAX_RATE_LIMIT_WAIT`] or `deadline`; for a
    /// submission if any wait is needed.
    async fn wait_for_rate_limit(
        &self,
        priority: RequestPriority,
        deadline: Option<Micros>,
    ) -> Result<(), StoreError> {
        let longest = runtime::now() + MAX_RATE_LIMIT_WAIT;
        let deadline = deadline.map_or(longest, |d| d.min(longest));
        loop {
            let now = runtime::now();
            let wait = match self.rate_limiter.borrow_mut().take(priority, 1, now) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if priority == RequestPriority::Accepts || now + wait > deadline {
                return Err(StoreError::RateLimited);
            }
            runtime::sleep(wait + Micros::from_millis(rand::random_range(1..=10))).await;
        }
    }

    /// Sends a request and waits for its response until its timeout or `deadline`, whichever comes first. Records the
    /// latency only if `request.is_measured`; for a watch that is left to the caller, who knows whether the store
    /// waited.
    async fn send(
        &self,
        priority: RequestPriority,
        request: Request<'_>,
        deadline: Option<Micros>,
    ) -> Result<Response, StoreError> {
        self.wait_for_rate_limit(priority, deadline).await?;
        let client = if priority == RequestPriority::Critical {
            &self.critical_client
        } else {
            &self.client
        };
        let sent_at = runtime::now();
        let timeout = request.timeout;
        let limit = deadline.map_or(timeout, |d| timeout.min(d - sent_at));
        let result = client
            .send(request.method, request.path, request.body, limit)
            .await;
        let now = runtime::now();
        // A request that was abandoned at its user's deadline is neither a failure nor a timeout of the store.
        let is_abandoned = matches!(&result, Err(ClientError::Unknown))
            && now >= sent_at + limit
            && limit < timeout;
        if !is_abandoned && !matches!(&result, Ok(r) if r.status != 503) {
            self.last_failure_at.set(now);
        }
        match result {
            Ok(r) if matches!(r.status, 429 | 503) => Err(StoreError::Refused(r.status)),
            Ok(r) => {
                self.last_response_at.set(now);
                if request.is_measured {
                    self.timeouts.record_response(request.kind, now - sent_at);
                }
                Ok(r)
            }
            Err(ClientError::NotSent(_)) => Err(StoreError::Refused(0)),
            Err(ClientError::Unknown) => {
                if !is_abandoned && now >= sent_at + timeout {
                    self.timeouts
                        .record_timeout(request.kind, priority, sent_at);
                }
                Err(StoreError::Unknown)
            }
        }
    }
}

/// Request to the store.
struct Request<'a> {
    kind: RequestKind,
    method: Method,
    path: &'a str,
    body: &'a [u8],
    /// Timeout of the response, unless the user's deadline comes first.
    timeout: Micros,
    /// The whole duration counts as the store's latency. Not set for watches, where the store is asked to wait, nor for
    /// pages, which take time to transfer.
    is_measured: bool,
}

/// Client for requests of one priority.
///
/// # Errors
///
/// Requests fail with [`StoreError::RateLimited`], [`StoreError::DeadlineExceeded`], [`StoreError::Refused`] or
/// [`StoreError::Invalid`] if they were certainly not executed, with [`StoreError::Unknown`] if no response came in time, and with
/// [`StoreError::Malformed`] if the response cannot be decoded.
#[derive(Clone, Copy)]
pub(crate) struct PrioritizedClient<'a> {
    store: &'a KvClient,
    priority: RequestPriority,
    /// Time after which the user whom the requests serve no longer waits.
    deadline: Option<Micros>,
}

impl PrioritizedClient<'_> {
    /// Returns the same client with a deadline, by which all its requests must be answered.
    pub(crate) fn with_deadline(self, deadline: Micros) -> Self {
        PrioritizedClient {
            deadline: Some(deadline),
            ..self
        }
    }

    /// Returns the deadline, if one is set.
    pub(crate) fn deadline(self) -> Option<Micros> {
        self.deadline
    }

    /// Returns whether two reads must be sent concurrently: by the measured latency there is no time for two sequential
    /// reads before the deadline, and the rate limiter admits two requests immediately.
    pub(crate) fn must_read_concurrently(self) -> bool {
        let now = runtime::now();
        let Some(deadline) = self.deadline else {
            return false;
        };
        let latency = self.store.timeouts.expected_latency(RequestKind::Read);
        must_read_concurrently(latency, deadline - now)
            && self
                .store
                .rate_limiter
                .borrow_mut()
                .has_room(self.priority, 2, now)
    }

    async fn send(
        self,
        kind: RequestKind,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Response, StoreError> {
        let timeout = self.store.timeouts.timeout(kind, self.priority);
        let request = Request {
            kind,
            method,
            path,
            body,
            timeout,
            is_measured: true,
        };
        self.send_request(request).await
    }

    /// Sends a request, unless by the expected latency its response would miss the deadline.
    async fn send_request(self, request: Request<'_>) -> Result<Response, StoreError> {
        if let Some(deadline) = self.deadline {
            let latency = self.store.timeouts.expected_latency(request.kind);
            if runtime::now() + latency.unwrap_or_default() >= deadline {
                return Err(StoreError::DeadlineExceeded);
            }
        }
        self.store.send(self.priority, request, self.deadline).await
    }

    /// Reads the value of a key.
    pub(crate) async fn get<T: DeserializeOwned>(
        self,
        key: &str,
    ) -> Result<VersionedValue<T>, StoreError> {
        Ok(self.read(key).await?.into_versioned())
    }

    /// Reads the value of a key, or the revision at which the key did not exist. A 404 without a revision is an error:
    /// it does not show that the key is absent.
    pub(crate) async fn read<T: DeserializeOwned>(
        self,
        key: &str,
    ) -> Result<KeyRead<T>, StoreError> {
        let path = format!("/kv/{key}");
        let r = self
            .send(RequestKind::Read, Method::Get, &path, &[])
            .await?;
        match r.status {
            200 => {
                let pair: KeyValue<T> = decode_body(&r)?;
                Ok(KeyRead::Present(pair.value, pair.mod_revision))
            }
            404 => {
                let absent: KeyNotFound = decode_body(&r)?;
                Ok(KeyRead::Absent(ModRevision(absent.revision)))
            }
            s => Err(StoreError::of_status(s)),
        }
    }

    /// Reads all pairs under a prefix.
    pub(crate) async fn list<T: DeserializeOwned>(
        self,
        prefix: &str,
    ) -> Result<Listing<T>, StoreError> {
        let mut pairs: Vec<KeyValue<T>> = Vec::new();
        let mut revision = None;
        loop {
            let after = pairs.last().map(|p| p.key.as_str());
            let page = self.read_page_with_retries(prefix, after).await?;
            let revision = *revision.get_or_insert(page.revision);
            let has_more = page.more && !page.pairs.is_empty();
            pairs.extend(page.pairs);
            if !has_more {
                return Ok(Listing { pairs, revision });
            }
        }
    }

    async fn read_page_with_retries<T: DeserializeOwned>(
        self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<KeyValuePage<T>, StoreError> {
        let mut retries = 0;
        loop {
            match self.read_page(prefix, after, PAGE_SIZE).await {
                Err(e) if retries < MAX_PAGE_RETRIES => {
                    debug!(error = %e, prefix, "failed to read page of key-value pairs, retrying");
                    retries += 1;
                    runtime::sleep(Micros::from_millis(rand::random_range(50..=150))).await;
                }
                page => return page,
            }
        }
    }

    /// Reads one page of at most `max_pairs` pairs under a prefix, starting after the key `after`.
    pub(crate) async fn read_page<T: DeserializeOwned>(
        self,
        prefix: &str,
        after: Option<&str>,
        max_pairs: u32,
    ) -> Result<KeyValuePage<T>, StoreError> {
        let after = after.map_or(String::new(), |key| format!("&since={key}"));
        let path = format!("/kv?under={prefix}{after}&most={max_pairs}");
        let timeout = self
            .store
            .timeouts
            .timeout(RequestKind::Read, self.priority);
        let request = Request {
            kind: RequestKind::Read,
            method: Method::Get,
            path: &path,
            body: &[],
            timeout: timeout + PAGE_TRANSFER_TIME,
            is_measured: false,
        };
        let r = self.send_request(request).await?;
        if r.status != 200 {
            return Err(StoreError::of_status(r.status));
        }
        decode_body(&r)
    }

    /// Executes a compare-and-swap transaction.
    pub(crate) async fn txn<V: Serialize>(
        self,
        compares: Vec<Compare>,
        mutations: Vec<Mutation<V>>,
    ) -> Result<TransactionOutcome, StoreError> {
        let body = encode(&Transaction {
            compares,
            mutations,
        });
        let r = self
            .send(RequestKind::Write, Method::Post, "/multi", &body)
            .await?;
        match r.status {
            200 => Ok(TransactionOutcome::Applied(ModRevision(
                decode_body::<TransactionResponse>(&r)?.revision,
            ))),
            409 => Ok(TransactionOutcome::Failed(
                decode_body::<CompareFailed>(&r)?.failed,
            )),
            s => Err(StoreError::of_status(s)),
        }
    }

    /// Creates a lease and returns its ID.
    pub(crate) async fn grant(self, ttl: Micros) -> Result<u64, StoreError> {
        let body = encode(&LeaseGrantRequest {
            ttl_ms: ttl.as_millis(),
        });
        let r = self
            .send(RequestKind::Lease, Method::Post, "/holds", &body)
            .await?;
        match r.status {
            200 | 201 => Ok(decode_body::<LeaseGrantResponse>(&r)?.lease),
            s => Err(StoreError::of_status(s)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Gone`] if the lease has expired or was released.
    pub(crate) async fn renew(self, lease: u64) -> Result<(), StoreError> {
        let timeout = self
            .store
            .timeouts
            .timeout(RequestKind::Lease, self.priority);
        self.renew_within(lease, timeout).await
    }

    /// Renews a lease, with the caller's timeout.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Gone`] if the lease has expired or was released.
    pub(crate) async fn renew_within(self, lease: u64, timeout: Micros) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}/renew");
        let request = Request {
            kind: RequestKind::Lease,
            method: Method::Post,
            path: &path,
            body: &[],
            timeout,
            is_measured: true,
        };
        let r = self.send_request(request).await?;
        match r.status {
            200..=299 => Ok(()),
            404 => Err(StoreError::Gone),
            s => Err(StoreError::of_status(s)),
        }
    }

    /// Releases a lease. `Ok` means that the lease no longer exists.
    pub(crate) async fn release(self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}");
        let r = self
            .send(RequestKind::Lease, Method::Delete, &path, &[])
            .await?;
        match r.status {
            200..=299 | 404 => Ok(()),
            s => Err(StoreError::of_status(s)),
        }
    }

    /// Waits for changes under a prefix after the revision `since`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Gone`] if the store no longer has all changes since then.
    pub(crate) async fn watch<T: DeserializeOwned>(
        self,
        prefix: &str,
        since: u64,
        wait: Micros,
    ) -> Result<WatchResponse<T>, StoreError> {
        let path = format!(
            "/changes?under={prefix}&since={since}&wait_ms={}",
            wait.as_millis()
        );
        let timeout = self
            .store
            .timeouts
            .timeout(RequestKind::Watch, self.priority);
        let request = Request {
            kind: RequestKind::Watch,
            method: Method::Get,
            path: &path,
            body: &[],
            timeout: wait + timeout,
            is_measured: false,
        };
        let sent_at = runtime::now();
        let r = self.send_request(request).await?;
        let elapsed = runtime::now() - sent_at;
        match r.status {
            200 => {
                let changes: WatchResponse<T> = decode_body(&r)?;
                if changes.events.is_empty() && elapsed >= wait {
                    self.store
                        .timeouts
                        .record_response(RequestKind::Watch, elapsed - wait);
                } else {
                    // An unknown part of the time was the store's wait for a change.
                    self.store.timeouts.record_watch_response(elapsed);
                }
                Ok(changes)
            }
            410 => Err(StoreError::Gone),
            s => Err(StoreError::of_status(s)),
        }
    }
}

fn decode_body<T: DeserializeOwned>(r: &Response) -> Result<T, StoreError> {
    decode(&r.body).map_err(|e| {
        warn!(error = %e, "cannot decode response of the key-value store");
        StoreError::Malformed(e.to_string())
    })
}
