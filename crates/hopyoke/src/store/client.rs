//! Client of the key-value store: typed requests, each of a priority, within this node's share of the store's rate.

use super::error::StoreError;
use super::timeouts::RequestTimeouts;
use hopyoke_admission::{RateLimiter, RequestPriority, SharedLimit};
use hopyoke_consistency::deadline::must_read_side_by_side;
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

/// How a transaction ended.
#[derive(Debug)]
pub(crate) enum TransactionOutcome {
    /// All its mutations were applied, at this revision.
    Applied(ModRevision),
    /// Nothing was applied: these keys were not at the compared revisions.
    Failed(Vec<String>),
}

/// A value with the revision of its last change; `None` if the key is absent.
pub(crate) type VersionedValue<T> = Option<(Stored<T>, ModRevision)>;

/// All pairs under a prefix.
pub(crate) struct Listing<T> {
    /// In the order of their keys.
    pub(crate) pairs: Vec<KeyValue<T>>,
    /// The store's revision as of the first page: a watch from there on misses nothing.
    pub(crate) revision: u64,
}

/// A key as read.
pub(crate) enum KeyRead<T> {
    /// Its value, with the revision of its last change.
    Present(Stored<T>, ModRevision),
    /// There was no such key as of this revision of the store.
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

/// The body of a 404 to a read of a key.
#[derive(Deserialize)]
struct KeyNotFound {
    #[serde(rename = "tide")]
    revision: u64,
}

/// Client of the key-value store.
pub(crate) struct KvClient {
    client: Client,
    /// Critical requests have connections of their own: those of the others may all be in use.
    critical_client: Client,
    rate_limiter: RefCell<RateLimiter>,
    /// How long answers are waited for.
    pub(crate) timeouts: RequestTimeouts,
    last_response_at: Cell<Micros>,
    last_failure_at: Cell<Micros>,
}

/// Pairs of a page: some hundred kilobytes of records at the most, which a node that is behind can still decode in time.
const PAGE_SIZE: u32 = 400;
/// How much longer than for a key a page is waited for: it has to be transferred.
const PAGE_TRANSFER_TIME: Micros = Micros::from_millis(3_500);
/// A page that was not received is requested again this often, instead of all pages.
const MAX_PAGE_RETRIES: u32 = 8;
/// How long a request may wait for this node's share of the store's rate.
const MAX_RATE_LIMIT_WAIT: Micros = Micros::from_millis(900);

impl KvClient {
    /// `requests`: what the store accepts per second from all nodes, and how many nodes there are. `leader_ttl`: the
    /// time to live of the leader lease, which bounds how long answers are waited for.
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

    /// When the store last answered other than by a refusal.
    pub(crate) fn last_response_at(&self) -> Micros {
        self.last_response_at.get()
    }

    /// The store answers, as far as is known: the last request that ended was not a failure.
    pub(crate) fn is_responding(&self) -> bool {
        self.last_response_at.get() > self.last_failure_at.get()
    }

    /// A request that was sent at `sent_at`, and is still waited for, has had no answer for its timeout: until one comes the
    /// store counts as silent.
    pub(crate) fn record_overdue_response(
        &self,
        kind: RequestKind,
        priority: RequestPriority,
        sent_at: Micros,
    ) {
        self.last_failure_at.set(runtime::now());
        self.timeouts.record_timeout(kind, priority, sent_at);
    }

    /// Requests of a priority that were sent and held back, for operators.
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

    /// For leases, elections and failover.
    pub(crate) fn critical(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Critical)
    }

    /// For the leader's records and its watch of them.
    pub(crate) fn records(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Records)
    }

    /// For cancellations.
    pub(crate) fn cancellations(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Cancels)
    }

    /// For status requests.
    pub(crate) fn polls(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Polls)
    }

    /// For submissions. Never waits for the rate limit: such a user is refused at once.
    pub(crate) fn submissions(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Accepts)
    }

    /// For whatever can wait.
    pub(crate) fn background(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Background)
    }

    /// Waits until this node's share of the rate has room for a request.
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

    /// Sends a request and waits for its answer as long as `limit` says. A watch's latency is left to the caller, who
    /// knows whether the store has waited.
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
        // A request that was given up for its user's deadline says nothing about the store.
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

/// A request to the store.
struct Request<'a> {
    kind: RequestKind,
    method: Method,
    path: &'a str,
    body: &'a [u8],
    /// How long its answer is waited for, unless its user's deadline comes first.
    timeout: Micros,
    /// All the time that it takes is the store's latency: not if the store is asked to wait, nor for many pairs.
    is_measured: bool,
}

/// The client for requests of one priority.
///
/// # Errors
///
/// Its requests fail with [`StoreError::RateLimited`], [`StoreError::DeadlineExceeded`] or [`StoreError::Refused`] if they
/// were certainly not executed, with [`StoreError::Unknown`] if no answer came in time, and with
/// [`StoreError::Malformed`] if the answer can't be decoded.
#[derive(Clone, Copy)]
pub(crate) struct PrioritizedClient<'a> {
    store: &'a KvClient,
    priority: RequestPriority,
    /// When the user whom the requests serve no longer waits.
    deadline: Option<Micros>,
}

impl PrioritizedClient<'_> {
    /// The same for a user's request, all of whose requests to the store must be answered by `deadline`.
    pub(crate) fn with_deadline(self, deadline: Micros) -> Self {
        PrioritizedClient {
            deadline: Some(deadline),
            ..self
        }
    }

    /// When this client's user no longer waits.
    pub(crate) fn deadline(self) -> Option<Micros> {
        self.deadline
    }

    /// The measured latency leaves no time for two reads in turn before the deadline, and this node's share of the
    /// rate has room for two at once.
    pub(crate) fn must_read_concurrently(self) -> bool {
        let now = runtime::now();
        let Some(deadline) = self.deadline else {
            return false;
        };
        let latency = self.store.timeouts.expected_latency(RequestKind::Read);
        must_read_side_by_side(latency, deadline - now)
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

    /// Sends a request, unless by the measured latency its answer would come too late for its user.
    async fn send_request(self, request: Request<'_>) -> Result<Response, StoreError> {
        if let Some(deadline) = self.deadline {
            let latency = self.store.timeouts.expected_latency(request.kind);
            if runtime::now() + latency.unwrap_or_default() >= deadline {
                return Err(StoreError::DeadlineExceeded);
            }
        }
        self.store.send(self.priority, request, self.deadline).await
    }

    /// Reads the value under a key.
    pub(crate) async fn get<T: DeserializeOwned>(
        self,
        key: &str,
    ) -> Result<VersionedValue<T>, StoreError> {
        Ok(self.read(key).await?.into_versioned())
    }

    /// Reads the value under a key, or the revision as of which there is none. An absence without a revision is
    /// malformed: it proves nothing.
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
            s => Err(StoreError::Refused(s)),
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
                    debug!(error = %e, prefix, "page not read");
                    retries += 1;
                    runtime::sleep(Micros::from_millis(rand::random_range(50..=150))).await;
                }
                page => return page,
            }
        }
    }

    /// Reads one page of at most `max_pairs` pairs under a prefix, from after a key on.
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
            return Err(StoreError::Refused(r.status));
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
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Grants a lease; its id.
    pub(crate) async fn grant(self, ttl: Micros) -> Result<u64, StoreError> {
        let body = encode(&LeaseGrantRequest {
            ttl_ms: ttl.as_millis(),
        });
        let r = self
            .send(RequestKind::Lease, Method::Post, "/holds", &body)
            .await?;
        match r.status {
            200 | 201 => Ok(decode_body::<LeaseGrantResponse>(&r)?.lease),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::Gone`] if it has expired or was released.
    pub(crate) async fn renew(self, lease: u64) -> Result<(), StoreError> {
        let timeout = self
            .store
            .timeouts
            .timeout(RequestKind::Lease, self.priority);
        self.renew_within(lease, timeout).await
    }

    /// Renews a lease; the answer is waited for as long as the caller says.
    ///
    /// # Errors
    ///
    /// [`StoreError::Gone`] if it has expired or was released.
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
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Releases a lease; `Ok` means that it is certainly gone.
    pub(crate) async fn release(self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/holds/{lease}");
        let r = self
            .send(RequestKind::Lease, Method::Delete, &path, &[])
            .await?;
        match r.status {
            200..=299 | 404 => Ok(()),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Waits for changes under a prefix after the revision `since`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Gone`] if the store no longer has the changes since then.
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
                    // The store has waited for the change, nobody knows how long.
                    self.store.timeouts.record_watch_response(elapsed);
                }
                Ok(changes)
            }
            410 => Err(StoreError::Gone),
            s => Err(StoreError::Refused(s)),
        }
    }
}

fn decode_body<T: DeserializeOwned>(r: &Response) -> Result<T, StoreError> {
    decode(&r.body).map_err(|e| {
        warn!(error = %e, "answer of the key-value store unreadable");
        StoreError::Malformed(e.to_string())
    })
}
