//! State service, as PROTOCOL-hopyoke describes it, with one listener for each controller, so that a single controller
//! can be refused.

use crate::world::{cfg, json_len, serve, target};
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_event_loop::{self as runtime};
use hopyoke_protocol::decode;
use hopyoke_types::Micros;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Limits that both small deployments share.
pub const VALUE_KB: f64 = 8.0;
pub const TXN_OPS: usize = 16;
/// "The service keeps the last 10,000 changes."
const LOG_LENGTH: usize = 10_000;

struct Entry {
    value: Value,
    mark: u64,
    lease: Option<u64>,
}

struct Change {
    tide: u64,
    key: String,
    value: Option<Value>,
}

struct Lease {
    ttl: Micros,
    ends_at: Micros,
}

#[derive(Default)]
struct Inner {
    keys: BTreeMap<String, Entry>,
    tide: u64,
    log: VecDeque<Change>,
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    watchers: Vec<Waker>,
}

/// What the service does with the requests of one controller.
#[derive(Default, Clone, Copy)]
pub struct Treatment {
    /// Answer 503; open watches wait.
    pub refused: bool,
    /// Delay before a request is carried out.
    pub before: Micros,
    /// Delay between that and its answer.
    pub after: Micros,
    /// Requests and answers are held back, and delivered once this ends.
    pub held: bool,
}

#[derive(Default)]
pub struct Store {
    inner: RefCell<Inner>,
    /// Treatment of each controller's requests.
    pub treatment: RefCell<Vec<Treatment>>,
    requests: RefCell<(f64, Micros)>,
    writes: RefCell<(f64, Micros)>,
    /// Transactions that were refused as malformed, with the reason.
    pub malformed: Cell<u64>,
    pub malformed_reason: RefCell<String>,
}

#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    when: Vec<When>,
    #[serde(default)]
    apply: Vec<Apply>,
}
#[derive(Deserialize)]
struct When {
    key: String,
    mark: u64,
}
#[derive(Deserialize)]
struct Apply {
    write: Option<String>,
    #[serde(default)]
    v: Value,
    #[serde(default)]
    tether: Option<u64>,
    drop: Option<String>,
}
#[derive(Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

impl Store {
    /// Starts the service with `listeners` listeners, and returns their addresses.
    pub fn start(listeners: usize) -> (Rc<Store>, Vec<SocketAddr>) {
        let store = Rc::new(Store::default());
        store.inner.borrow_mut().tide = 1;
        *store.treatment.borrow_mut() = vec![Treatment::default(); listeners];
        *store.requests.borrow_mut() = (cfg().rps, runtime::now());
        *store.writes.borrow_mut() = (cfg().write_rps, runtime::now());
        let addrs = (0..listeners)
            .map(|i| {
                let s = store.clone();
                serve(move |r| {
                    let s = s.clone();
                    async move { s.answer(i, r).await }
                })
            })
            .collect();
        let s = store.clone();
        runtime::spawn(async move {
            loop {
                runtime::sleep(Micros::from_millis(20)).await;
                s.end_overdue_leases();
            }
        });
        (store, addrs)
    }

    /// Begins or ends an outage for all controllers. "When the state service comes back from an outage, every lease has
    /// its full time again."
    pub fn set_down(&self, down: bool) {
        for t in self.treatment.borrow_mut().iter_mut() {
            t.refused = down;
        }
        let now = runtime::now();
        for l in self.inner.borrow_mut().leases.values_mut() {
            l.ends_at = now + l.ttl;
        }
    }

    fn all_refused(&self) -> bool {
        self.treatment.borrow().iter().all(|t| t.refused)
    }

    fn end_overdue_leases(&self) {
        if self.all_refused() {
            return;
        }
        let now = runtime::now();
        let overdue: Vec<u64> = self
            .inner
            .borrow()
            .leases
            .iter()
            .filter(|(_, l)| l.ends_at <= now)
            .map(|(i, _)| *i)
            .collect();
        for l in overdue {
            self.end_lease(l);
        }
    }

    fn end_lease(&self, id: u64) -> bool {
        let mut inner = self.inner.borrow_mut();
        if inner.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = inner
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            inner.tide += 1;
            for k in keys {
                inner.delete(&k);
            }
            inner.wake();
        }
        true
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        self.inner.borrow().keys.get(key).map(|e| e.value.clone())
    }

    fn take(bucket: &RefCell<(f64, Micros)>, rate: f64, n: f64) -> bool {
        let mut b = bucket.borrow_mut();
        let now = runtime::now();
        b.0 = (b.0 + rate * (now - b.1).as_secs_f64()).min(rate);
        b.1 = now;
        if b.0 >= n {
            b.0 -= n;
            return true;
        }
        false
    }

    async fn answer(&self, from: usize, request: Request) -> Response {
        self.while_held(from).await;
        let t = self.treatment.borrow()[from];
        if t.refused {
            return Response::msgpack(503, &json!({"error":"trouble"}));
        }
        if !Store::take(&self.requests, cfg().rps, 1.0) {
            return Response::empty(429);
        }
        runtime::sleep(t.before).await;
        let response = self.execute(from, request).await;
        runtime::sleep(t.after).await;
        self.while_held(from).await;
        response
    }

    async fn while_held(&self, from: usize) {
        while self.treatment.borrow()[from].held {
            runtime::sleep(Micros::from_millis(20)).await;
        }
    }

    async fn execute(&self, from: usize, request: Request) -> Response {
        let (path, query) = target(&request.path);
        let path = path.to_owned();
        match (request.method, path.as_str()) {
            (Method::Get, "/kv") => self.list(&query),
            (Method::Get, "/changes") => self.changes(from, &query).await,
            (Method::Get, p) if p.starts_with("/kv/") => self.read(&p[4..]),
            (Method::Post, "/multi") => self.multi(&request.body),
            (Method::Post, "/holds") => {
                let Ok(t) = decode::<Ttl>(&request.body) else {
                    return Response::empty(400);
                };
                let mut inner = self.inner.borrow_mut();
                inner.last_lease += 1;
                let (id, ttl) = (inner.last_lease, Micros::from_millis(t.ttl_ms));
                inner.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends_at: runtime::now() + ttl,
                    },
                );
                Response::msgpack(200, &json!({"tether":id}))
            }
            (Method::Post, p) if p.starts_with("/holds/") && p.ends_with("/renew") => {
                let id: u64 = p[7..p.len() - 6].parse().unwrap_or(0);
                let mut inner = self.inner.borrow_mut();
                match inner.leases.get_mut(&id) {
                    Some(l) => {
                        l.ends_at = runtime::now() + l.ttl;
                        Response::msgpack(200, &json!({}))
                    }
                    None => Response::empty(404),
                }
            }
            (Method::Delete, p) if p.starts_with("/holds/") => {
                let id: u64 = p[7..].parse().unwrap_or(0);
                if self.end_lease(id) {
                    Response::msgpack(200, &json!({}))
                } else {
                    Response::empty(404)
                }
            }
            _ => Response::empty(400),
        }
    }

    fn read(&self, key: &str) -> Response {
        let inner = self.inner.borrow();
        match inner.keys.get(key) {
            Some(e) => Response::msgpack(
                200,
                &json!({"key":key,"v":e.value,"mark":e.mark,"tether":e.lease}),
            ),
            None => Response::msgpack(404, &json!({"tide":inner.tide})),
        }
    }

    fn list(&self, query: &BTreeMap<String, String>) -> Response {
        let empty = String::new();
        let under = query.get("under").unwrap_or(&empty);
        let since = query.get("since").unwrap_or(&empty);
        let most: usize = query
            .get("most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let inner = self.inner.borrow();
        let (mut pairs, mut size, mut more) = (Vec::new(), 0, false);
        for (k, e) in inner
            .keys
            .range(under.clone()..)
            .take_while(|(k, _)| k.starts_with(under.as_str()))
        {
            if k.as_str() <= since.as_str() && !since.is_empty() {
                continue;
            }
            let pair = json!({"key":k,"v":e.value,"mark":e.mark});
            size += json_len(&pair) + 1;
            if pairs.len() == most || size > 500 * 1024 {
                more = true;
                break;
            }
            pairs.push(pair);
        }
        Response::msgpack(200, &json!({"pairs":pairs,"more":more,"tide":inner.tide}))
    }

    fn refuse(&self, reason: &str) -> Response {
        self.malformed.set(self.malformed.get() + 1);
        *self.malformed_reason.borrow_mut() = reason.to_owned();
        Response::msgpack(400, &json!({"error":reason}))
    }

    fn multi(&self, body: &[u8]) -> Response {
        let (Ok(txn), Ok(whole)) = (decode::<Txn>(body), decode::<Value>(body)) else {
            return self.refuse("not a transaction");
        };
        // "64 KiB overall", "size limits are counted in that form" (JSON).
        if json_len(&whole) > 64 * 1024 {
            return self.refuse("transaction over 64 KiB");
        }
        if txn.apply.len() > TXN_OPS || txn.when.len() > 4 * TXN_OPS {
            return self.refuse("too many operations");
        }
        if !Store::take(&self.writes, cfg().write_rps, txn.apply.len() as f64) {
            return Response::empty(429);
        }
        if let Some(a) = txn
            .apply
            .iter()
            .find(|a| json_len(&a.v) > (VALUE_KB * 1024.0) as usize)
        {
            let key = a.write.clone().unwrap_or_default();
            return self.refuse(&format!(
                "value of {key}: {} bytes, over {VALUE_KB} KiB",
                json_len(&a.v)
            ));
        }
        let mut inner = self.inner.borrow_mut();
        let mark = |k: &str| inner.keys.get(k).map_or(0, |e| e.mark);
        let failed: Vec<&String> = txn
            .when
            .iter()
            .filter(|w| mark(&w.key) != w.mark)
            .map(|w| &w.key)
            .collect();
        if txn
            .apply
            .iter()
            .any(|a| a.tether.is_some_and(|l| !inner.leases.contains_key(&l)))
        {
            return Response::msgpack(400, &json!({"error":"no such lease"}));
        }
        if !failed.is_empty() {
            return Response::msgpack(409, &json!({"failed":failed,"tide":inner.tide}));
        }
        if !txn.apply.is_empty() {
            inner.tide += 1;
            for a in txn.apply {
                if let Some(k) = a.write {
                    let tide = inner.tide;
                    inner.push(Change {
                        tide,
                        key: k.clone(),
                        value: Some(a.v.clone()),
                    });
                    inner.keys.insert(
                        k,
                        Entry {
                            value: a.v,
                            mark: tide,
                            lease: a.tether,
                        },
                    );
                } else if let Some(k) = a.drop {
                    inner.delete(&k);
                }
            }
            inner.wake();
        }
        Response::msgpack(200, &json!({"tide":inner.tide}))
    }

    async fn changes(&self, from: usize, query: &BTreeMap<String, String>) -> Response {
        let under = query.get("under").cloned().unwrap_or_default();
        let since: u64 = query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
        let wait: u64 = query
            .get("wait_ms")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let until = runtime::now() + Micros::from_millis(wait.min(60_000));
        loop {
            let tide = {
                let inner = self.inner.borrow();
                // "Its open watches then wait as they would in an outage."
                if !self.treatment.borrow()[from].refused {
                    if since < inner.compacted {
                        return Response::empty(410);
                    }
                    let events: Vec<Value> = inner
                        .log
                        .iter()
                        .filter(|c| c.tide > since && c.key.starts_with(&under))
                        .map(|c| match &c.value {
                            Some(v) => json!({"write":c.key,"v":v,"mark":c.tide}),
                            None => json!({"drop":c.key,"mark":c.tide}),
                        })
                        .collect();
                    if !events.is_empty() || runtime::now() >= until {
                        return Response::msgpack(200, &json!({"tide":inner.tide,"events":events}));
                    }
                }
                inner.tide
            };
            let changed = std::future::poll_fn(|cx| {
                let mut inner = self.inner.borrow_mut();
                if inner.tide > tide {
                    return Poll::Ready(());
                }
                inner.watchers.push(cx.waker().clone());
                Poll::Pending
            });
            let left = (until - runtime::now()).max(Micros::from_millis(50));
            let _ = runtime::timeout(left, changed).await;
        }
    }
}

impl Inner {
    fn push(&mut self, c: Change) {
        self.log.push_back(c);
        while self.log.len() > LOG_LENGTH {
            if let Some(c) = self.log.pop_front() {
                self.compacted = c.tide;
            }
        }
    }
    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let tide = self.tide;
            self.push(Change {
                tide,
                key: key.to_owned(),
                value: None,
            });
        }
    }
    fn wake(&mut self) {
        for w in self.watchers.drain(..) {
            w.wake();
        }
    }
}
