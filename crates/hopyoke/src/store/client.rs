//! The state service: typed requests, and the keys under which records live.
//!
//! | key | what |
//! | --- | --- |
//! | `leader` | who leads, on the leader's lease |
//! | `block/ZONE` | who holds a zone's machines, on the holder's lease |
//! | `job/ID` | an unfinished job |
//! | `end/ID` | a finished job, for good |
//! | `fleet/ID` | a machine that tasks may be on |
//! | `learn/N` | learned run times; nothing depends on them |
//! | `staffed` | the operators' word on staffed hours |
//! | `flow/head/RUN` | a run of a workflow that is not over |
//! | `flow/hold/RUN` | who carries it, on the carrier's lease |
//! | `flowend/RUN` | a run that is over, for good |
//! | `flowplan/RUN/N` | a page of its plan, written once |
//! | `flowpage/RUN/N` | a page of its steps' progress |

use hopyoke_admission::{RateLimiter, RequestPriority, SharedLimit};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, ClientError, Method, Response};
use hopyoke_protocol::state::{
    Compare, CompareFailed, KeyValue, KeyValuePage, LeaseGrantRequest, LeaseGrantResponse,
    Mutation, Stored, Transaction, TransactionResponse, WatchResponse,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_run_times::PageKey;
use hopyoke_types::Micros;
use hopyoke_types::{JobId, ModRevision};
use hopyoke_workflow::RunId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tracing::{debug, warn};

pub const LEADER: &str = "leader";
pub const JOBS: &str = "job/";
pub const FLEET: &str = "fleet/";
pub const LEARNED: &str = "learn/";

/// The operators' word on staffed hours.
pub const SWITCH: &str = "staffed";
pub const FLOWS: &str = "flow/";
pub const FLOW_HEADS: &str = "flow/head/";
pub const FLOW_HOLDS: &str = "flow/hold/";
pub const FLOW_ENDS: &str = "flowend/";

pub fn flow_key(run: RunId) -> String {
    format!("{FLOW_HEADS}{run}")
}

pub fn flow_hold_key(run: RunId) -> String {
    format!("{FLOW_HOLDS}{run}")
}

pub fn flow_end_key(run: RunId) -> String {
    format!("{FLOW_ENDS}{run}")
}

/// Under which a run's plan is; its pages follow in the order of their keys.
pub fn flow_plan_prefix(run: RunId) -> String {
    format!("flowplan/{run}/")
}

pub fn flow_plan_key(run: RunId, page: u32) -> String {
    format!("flowplan/{run}/{page:05}")
}

pub fn flow_page_prefix(run: RunId) -> String {
    format!("flowpage/{run}/")
}

pub fn flow_page_key(run: RunId, page: u32) -> String {
    format!("flowpage/{run}/{page:03}")
}

pub fn job_key(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

pub fn end_key(id: &JobId) -> String {
    format!("end/{id}")
}

pub fn fleet_key(page: &str) -> String {
    format!("{FLEET}{page}")
}

pub fn learned_key(page: PageKey) -> String {
    format!("{LEARNED}{page}")
}

pub fn block_key(zone: &str) -> String {
    format!("block/{zone}")
}

/// Why a request to the state service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// Certainly not executed.
    #[error("refused ({0})")]
    Refused(u16),
    /// Not sent: this node's part of what the service takes is used up by what matters as much or more.
    #[error("no room in this node's part")]
    InsufficientResources,
    /// It may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
    /// The lease or the watched revision is no more.
    #[error("gone")]
    Gone,
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

impl StateError {
    /// The request was certainly not executed, and never will be.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self,
            StateError::Refused(_) | StateError::InsufficientResources
        )
    }
}

/// How a transaction ended.
#[derive(Debug)]
pub enum TransactionOutcome {
    Applied(ModRevision),
    /// These keys did not have the given marks.
    Failed(Vec<String>),
}

/// A value with the mark of its last change.
pub type Found<T> = Option<(Stored<T>, ModRevision)>;

pub struct KvClient {
    client: Client,
    /// What is vital has connections of its own: those of the others may all be in use.
    vital_client: Client,
    pace: RefCell<RateLimiter>,
    last_answer: Cell<Micros>,
    last_failure: Cell<Micros>,
}

const READ_LIMIT: Micros = Micros::from_millis(1_500);
const WRITE_LIMIT: Micros = Micros::from_millis(2_500);
/// Some hundred kilobytes of records at the most: what a node that is behind can still take in time.
const PAGE: u32 = 400;
const PAGE_LIMIT: Micros = Micros::from_secs(5);
/// A page that did not come is asked for again this often, instead of all pages.
const PAGE_TRIES: u32 = 8;
/// How long a request may wait for room in this node's part.
const PATIENCE: Micros = Micros::from_millis(900);

impl KvClient {
    /// `requests`: what the service takes a second from all nodes, and how many nodes there are.
    pub fn new(addr: SocketAddr, requests: SharedLimit) -> KvClient {
        KvClient {
            client: Client::new(addr),
            vital_client: Client::new(addr),
            pace: RefCell::new(RateLimiter::new(requests, runtime::now())),
            last_answer: Cell::new(Micros::ZERO),
            last_failure: Cell::new(Micros::ZERO),
        }
    }

    /// When the service last answered us properly.
    pub fn last_answer(&self) -> Micros {
        self.last_answer.get()
    }

    /// It answers, as far as we know: the last request that ended was not a failure.
    pub fn answers(&self) -> bool {
        self.last_answer.get() > self.last_failure.get()
    }

    /// Requests let through and held back, for operators.
    pub fn counts(&self, importance: RequestPriority) -> (u64, u64) {
        self.pace.borrow().counts(importance)
    }

    /// Leases, grants, and what a new leader reads.
    pub fn critical(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Critical,
        }
    }

    /// The leader's records, and its news of them.
    pub fn records(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Records,
        }
    }

    /// Cancellations.
    pub fn cancelling(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Cancels,
        }
    }

    /// Polls.
    pub fn polling(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Polls,
        }
    }

    /// New work. Never waits for room: a user who finds none is told so at once.
    pub fn accepting(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Accepts,
        }
    }

    /// What can wait.
    pub fn background(&self) -> PrioritizedClient<'_> {
        PrioritizedClient {
            state: self,
            importance: RequestPriority::Background,
        }
    }

    /// Waits for room in this node's part.
    async fn room(&self, importance: RequestPriority) -> Result<(), StateError> {
        let until = runtime::now() + PATIENCE;
        loop {
            let now = runtime::now();
            let wait = match self.pace.borrow_mut().take(importance, 1, now) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if importance == RequestPriority::Accepts || now + wait > until {
                return Err(StateError::InsufficientResources);
            }
            runtime::sleep(wait + Micros::from_millis(rand::random_range(1..=10))).await;
        }
    }

    async fn send(
        &self,
        importance: RequestPriority,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, StateError> {
        self.room(importance).await?;
        let client = if importance == RequestPriority::Critical {
            &self.vital_client
        } else {
            &self.client
        };
        let result = client.send(method, path, body, limit).await;
        if !matches!(&result, Ok(r) if r.status != 503) {
            self.last_failure.set(runtime::now());
        }
        match result {
            Ok(r) if matches!(r.status, 429 | 503) => Err(StateError::Refused(r.status)),
            Ok(r) => {
                self.last_answer.set(runtime::now());
                Ok(r)
            }
            Err(ClientError::NotSent(_)) => Err(StateError::Refused(0)),
            Err(ClientError::Unknown) => Err(StateError::Unknown),
        }
    }
}

/// Requests of one importance.
#[derive(Clone, Copy)]
pub struct PrioritizedClient<'a> {
    state: &'a KvClient,
    importance: RequestPriority,
}

impl PrioritizedClient<'_> {
    async fn send(
        self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, StateError> {
        self.state
            .send(self.importance, method, path, body, limit)
            .await
    }

    pub async fn get<T: DeserializeOwned>(self, key: &str) -> Result<Found<T>, StateError> {
        let r = self
            .send(Method::Get, &format!("/kv/{key}"), &[], READ_LIMIT)
            .await?;
        match r.status {
            200 => {
                let pair: KeyValue<T> = read(&r)?;
                Ok(Some((pair.value, pair.mod_revision)))
            }
            404 => Ok(None),
            s => Err(StateError::Refused(s)),
        }
    }

    /// All pairs under a prefix, and the revision as of the first page: watching from there on
    /// misses nothing.
    pub async fn list<T: DeserializeOwned>(
        self,
        prefix: &str,
    ) -> Result<(Vec<KeyValue<T>>, u64), StateError> {
        let mut all: Vec<KeyValue<T>> = Vec::new();
        let mut revision = None;
        loop {
            let mut tries = 0;
            let page: KeyValuePage<T> = loop {
                match self
                    .page(prefix, all.last().map(|p| p.key.as_str()), PAGE)
                    .await
                {
                    Err(e) if tries < PAGE_TRIES => {
                        debug!(error = %e, under = prefix, "page not read");
                        tries += 1;
                        runtime::sleep(Micros::from_millis(rand::random_range(50..=150))).await;
                    }
                    page => break page?,
                }
            };
            revision.get_or_insert(page.revision);
            let more = page.more && !page.pairs.is_empty();
            all.extend(page.pairs);
            if !more {
                return Ok((all, revision.unwrap_or(0)));
            }
        }
    }

    /// One page of the pairs under a prefix, after a key.
    pub async fn page<T: DeserializeOwned>(
        self,
        prefix: &str,
        since: Option<&str>,
        most: u32,
    ) -> Result<KeyValuePage<T>, StateError> {
        let since = since.map_or(String::new(), |s| format!("&since={s}"));
        let path = format!("/kv?under={prefix}{since}&most={most}");
        let r = self.send(Method::Get, &path, &[], PAGE_LIMIT).await?;
        if r.status != 200 {
            return Err(StateError::Refused(r.status));
        }
        read(&r)
    }

    pub async fn txn<V: Serialize>(
        self,
        compares: Vec<Compare>,
        mutations: Vec<Mutation<V>>,
    ) -> Result<TransactionOutcome, StateError> {
        let body = encode(&Transaction {
            compares,
            mutations,
        });
        let r = self
            .send(Method::Post, "/multi", &body, WRITE_LIMIT)
            .await?;
        match r.status {
            200 => Ok(TransactionOutcome::Applied(ModRevision(
                read::<TransactionResponse>(&r)?.revision,
            ))),
            409 => Ok(TransactionOutcome::Failed(
                read::<CompareFailed>(&r)?.failed,
            )),
            s => Err(StateError::Refused(s)),
        }
    }

    pub async fn grant(self, ttl: Micros) -> Result<u64, StateError> {
        let body = encode(&LeaseGrantRequest {
            ttl_ms: ttl.as_millis(),
        });
        let r = self.send(Method::Post, "/holds", &body, READ_LIMIT).await?;
        match r.status {
            200 | 201 => Ok(read::<LeaseGrantResponse>(&r)?.lease),
            s => Err(StateError::Refused(s)),
        }
    }

    pub async fn renew(self, lease: u64, limit: Micros) -> Result<(), StateError> {
        let r = self
            .send(Method::Post, &format!("/holds/{lease}/renew"), &[], limit)
            .await?;
        match r.status {
            200..=299 => Ok(()),
            404 => Err(StateError::Gone),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Ends a lease; `Ok` means that it is gone for certain.
    pub async fn release(self, lease: u64) -> Result<(), StateError> {
        let r = self
            .send(Method::Delete, &format!("/holds/{lease}"), &[], READ_LIMIT)
            .await?;
        match r.status {
            200..=299 | 404 => Ok(()),
            s => Err(StateError::Refused(s)),
        }
    }

    /// Waits for changes under a prefix after a revision, at most for `wait`.
    pub async fn watch<T: DeserializeOwned>(
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
            .send(Method::Get, &path, &[], wait + Micros::from_millis(1_500))
            .await?;
        match r.status {
            200 => read(&r),
            410 => Err(StateError::Gone),
            s => Err(StateError::Refused(s)),
        }
    }
}

fn read<T: DeserializeOwned>(r: &Response) -> Result<T, StateError> {
    decode(&r.body).map_err(|e| {
        warn!(error = %e, "unreadable answer of the state service");
        StateError::Malformed(e.to_string())
    })
}
