//! Emulated key-value store with revisions, transactions, leases and watches.

use crate::server::{Query, serve, target};
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_protocol::decode;
use hopyoke_types::Micros;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

struct Entry {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

/// An entry of the change log.
struct Change {
    revision: u64,
    key: String,
    is_deletion: bool,
}

struct Lease {
    expires_at: Micros,
    ttl: Micros,
}

#[derive(Default)]
struct Inner {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    log: VecDeque<Change>,
    /// Maximum length of the log; [`LOG_LENGTH`] if `None`.
    log_length: Option<usize>,
    /// Latest revision with a change that is no longer in the log.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    watchers: Vec<Waker>,
}

/// Latency added to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InjectedLatency {
    /// Delay before the request is executed.
    pub before: Micros,
    /// Delay between execution and response.
    pub after: Micros,
}

/// Function that determines the latency of a request.
pub type LatencyRule = Box<dyn Fn(&Request) -> InjectedLatency>;

/// A key-value store on loopback.
#[derive(Default)]
pub struct KvStore {
    inner: RefCell<Inner>,
    /// While set, all requests are answered with 503.
    is_down: Cell<bool>,
    /// Latency injected into requests, if set.
    pub latency: RefCell<Option<LatencyRule>>,
    /// Maximum size of a value as JSON; [`MAX_VALUE_BYTES`] if `None`.
    max_value_bytes: Cell<Option<usize>>,
    /// Prefix of the keys whose puts are answered with 400.
    rejected_prefix: RefCell<Option<String>>,
    /// Whether the next lease ends as soon as it is granted.
    next_lease_ends: Cell<bool>,
    /// Number of transactions rejected because of a lease that had ended.
    pub lease_rejections: Cell<u64>,
    /// Number of requests received.
    pub request_count: Cell<u64>,
    /// Number of mutations received, including those of failed transactions, as the protocol counts them.
    pub mutation_count: Cell<u64>,
    /// Number of watches rejected with 410 because their start revision is compacted.
    pub refused_watches: Cell<u64>,
    /// Bytes of values written, by first segment of the key.
    pub written_bytes: RefCell<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "when", default)]
    compares: Vec<Compare>,
    #[serde(rename = "apply", default)]
    mutations: Vec<Mutation>,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    #[serde(rename = "mark")]
    mod_revision: u64,
}

#[derive(Deserialize)]
struct Mutation {
    #[serde(default)]
    write: Option<String>,
    #[serde(rename = "v", default)]
    value: Value,
    #[serde(rename = "tether", default)]
    lease: Option<u64>,
    #[serde(rename = "drop", default)]
    delete: Option<String>,
}

#[derive(Deserialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

/// Default length of the change log.
const LOG_LENGTH: usize = 10_000;
/// Maximum size of a value as JSON.
const MAX_VALUE_BYTES: usize = 8 * 1024;
const MAX_MUTATIONS: usize = 16;
const MAX_COMPARES: usize = 64;
/// Maximum number of keys per page of a list.
const MAX_LIST: usize = 1000;
const MAX_WATCH_MS: u64 = 60_000;
const LEASE_CHECK_INTERVAL: Micros = Micros::from_millis(20);

impl KvStore {
    /// Starts a store, which stops when `cancel` is cancelled, and returns it with its address.
    ///
    /// # Errors
    /// Returns an error if it cannot listen.
    pub(crate) fn start(cancel: &CancellationToken) -> io::Result<(Rc<KvStore>, SocketAddr)> {
        let store = Rc::new(KvStore::default());
        let serving = store.clone();
        let addr = serve(cancel, move |request| {
            let store = serving.clone();
            async move {
                let latency = store
                    .latency
                    .borrow()
                    .as_ref()
                    .map_or(InjectedLatency::default(), |rule| rule(&request));
                runtime::sleep(latency.before).await;
                let response = store.handle(request).await;
                runtime::sleep(latency.after).await;
                response
            }
        })?;
        let expiring = store.clone();
        runtime::spawn_until(cancel.clone(), async move {
            loop {
                runtime::sleep(LEASE_CHECK_INTERVAL).await;
                if !expiring.is_down.get() {
                    expiring.expire_leases();
                }
            }
        });
        Ok((store, addr))
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.inner.borrow().keys.get(key).map(|e| e.value.clone())
    }

    /// Limits the change log to the latest `changes` entries, so that watches are rejected sooner.
    pub fn set_log_length(&self, changes: usize) {
        self.inner.borrow_mut().log_length = Some(changes);
    }

    /// Changes the maximum size of values, in bytes of JSON.
    pub fn set_max_value_bytes(&self, bytes: usize) {
        self.max_value_bytes.set(Some(bytes));
    }

    /// Ends the next lease as soon as it is granted.
    pub fn end_next_lease(&self) {
        self.next_lease_ends.set(true);
    }

    /// Answers every transaction that writes a key with this prefix with 400, as one that is invalid.
    pub fn reject_puts(&self, prefix: &str) {
        *self.rejected_prefix.borrow_mut() = Some(prefix.to_owned());
    }

    fn is_rejected(&self, mutation: &Mutation) -> bool {
        match (&*self.rejected_prefix.borrow(), &mutation.write) {
            (Some(prefix), Some(key)) => key.starts_with(prefix),
            _ => false,
        }
    }

    /// Writes a value unconditionally, without a size limit.
    pub fn put(&self, key: &str, value: Value) {
        let mut inner = self.inner.borrow_mut();
        inner.revision += 1;
        inner.write_key(key.to_owned(), value, None);
        inner.wake_watchers();
    }

    /// Returns the keys with a prefix in ascending order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.borrow();
        inner
            .keys
            .range(prefix.to_owned()..)
            .map(|(k, _)| k.clone())
            .take_while(|k| k.starts_with(prefix))
            .collect()
    }

    /// Starts or ends an outage. All leases are renewed for their full time to live.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
        let now = runtime::now();
        for lease in self.inner.borrow_mut().leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    fn expire_leases(&self) {
        let now = runtime::now();
        let expired: Vec<u64> = self
            .inner
            .borrow()
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends the lease to which a key is attached, as if it had expired.
    pub fn expire_lease_of(&self, key: &str) {
        let lease = self.inner.borrow().keys.get(key).and_then(|e| e.lease);
        if let Some(lease) = lease {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
        let mut inner = self.inner.borrow_mut();
        inner.leases.remove(&lease);
        let keys: Vec<String> = inner
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            inner.revision += 1;
            for key in keys {
                inner.delete_key(&key);
            }
            inner.wake_watchers();
        }
    }

    async fn handle(&self, request: Request) -> Response {
        self.request_count.set(self.request_count.get() + 1);
        if self.is_down.get() {
            return Response::msgpack(503, &json!({ "error": "trouble" }));
        }
        let (path, query) = target(&request.path);
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(2, '/').collect();
        match (request.method, parts.as_slice()) {
            (Method::Get, ["kv"]) => self.list(&query),
            (Method::Get, ["kv", key]) => self.read(key),
            (Method::Post, ["multi"]) => self.transact(&request.body),
            (Method::Post, ["holds"]) => self.grant_lease(&request.body),
            (Method::Post, ["holds", rest]) => self.renew_lease(rest),
            (Method::Delete, ["holds", id]) => id.parse().map_or(Response::empty(400), |lease| {
                self.end_lease(lease);
                Response::msgpack(200, &json!({}))
            }),
            (Method::Get, ["changes"]) => self.watch(&query).await,
            _ => Response::empty(404),
        }
    }

    fn read(&self, key: &str) -> Response {
        let inner = self.inner.borrow();
        match inner.keys.get(key) {
            Some(e) => Response::msgpack(
                200,
                &json!({ "key": key, "v": e.value, "mark": e.mod_revision, "tether": e.lease }),
            ),
            None => Response::msgpack(404, &json!({ "tide": inner.revision })),
        }
    }

    fn list(&self, query: &Query) -> Response {
        let (prefix, since) = (query.text("under"), query.text("since"));
        let limit = query.number("most").unwrap_or(MAX_LIST).min(MAX_LIST);
        let inner = self.inner.borrow();
        let under = inner
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        let mut after = under.filter(|(k, _)| k.as_str() > since);
        let pairs: Vec<Value> = after
            .by_ref()
            .take(limit)
            .map(|(k, e)| json!({ "key": k, "v": e.value, "mark": e.mod_revision, "tether": e.lease }))
            .collect();
        let more = after.next().is_some();
        Response::msgpack(
            200,
            &json!({ "pairs": pairs, "more": more, "tide": inner.revision }),
        )
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Ok(transaction) = decode::<Transaction>(body) else {
            return Response::empty(400);
        };
        let mutations = transaction.mutations;
        self.mutation_count
            .set(self.mutation_count.get() + mutations.len() as u64);
        let mut inner = self.inner.borrow_mut();
        let mod_revision = |key: &String| inner.keys.get(key).map_or(0, |e| e.mod_revision);
        let failed: Vec<&String> = transaction
            .compares
            .iter()
            .filter(|c| mod_revision(&c.key) != c.mod_revision)
            .map(|c| &c.key)
            .collect();
        if !failed.is_empty() {
            return Response::msgpack(409, &json!({ "failed": failed, "tide": inner.revision }));
        }
        let lease_is_gone = |id: &u64| !inner.leases.contains_key(id);
        if mutations
            .iter()
            .any(|m| m.lease.as_ref().is_some_and(lease_is_gone))
        {
            self.lease_rejections.set(self.lease_rejections.get() + 1);
            return Response::msgpack(400, &json!({ "error": "no such lease" }));
        }
        let max_value_bytes = self.max_value_bytes.get().unwrap_or(MAX_VALUE_BYTES);
        if mutations
            .iter()
            .any(|m| json_bytes(&m.value) > max_value_bytes)
            || mutations.iter().any(|m| self.is_rejected(m))
            || mutations.len() > MAX_MUTATIONS
            || transaction.compares.len() > MAX_COMPARES
        {
            return Response::msgpack(400, &json!({ "error": "over the limits" }));
        }
        inner.revision += 1;
        for m in mutations {
            if let Some(key) = m.write {
                let first = key.split('/').next().unwrap_or_default().to_owned();
                *self.written_bytes.borrow_mut().entry(first).or_default() +=
                    json_bytes(&m.value) as u64;
                inner.write_key(key, m.value, m.lease);
            } else if let Some(key) = m.delete {
                inner.delete_key(&key);
            }
        }
        inner.wake_watchers();
        Response::msgpack(200, &json!({ "tide": inner.revision }))
    }

    fn grant_lease(&self, body: &[u8]) -> Response {
        let Ok(request) = decode::<LeaseRequest>(body) else {
            return Response::empty(400);
        };
        let ttl = Micros::from_millis(request.ttl_ms);
        let mut inner = self.inner.borrow_mut();
        inner.last_lease += 1;
        let id = inner.last_lease;
        let expires_at = runtime::now() + ttl;
        if !self.next_lease_ends.replace(false) {
            inner.leases.insert(id, Lease { expires_at, ttl });
        }
        Response::msgpack(200, &json!({ "tether": id }))
    }

    fn renew_lease(&self, rest: &str) -> Response {
        let id = rest
            .strip_suffix("/renew")
            .and_then(|id| id.parse::<u64>().ok());
        let mut inner = self.inner.borrow_mut();
        match id.and_then(|id| inner.leases.get_mut(&id)) {
            Some(lease) => {
                lease.expires_at = runtime::now() + lease.ttl;
                Response::msgpack(200, &json!({}))
            }
            None => Response::empty(404),
        }
    }

    async fn watch(&self, query: &Query<'_>) -> Response {
        let prefix = query.text("under");
        let since: u64 = query.number("since").unwrap_or(0);
        let wait_ms: u64 = query.number("wait_ms").unwrap_or(0);
        let deadline = runtime::now() + Micros::from_millis(wait_ms.min(MAX_WATCH_MS));
        loop {
            let revision = {
                let inner = self.inner.borrow();
                if since < inner.compacted_revision {
                    self.refused_watches.set(self.refused_watches.get() + 1);
                    return Response::empty(410);
                }
                let events = inner.events(prefix, since);
                if !events.is_empty() || runtime::now() >= deadline {
                    return Response::msgpack(
                        200,
                        &json!({ "tide": inner.revision, "events": events }),
                    );
                }
                inner.revision
            };
            let changed = std::future::poll_fn(|cx| {
                let mut inner = self.inner.borrow_mut();
                if inner.revision > revision {
                    return Poll::Ready(());
                }
                inner.watchers.push(cx.waker().clone());
                Poll::Pending
            });
            let _ = runtime::timeout(deadline - runtime::now(), changed).await;
        }
    }
}

fn json_bytes(value: &Value) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

impl Inner {
    /// Returns the changes under a prefix after a revision, oldest first.
    fn events(&self, prefix: &str, since: u64) -> Vec<Value> {
        // Iterates from the newest change, so that a watch visits new changes only.
        let new = self.log.iter().rev().take_while(|c| c.revision > since);
        let mut events: Vec<Value> = new
            .filter(|c| c.key.starts_with(prefix))
            .map(|c| {
                let (key, revision) = (&c.key, c.revision);
                let current = self.keys.get(key);
                match current.filter(|e| !c.is_deletion && e.mod_revision == revision) {
                    Some(e) => json!({ "write": key, "v": e.value, "mark": revision }),
                    None => json!({ "drop": key, "mark": revision }),
                }
            })
            .collect();
        events.reverse();
        // A value that has been overwritten since is reported by its latest event only.
        events.retain(|e| {
            let deleted = e["drop"].as_str().unwrap_or("");
            deleted.is_empty() || !self.keys.contains_key(deleted)
        });
        events
    }

    fn log_change(&mut self, key: &str, is_deletion: bool) {
        self.log.push_back(Change {
            revision: self.revision,
            key: key.to_owned(),
            is_deletion,
        });
        while self.log.len() > self.log_length.unwrap_or(LOG_LENGTH) {
            if let Some(oldest) = self.log.pop_front() {
                self.compacted_revision = oldest.revision;
            }
        }
    }

    /// Writes a key at the current revision.
    fn write_key(&mut self, key: String, value: Value, lease: Option<u64>) {
        self.log_change(&key, false);
        let mod_revision = self.revision;
        let entry = Entry {
            value,
            mod_revision,
            lease,
        };
        self.keys.insert(key, entry);
    }

    /// Deletes a key at the current revision.
    fn delete_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log_change(key, true);
        }
    }

    fn wake_watchers(&mut self) {
        for waker in self.watchers.drain(..) {
            waker.wake();
        }
    }
}
