//! Client of the key-value store: typed requests, each of a priority, within this node's share of the store's rate.

use super::error::StateError;
use hopyoke_admission::{RateLimiter, RequestPriority, SharedLimit};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, ClientError, Method, Response};
use hopyoke_protocol::state::{
    Compare, CompareFailed, KeyValue, KeyValuePage, LeaseGrantRequest, LeaseGrantResponse,
    Mutation, Stored, Transaction, TransactionResponse, WatchResponse,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::{Micros, ModRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;
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
pub(crate) type Found<T> = Option<(Stored<T>, ModRevision)>;

/// All pairs under a prefix.
pub(crate) struct Listing<T> {
    /// In the order of their keys.
    pub(crate) pairs: Vec<KeyValue<T>>,
    /// The store's revision as of the first page: a watch from there on misses nothing.
    pub(crate) revision: u64,
}

/// Client of the key-value store.
pub(crate) struct KvClient {
    client: Client,
    /// Critical requests have connections of their own: those of the others may all be in use.
    critical_client: Client,
    rate_limiter: RefCell<RateLimiter>,
    last_answer_at: Cell<Micros>,
    last_failure_at: Cell<Micros>,
}

const READ_TIMEOUT: Micros = Micros::from_millis(1_500);
const WRITE_TIMEOUT: Micros = Micros::from_millis(2_500);
/// Pairs of a page: some hundred kilobytes of records at the most, which a node that is behind can still decode in time.
const PAGE_SIZE: u32 = 400;
const PAGE_TIMEOUT: Micros = Micros::from_secs(5);
/// A page that was not received is requested again this often, instead of all pages.
const MAX_PAGE_RETRIES: u32 = 8;
/// How long a request may wait for this node's share of the store's rate.
const MAX_RATE_WAIT: Micros = Micros::from_millis(900);
/// How much longer than the store may wait for changes the client waits for the answer.
const WATCH_GRACE: Micros = Micros::from_millis(1_500);

impl KvClient {
    /// `requests`: what the store accepts per second from all nodes, and how many nodes there are.
    pub(crate) fn new(addr: SocketAddr, requests: SharedLimit) -> KvClient {
        KvClient {
            client: Client::new(addr),
            critical_client: Client::new(addr),
            rate_limiter: RefCell::new(RateLimiter::new(requests, runtime::now())),
            last_answer_at: Cell::new(Micros::ZERO),
            last_failure_at: Cell::new(Micros::ZERO),
        }
    }

    /// When the store last answered other than by a refusal.
    pub(crate) fn last_answer_at(&self) -> Micros {
        self.last_answer_at.get()
    }

    /// The store answers, as far as is known: the last request that ended was not a failure.
    pub(crate) fn answers(&self) -> bool {
        self.last_answer_at.get() > self.last_failure_at.get()
    }

    /// Requests of a priority that were sent and held back, for operators.
    pub(crate) fn counts(&self, priority: RequestPriority) -> (u64, u64) {
        self.rate_limiter.borrow().counts(priority)
    }

    fn with_priority(&self, priority: RequestPriority) -> PrioritizedClient<'_> {
        PrioritizedClient {
            store: self,
            priority,
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
    pub(crate) fn cancelling(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Cancels)
    }

    /// For status requests.
    pub(crate) fn polling(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Polls)
    }

    /// For submissions. Never waits for the rate limit: such a user is refused at once.
    pub(crate) fn accepting(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Accepts)
    }

    /// For whatever can wait.
    pub(crate) fn background(&self) -> PrioritizedClient<'_> {
        self.with_priority(RequestPriority::Background)
    }

    /// Waits until this node's share of the rate has room for a request.
    async fn wait_for_rate(&self, priority: RequestPriority) -> Result<(), StateError> {
        let deadline = runtime::now() + MAX_RATE_WAIT;
        loop {
            let now = runtime::now();
            let wait = match self.rate_limiter.borrow_mut().take(priority, 1, now) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if priority == RequestPriority::Accepts || now + wait > deadline {
                return Err(StateError::RateLimited);
            }
            runtime::sleep(wait + Micros::from_millis(rand::random_range(1..=10))).await;
        }
    }

    async fn send(
        &self,
        priority: RequestPriority,
        request: Request<'_>,
    ) -> Result<Response, StateError> {
        self.wait_for_rate(priority).await?;
        let client = if priority == RequestPriority::Critical {
            &self.critical_client
        } else {
            &self.client
        };
        let result = client
            .send(request.method, request.path, request.body, request.timeout)
            .await;
        if !matches!(&result, Ok(r) if r.status != 503) {
            self.last_failure_at.set(runtime::now());
        }
        match result {
            Ok(r) if matches!(r.status, 429 | 503) => Err(StateError::Refused(r.status)),
            Ok(r) => {
                self.last_answer_at.set(runtime::now());
                Ok(r)
            }
            Err(ClientError::NotSent(_)) => Err(StateError::Refused(0)),
            Err(ClientError::Unknown) => Err(StateError::Unknown),
        }
    }
}

/// A request to the store.
struct Request<'a> {
    method: Method,
    path: &'a str,
    body: &'a [u8],
    timeout: Micros,
}

/// The client for requests of one priority.
///
/// # Errors
///
/// Its requests fail with [`StateError::RateLimited`] or [`StateError::Refused`] if they were certainly not
/// executed, with [`StateError::Unknown`] if no answer came in time, and with [`StateError::Malformed`] if the answer
/// can't be decoded.
#[derive(Clone, Copy)]
pub(crate) struct PrioritizedClient<'a> {
    store: &'a KvClient,
    priority: RequestPriority,
}

impl PrioritizedClient<'_> {
    async fn send(
        self,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Micros,
    ) -> Result<Response, StateError> {
        let request = Request {
            method,
            path,
            body,
            timeout,
        };
        self.store.send(self.priority, request).await
    }

    /// Reads the value under a key.
    pub(crate) async fn get<T: DeserializeOwned>(self, key: &str) -> Result<Found<T>, StateError> {
        let r = self
            .send(Method::Get, &format!("/kv/{key}"), &[], READ_TIMEOUT)
            .await?;
        match r.status {
            200 => {
                let pair: KeyValue<T> = decode_body(&r)?;
                Ok(Some((pair.value, pair.mod_revision)))
            }
            404 => Ok(None),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Reads all pairs under a prefix.
    pub(crate) async fn list<T: DeserializeOwned>(
        self,
        prefix: &str,
    ) -> Result<Listing<T>, StateError> {
        let mut pairs: Vec<KeyValue<T>> = Vec::new();
        let mut revision = None;
        loop {
            let after = pairs.last().map(|p| p.key.as_str());
            let page = self.page_with_retries(prefix, after).await?;
            let revision = *revision.get_or_insert(page.revision);
            let has_more = page.more && !page.pairs.is_empty();
            pairs.extend(page.pairs);
            if !has_more {
                return Ok(Listing { pairs, revision });
            }
        }
    }

    async fn page_with_retries<T: DeserializeOwned>(
        self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<KeyValuePage<T>, StateError> {
        let mut retries = 0;
        loop {
            match self.page(prefix, after, PAGE_SIZE).await {
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
    pub(crate) async fn page<T: DeserializeOwned>(
        self,
        prefix: &str,
        after: Option<&str>,
        max_pairs: u32,
    ) -> Result<KeyValuePage<T>, StateError> {
        let after = after.map_or(String::new(), |key| format!("&since={key}"));
        let path = format!("/kv?under={prefix}{after}&most={max_pairs}");
        let r = self.send(Method::Get, &path, &[], PAGE_TIMEOUT).await?;
        if r.status != 200 {
            return Err(StateError::Refused(r.status));
        }
        decode_body(&r)
    }

    /// Executes a compare-and-swap transaction.
    pub(crate) async fn txn<V: Serialize>(
        self,
        compares: Vec<Compare>,
        mutations: Vec<Mutation<V>>,
    ) -> Result<TransactionOutcome, StateError> {
        let body = encode(&Transaction {
            compares,
            mutations,
        });
        let r = self
            .send(Method::Post, "/multi", &body, WRITE_TIMEOUT)
            .await?;
        match r.status {
            200 => Ok(TransactionOutcome::Applied(ModRevision(
                decode_body::<TransactionResponse>(&r)?.revision,
            ))),
            409 => Ok(TransactionOutcome::Failed(
                decode_body::<CompareFailed>(&r)?.failed,
            )),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Grants a lease; its id.
    pub(crate) async fn grant(self, ttl: Micros) -> Result<u64, StateError> {
        let body = encode(&LeaseGrantRequest {
            ttl_ms: ttl.as_millis(),
        });
        let r = self
            .send(Method::Post, "/holds", &body, READ_TIMEOUT)
            .await?;
        match r.status {
            200 | 201 => Ok(decode_body::<LeaseGrantResponse>(&r)?.lease),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StateError::Gone`] if it has expired or was released.
    pub(crate) async fn renew(self, lease: u64, timeout: Micros) -> Result<(), StateError> {
        let r = self
            .send(Method::Post, &format!("/holds/{lease}/renew"), &[], timeout)
            .await?;
        match r.status {
            200..=299 => Ok(()),
            404 => Err(StateError::Gone),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Releases a lease; `Ok` means that it is certainly gone.
    pub(crate) async fn release(self, lease: u64) -> Result<(), StateError> {
        let r = self
            .send(
                Method::Delete,
                &format!("/holds/{lease}"),
                &[],
                READ_TIMEOUT,
            )
            .await?;
        match r.status {
            200..=299 | 404 => Ok(()),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Waits for changes under a prefix after the revision `since`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`StateError::Gone`] if the store no longer has the changes since then.
    pub(crate) async fn watch<T: DeserializeOwned>(
        self,
        prefix: &str,
        since: u64,
        wait: Micros,
    ) -> Result<WatchResponse<T>, StateError> {
        let path = format!(
            "/changes?under={prefix}&since={since}&wait_ms={}",
            wait.as_millis()
        );
        let r = self
            .send(Method::Get, &path, &[], wait + WATCH_GRACE)
            .await?;
        match r.status {
            200 => decode_body(&r),
            410 => Err(StateError::Gone),
            s => Err(StateError::Refused(s)),
        }
    }
}

fn decode_body<T: DeserializeOwned>(r: &Response) -> Result<T, StateError> {
    decode(&r.body).map_err(|e| {
        warn!(error = %e, "answer of the key-value store unreadable");
        StateError::Malformed(e.to_string())
    })
}
