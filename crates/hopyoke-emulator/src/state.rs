//! The state service.

use crate::{param, serve, target};
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

#[derive(Default)]
struct Inner {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// Revision, key, and whether it was dropped; the last 10,000, or as many as it is told to keep.
    log: VecDeque<(u64, String, bool)>,
    keeps: Option<usize>,
    /// The latest revision of which a change is forgotten.
    forgotten: u64,
    /// When each lease ends, and its length.
    leases: BTreeMap<u64, (Micros, Micros)>,
    next_lease: u64,
    waiting: Vec<Waker>,
}

/// How long a request waits before it is carried out, and then its answer.
pub type Lag = Box<dyn Fn(&Request) -> (Micros, Micros)>;

/// A state service on loopback.
#[derive(Default)]
pub struct State {
    inner: RefCell<Inner>,
    /// It answers 503.
    pub down: Cell<bool>,
    /// Slows requests down, if set.
    pub lag: RefCell<Option<Lag>>,
    /// Requests and changes so far, failed transactions counted as the protocol has it.
    pub requests: Cell<u64>,
    pub changes: Cell<u64>,
    /// Watches that were refused because the changes since are forgotten.
    pub too_old: Cell<u64>,
    /// Bytes of values written under each first part of a key.
    pub written: RefCell<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(rename = "when", default)]
    conditions: Vec<Compare>,
    #[serde(rename = "apply", default)]
    changes: Vec<Mutation>,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    mod_revision: u64,
}

#[derive(Deserialize)]
struct Mutation {
    #[serde(default)]
    write: Option<String>,
    #[serde(default)]
    v: Value,
    #[serde(default)]
    tether: Option<u64>,
    #[serde(default)]
    drop: Option<String>,
}

#[derive(Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

const KEPT: usize = 10_000;
const VALUE: usize = 8 * 1024;

impl State {
    /// Starts it.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(cancel: &CancellationToken) -> io::Result<(Rc<State>, SocketAddr)> {
        let state = Rc::new(State::default());
        let s = state.clone();
        let addr = serve(cancel, move |request| {
            let s = s.clone();
            async move {
                let lag = s
                    .lag
                    .borrow()
                    .as_ref()
                    .map_or((Micros::ZERO, Micros::ZERO), |lag| lag(&request));
                runtime::sleep(lag.0).await;
                let answer = s.answer(request).await;
                runtime::sleep(lag.1).await;
                answer
            }
        })?;
        let s = state.clone();
        runtime::spawn_until(cancel.clone(), async move {
            loop {
                runtime::sleep(Micros::from_millis(20)).await;
                if !s.down.get() {
                    s.expire();
                }
            }
        });
        Ok((state, addr))
    }

    /// A value, for the other stand-ins and for tests.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.inner.borrow().keys.get(key).map(|e| e.value.clone())
    }

    /// Remembers so few of the latest changes, for tests.
    pub fn keep_changes(&self, most: usize) {
        self.inner.borrow_mut().keeps = Some(most);
    }

    /// Writes a value whatever it is, for tests.
    pub fn put(&self, key: &str, value: Value) {
        let mut inner = self.inner.borrow_mut();
        inner.revision += 1;
        let mod_revision = inner.revision;
        inner.note(mod_revision, key, false);
        inner.keys.insert(
            key.to_owned(),
            Entry {
                value,
                mod_revision,
                lease: None,
            },
        );
        inner.wake();
    }

    /// The keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.borrow();
        inner
            .keys
            .range(prefix.to_owned()..)
            .map(|(k, _)| k.clone())
            .take_while(|k| k.starts_with(prefix))
            .collect()
    }

    /// After an outage every lease has its full time again.
    pub fn outage(&self, down: bool) {
        self.down.set(down);
        let now = runtime::now();
        for (until, ttl) in self.inner.borrow_mut().leases.values_mut() {
            *until = now + *ttl;
        }
    }

    fn expire(&self) {
        let now = runtime::now();
        let over: Vec<u64> = self
            .inner
            .borrow()
            .leases
            .iter()
            .filter(|(_, (t, _))| *t <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    /// Ends the lease that a key is on, as if it had run out.
    pub fn end_lease_of(&self, key: &str) {
        let lease = self.inner.borrow().keys.get(key).and_then(|e| e.lease);
        lease.into_iter().for_each(|l| self.end_lease(l));
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
                inner.drop_key(&key);
            }
            inner.wake();
        }
    }

    async fn answer(&self, request: Request) -> Response {
        self.requests.set(self.requests.get() + 1);
        if self.down.get() {
            return Response::of(503, &json!({ "error": "trouble" }));
        }
        let (path, query) = target(&request.path);
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(2, '/').collect();
        match (request.method, parts.as_slice()) {
            (Method::Get, ["kv"]) => self.list(&query),
            (Method::Get, ["kv", key]) => self.read(key),
            (Method::Post, ["multi"]) => self.txn(&request.body),
            (Method::Post, ["holds"]) => self.grant(&request.body),
            (Method::Post, ["holds", rest]) => self.renew(rest),
            (Method::Delete, ["holds", id]) => id.parse().map_or(Response::empty(400), |lease| {
                self.end_lease(lease);
                Response::of(200, &json!({}))
            }),
            (Method::Get, ["changes"]) => self.watch(&query).await,
            _ => Response::empty(404),
        }
    }

    fn read(&self, key: &str) -> Response {
        let inner = self.inner.borrow();
        match inner.keys.get(key) {
            Some(e) => Response::of(
                200,
                &json!({ "key": key, "v": e.value, "mark": e.mod_revision, "tether": e.lease }),
            ),
            None => Response::of(404, &json!({ "tide": inner.revision })),
        }
    }

    fn list(&self, query: &[(&str, &str)]) -> Response {
        let prefix = param(query, "under").unwrap_or("");
        let since = param(query, "since").unwrap_or("");
        let most = param(query, "most")
            .and_then(|n| n.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let inner = self.inner.borrow();
        let under = inner
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        let mut after = under.filter(|(k, _)| k.as_str() > since);
        let pairs: Vec<Value> = after
            .by_ref()
            .take(most)
            .map(|(k, e)| json!({ "key": k, "v": e.value, "mark": e.mod_revision, "tether": e.lease }))
            .collect();
        let more = after.next().is_some();
        Response::of(
            200,
            &json!({ "pairs": pairs, "more": more, "tide": inner.revision }),
        )
    }

    fn txn(&self, body: &[u8]) -> Response {
        let Ok(txn) = decode::<Transaction>(body) else {
            return Response::empty(400);
        };
        self.changes
            .set(self.changes.get() + txn.changes.len() as u64);
        let mut inner = self.inner.borrow_mut();
        let mod_revision = |k: &String| inner.keys.get(k).map_or(0, |e| e.mod_revision);
        let failed: Vec<&String> = txn
            .conditions
            .iter()
            .filter(|c| mod_revision(&c.key) != c.mod_revision)
            .map(|c| &c.key)
            .collect();
        if !failed.is_empty() {
            return Response::of(409, &json!({ "failed": failed, "tide": inner.revision }));
        }
        if txn
            .changes
            .iter()
            .any(|c| c.tether.is_some_and(|l| !inner.leases.contains_key(&l)))
        {
            return Response::of(400, &json!({ "error": "no such lease" }));
        }
        let size = |v: &Value| serde_json::to_vec(v).map_or(0, |t| t.len());
        if txn.changes.iter().any(|c| size(&c.v) > VALUE)
            || txn.changes.len() > 16
            || txn.conditions.len() > 64
        {
            return Response::of(400, &json!({ "error": "over the limits" }));
        }
        inner.revision += 1;
        let revision = inner.revision;
        for c in txn.changes {
            if let Some(key) = c.write {
                let first = key.split('/').next().unwrap_or_default().to_owned();
                *self.written.borrow_mut().entry(first).or_default() += size(&c.v) as u64;
                inner.note(revision, &key, false);
                inner.keys.insert(
                    key,
                    Entry {
                        value: c.v,
                        mod_revision: revision,
                        lease: c.tether,
                    },
                );
            } else if let Some(key) = c.drop {
                inner.drop_key(&key);
            }
        }
        inner.wake();
        Response::of(200, &json!({ "tide": revision }))
    }

    fn grant(&self, body: &[u8]) -> Response {
        let Ok(ttl) = decode::<Ttl>(body) else {
            return Response::empty(400);
        };
        let ttl = Micros::from_millis(ttl.ttl_ms);
        let mut inner = self.inner.borrow_mut();
        inner.next_lease += 1;
        let lease = inner.next_lease;
        inner.leases.insert(lease, (runtime::now() + ttl, ttl));
        Response::of(200, &json!({ "tether": lease }))
    }

    fn renew(&self, rest: &str) -> Response {
        let lease = rest
            .strip_suffix("/renew")
            .and_then(|id| id.parse::<u64>().ok());
        let mut inner = self.inner.borrow_mut();
        match lease.and_then(|l| inner.leases.get_mut(&l)) {
            Some((until, ttl)) => {
                *until = runtime::now() + *ttl;
                Response::of(200, &json!({}))
            }
            None => Response::empty(404),
        }
    }

    async fn watch(&self, query: &[(&str, &str)]) -> Response {
        let prefix = param(query, "under").unwrap_or("").to_owned();
        let since: u64 = param(query, "since")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let wait: u64 = param(query, "wait_ms")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let until = runtime::now() + Micros::from_millis(wait.min(60_000));
        loop {
            {
                let inner = self.inner.borrow();
                if since < inner.forgotten {
                    self.too_old.set(self.too_old.get() + 1);
                    return Response::empty(410);
                }
                // Newest first, so that a watch looks at no more than what is new.
                let new = inner.log.iter().rev().take_while(|(r, ..)| *r > since);
                let mut events: Vec<Value> = new
                    .filter(|(_, k, _)| k.starts_with(&prefix))
                    .map(|(r, k, dropped)| {
                        match inner
                            .keys
                            .get(k)
                            .filter(|e| !dropped && e.mod_revision == *r)
                        {
                            Some(e) => json!({ "write": k, "v": e.value, "mark": r }),
                            None => json!({ "drop": k, "mark": r }),
                        }
                    })
                    .collect();
                events.reverse();
                // A value that was overwritten since then is told by its later event alone.
                events.retain(|e| {
                    let key = e["drop"].as_str().unwrap_or("");
                    key.is_empty() || !inner.keys.contains_key(key)
                });
                if !events.is_empty() || runtime::now() >= until {
                    return Response::of(200, &json!({ "tide": inner.revision, "events": events }));
                }
            }
            let revision = self.inner.borrow().revision;
            let changed = std::future::poll_fn(|cx| {
                let mut inner = self.inner.borrow_mut();
                if inner.revision > revision {
                    return Poll::Ready(());
                }
                inner.waiting.push(cx.waker().clone());
                Poll::Pending
            });
            let _ = runtime::timeout(until - runtime::now(), changed).await;
        }
    }
}

impl Inner {
    fn note(&mut self, revision: u64, key: &str, dropped: bool) {
        self.log.push_back((revision, key.to_owned(), dropped));
        while self.log.len() > self.keeps.unwrap_or(KEPT) {
            self.forgotten = self.log.pop_front().map_or(self.forgotten, |(r, ..)| r);
        }
    }

    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let revision = self.revision;
            self.note(revision, key, true);
        }
    }

    fn wake(&mut self) {
        for w in self.waiting.drain(..) {
            w.wake();
        }
    }
}
