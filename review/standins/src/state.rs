//! The state service, as PROTOCOL-hopyoke describes it. Each controller has a listener of its own, so that a trouble
//! can meet one of them alone.

use crate::map;
use crate::wire::{Request, Response, Value, serve};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What becomes of a request: decided by a case's rule for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Serve,
    /// 503, not executed.
    Refuse,
    /// Executed after this many milliseconds; no answer, as the client has gone.
    LateAndSilent(u64),
    /// Executed at once; the answer is lost.
    AnswerLost,
    /// Executed after this many milliseconds, then answered.
    Slow(u64),
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    mark: u64,
    tether: Option<u64>,
}

struct Change {
    mark: u64,
    key: String,
    /// `None`: dropped.
    value: Option<Value>,
}

struct Hold {
    ttl: Duration,
    end: Instant,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        let gained = (now - self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
        let has = self.level >= n;
        if has {
            self.level -= n;
        }
        has
    }
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    tide: u64,
    log: Vec<Change>,
    holds: BTreeMap<u64, Hold>,
    last_hold: u64,
    requests: Bucket,
    writes: Bucket,
    limits: Limits,
    is_down: bool,
    refused_by_limits: u64,
}

type FateRule = Box<dyn Fn(usize, &Request) -> Fate + Send + Sync>;

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    /// Fate of a request of the controller with this index.
    pub rule: Mutex<Option<FateRule>>,
}

impl State {
    /// Starts the service; returns it with one address for each controller.
    pub fn start(controllers: usize, limits: Limits) -> (Arc<State>, Vec<SocketAddr>) {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                keys: BTreeMap::new(),
                tide: 1,
                log: Vec::new(),
                holds: BTreeMap::new(),
                last_hold: 0,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                limits,
                is_down: false,
                refused_by_limits: 0,
            }),
            changed: Condvar::new(),
            rule: Mutex::new(None),
        });
        let addresses = (0..controllers)
            .map(|node| {
                let state = state.clone();
                serve(Arc::new(move |r| state.handle(node, &r)))
            })
            .collect();
        let expiring = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        (state, addresses)
    }

    /// Begins or ends an outage for all. Afterwards every lease has its full time again.
    pub fn set_down(&self, is_down: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_down = is_down;
        let now = Instant::now();
        inner.holds.values_mut().for_each(|h| h.end = now + h.ttl);
        self.changed.notify_all();
    }

    /// Sets the limits that the service has from now on.
    pub fn set_limits(&self, limits: Limits) {
        let mut inner = self.inner.lock().unwrap();
        inner.requests = Bucket::new(limits.rps);
        inner.writes = Bucket::new(limits.write_rps);
        inner.limits = limits;
    }

    pub fn refused_by_limits(&self) -> u64 {
        self.inner.lock().unwrap().refused_by_limits
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.inner
            .lock()
            .unwrap()
            .keys
            .get(key)
            .map(|e| e.value.clone())
    }

    pub fn mark(&self, key: &str) -> Option<u64> {
        self.inner.lock().unwrap().keys.get(key).map(|e| e.mark)
    }

    /// The keys with a prefix, and the sizes of their values.
    pub fn keys(&self, prefix: &str) -> Vec<(String, usize)> {
        let inner = self.inner.lock().unwrap();
        let under = inner.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        under
            .map(|(k, e)| (k.clone(), e.value.json().len()))
            .collect()
    }

    /// The controller that holds the key `leader`.
    pub fn leader(&self) -> Option<String> {
        self.value("leader").map(|v| v.text("node"))
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.is_down {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = inner
            .holds
            .iter()
            .filter(|(_, h)| h.end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            inner.end_hold(id);
            self.changed.notify_all();
        }
    }

    fn handle(self: &Arc<State>, node: usize, request: &Request) -> Response {
        let fate = self
            .rule
            .lock()
            .unwrap()
            .as_ref()
            .map_or(Fate::Serve, |rule| rule(node, request));
        match fate {
            Fate::Serve => self.execute(node, request),
            Fate::Refuse => Response::new(503, &map! {"error" => "trouble"}),
            Fate::AnswerLost => {
                self.execute(node, request);
                // The client waits until it gives up.
                std::thread::sleep(Duration::from_secs(8));
                Response::silent()
            }
            Fate::LateAndSilent(ms) => {
                let (state, request) = (self.clone(), request.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(ms));
                    state.execute(node, &request);
                });
                std::thread::sleep(Duration::from_secs(8));
                Response::silent()
            }
            Fate::Slow(ms) => {
                std::thread::sleep(Duration::from_millis(ms));
                self.execute(node, request)
            }
        }
    }

    fn execute(&self, node: usize, r: &Request) -> Response {
        if r.path == "/changes" {
            return self.changes(node, r);
        }
        let mut inner = self.inner.lock().unwrap();
        if inner.is_down {
            return Response::new(503, &map! {"error" => "trouble"});
        }
        if !inner.requests.take(1.0) {
            return Response::empty(429);
        }
        let parts: Vec<&str> = r.path.trim_start_matches('/').splitn(2, '/').collect();
        let response = match (r.method.as_str(), parts.as_slice()) {
            ("GET", ["kv"]) => inner.list(r),
            ("GET", ["kv", key]) => match inner.keys.get(*key) {
                Some(e) => {
                    let tether = e.tether.map_or(Value::Nil, Value::from);
                    Response::new(
                        200,
                        &map! {"key" => *key, "v" => e.value.clone(), "mark" => e.mark, "tether" => tether},
                    )
                }
                None => Response::new(404, &map! {"tide" => inner.tide}),
            },
            ("POST", ["multi"]) => inner.transact(&r.body),
            ("POST", ["holds"]) => match Value::decode(&r.body).and_then(|b| b.int("ttl_ms")) {
                Some(ms @ 100..=600_000) => {
                    inner.last_hold += 1;
                    let (id, ttl) = (inner.last_hold, Duration::from_millis(ms));
                    inner.holds.insert(
                        id,
                        Hold {
                            ttl,
                            end: Instant::now() + ttl,
                        },
                    );
                    Response::new(200, &map! {"tether" => id})
                }
                _ => Response::empty(400),
            },
            ("POST", ["holds", rest]) => {
                let id = rest
                    .strip_suffix("/renew")
                    .and_then(|id| id.parse::<u64>().ok());
                match id.and_then(|id| inner.holds.get_mut(&id)) {
                    Some(h) => {
                        h.end = Instant::now() + h.ttl;
                        Response::empty(200)
                    }
                    None => Response::empty(404),
                }
            }
            ("DELETE", ["holds", id]) => match id.parse::<u64>() {
                Ok(id) if inner.holds.contains_key(&id) => {
                    inner.end_hold(id);
                    Response::empty(200)
                }
                _ => Response::empty(404),
            },
            _ => Response::empty(400),
        };
        self.changed.notify_all();
        response
    }

    fn changes(&self, _node: usize, r: &Request) -> Response {
        let text = |k: &str| r.query.get(k).cloned().unwrap_or_default();
        let (under, since) = (text("under"), text("since").parse().unwrap_or(0u64));
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0u64).min(60_000));
        let mut inner = self.inner.lock().unwrap();
        if inner.is_down {
            return Response::new(503, &map! {"error" => "trouble"});
        }
        if !inner.requests.take(1.0) {
            return Response::empty(429);
        }
        let end = Instant::now() + wait;
        loop {
            // During an outage open watches stay open.
            if !inner.is_down {
                let first = inner.log.first().map_or(0, |c| c.mark);
                if inner.log.len() >= 10_000 && since + 1 < first {
                    return Response::empty(410);
                }
                let events: Vec<Value> = inner
                    .log
                    .iter()
                    .filter(|c| c.mark > since && c.key.starts_with(&under))
                    .map(|c| match &c.value {
                        Some(v) => {
                            map! {"write" => c.key.clone(), "v" => v.clone(), "mark" => c.mark}
                        }
                        None => map! {"drop" => c.key.clone(), "mark" => c.mark},
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= end {
                    return Response::new(200, &map! {"tide" => inner.tide, "events" => events});
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            let pause = if inner.is_down {
                Duration::from_millis(50)
            } else {
                left
            };
            inner = self
                .changed
                .wait_timeout(inner, pause.max(Duration::from_millis(1)))
                .unwrap()
                .0;
        }
    }
}

impl Inner {
    fn log(&mut self, key: &str, value: Option<Value>) {
        let mark = self.tide;
        self.log.push(Change {
            mark,
            key: key.to_owned(),
            value,
        });
        if self.log.len() > 10_000 {
            self.log.drain(..1);
        }
    }

    fn end_hold(&mut self, id: u64) {
        self.holds.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.tether == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.tide += 1;
            for k in keys {
                self.keys.remove(&k);
                self.log(&k, None);
            }
        }
    }

    fn list(&self, r: &Request) -> Response {
        let text = |k: &str| r.query.get(k).cloned().unwrap_or_default();
        let (under, since) = (text("under"), text("since"));
        let most = text("most").parse().unwrap_or(1000usize).min(1000);
        let mut pairs = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (k, e) in self
            .keys
            .range(under.clone()..)
            .take_while(|(k, _)| k.starts_with(&under))
        {
            if *k <= since {
                continue;
            }
            bytes += e.value.json().len() + k.len() + 40;
            if pairs.len() >= most || bytes > 500 * 1024 {
                more = true;
                break;
            }
            pairs.push(map! {"key" => k.clone(), "v" => e.value.clone(), "mark" => e.mark});
        }
        Response::new(
            200,
            &map! {"pairs" => pairs, "more" => more, "tide" => self.tide},
        )
    }

    fn transact(&mut self, body: &[u8]) -> Response {
        let Some(t) = Value::decode(body) else {
            return Response::empty(400);
        };
        let (when, apply) = (t.list("when"), t.list("apply"));
        let is_over = apply.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || t.json().len() > 64 * 1024
            || apply
                .iter()
                .any(|m| m.get("v").json().len() > self.limits.value_bytes);
        if is_over {
            self.refused_by_limits += 1;
            return Response::new(400, &map! {"error" => "over the limits"});
        }
        if !apply.is_empty() && !self.writes.take(apply.len() as f64) {
            return Response::empty(429);
        }
        for m in &apply {
            if let Some(id) = m.int("tether")
                && !self.holds.contains_key(&id)
            {
                return Response::new(400, &map! {"error" => "no such lease"});
            }
        }
        let failed: Vec<Value> = when
            .iter()
            .filter(|c| {
                self.keys.get(&c.text("key")).map_or(0, |e| e.mark) != c.int("mark").unwrap_or(0)
            })
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return Response::new(409, &map! {"failed" => failed, "tide" => self.tide});
        }
        if !apply.is_empty() {
            self.tide += 1;
        }
        for m in &apply {
            let (write, drop) = (m.text("write"), m.text("drop"));
            if !write.is_empty() {
                let (value, mark) = (m.get("v").clone(), self.tide);
                self.keys.insert(
                    write.clone(),
                    Entry {
                        value: value.clone(),
                        mark,
                        tether: m.int("tether"),
                    },
                );
                self.log(&write, Some(value));
            } else if self.keys.remove(&drop).is_some() {
                self.log(&drop, None);
            }
        }
        Response::new(200, &map! {"tide" => self.tide})
    }
}
