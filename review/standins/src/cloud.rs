//! The cloud: rents machines, on which workers start.

use crate::map;
use crate::site::Site;
use crate::wire::{Request, Response, Value, serve};
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Machine {
    rig: String,
    basin: String,
    spot: bool,
    since: Instant,
    /// Time for which it had been rented at `since`.
    age: Duration,
    worker: Option<Arc<Worker>>,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    answers: BTreeMap<String, Value>,
    /// Machines that are gone and still listed, as the list lags.
    lagging: BTreeMap<String, (Value, Instant, Duration)>,
    last: u64,
    asked: usize,
}

pub struct Cloud {
    inner: Mutex<Inner>,
    site: Arc<Site>,
    /// Greatest number of machines.
    pub capacity: Mutex<usize>,
    pub boot: Duration,
    /// Boot times of the first machines that are rented, in place of `boot`.
    pub slow_boots: Mutex<Vec<Duration>>,
    /// By how much the list lags.
    pub lag: Duration,
}

fn entry(id: &str, m: &Machine) -> Value {
    let address = m.worker.as_ref().map(|w| w.address.lock().unwrap().clone());
    map! {
        "id" => id, "address" => address.map_or(Value::Nil, Value::from),
        "rig" => m.rig.clone(), "basin" => m.basin.clone(), "driftboats" => m.spot,
        "bearing" => if m.worker.is_some() { "running" } else { "booting" },
        "held_s" => (m.since.elapsed() + m.age).as_secs_f64(),
    }
}

impl Inner {
    fn remove(&mut self, id: &str, lag: Duration) -> Option<Machine> {
        let m = self.machines.remove(id)?;
        self.lagging
            .insert(id.into(), (entry(id, &m), Instant::now(), lag));
        Some(m)
    }
}

impl Cloud {
    pub fn start(site: Arc<Site>, capacity: usize, boot: Duration) -> (Arc<Cloud>, SocketAddr) {
        let lag = Duration::from_secs_f64(site.list_lag_s);
        let cloud = Arc::new(Cloud {
            inner: Mutex::default(),
            site,
            capacity: Mutex::new(capacity),
            boot,
            slow_boots: Mutex::default(),
            lag,
        });
        let serving = cloud.clone();
        let addr = serve(Arc::new(move |r| serving.handle(&r)));
        (cloud, addr)
    }

    /// The list lags by `list_lag_s`, at times by as much as twice that.
    fn next_lag(&self) -> Duration {
        self.lag
            .mul_f64(1.0 + self.site.random(1000) as f64 / 1000.0)
    }

    /// A machine that is there at the start, rented long ago.
    pub fn add(self: &Arc<Cloud>, rig: &str, basin: &str, spot: bool, boot: Duration) -> String {
        let id = self.rent_one(rig, basin, spot, boot);
        if let Some(m) = self.inner.lock().unwrap().machines.get_mut(&id) {
            m.age = Duration::from_secs(600);
        }
        id
    }

    fn rent_one(self: &Arc<Cloud>, rig: &str, basin: &str, spot: bool, boot: Duration) -> String {
        let mut inner = self.inner.lock().unwrap();
        inner.last += 1;
        let id = format!("m-{:06}", inner.last);
        let machine = Machine {
            rig: rig.into(),
            basin: basin.into(),
            spot,
            since: Instant::now(),
            age: Duration::ZERO,
            worker: None,
        };
        inner.machines.insert(id.clone(), machine);
        let (cloud, key) = (self.clone(), id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            let mut inner = cloud.inner.lock().unwrap();
            if let Some(m) = inner.machines.get_mut(&key) {
                m.worker = Some(Worker::start(
                    cloud.site.clone(),
                    &key,
                    &m.rig,
                    &m.basin,
                    m.spot,
                ));
                cloud.site.record.line(&format!("{key} is up"));
            }
        });
        id
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.inner
            .lock()
            .unwrap()
            .machines
            .values()
            .filter_map(|m| m.worker.clone())
            .collect()
    }

    pub fn worker(&self, id: &str) -> Option<Arc<Worker>> {
        self.inner
            .lock()
            .unwrap()
            .machines
            .get(id)
            .and_then(|m| m.worker.clone())
    }

    /// Number of machines that are rented.
    pub fn machines(&self) -> usize {
        self.inner.lock().unwrap().machines.len()
    }

    /// Number of requests for machines so far.
    pub fn rentals(&self) -> usize {
        self.inner.lock().unwrap().asked
    }

    /// Takes a spot machine back. It is not listed any more, once the list has come so far.
    pub fn take(&self, id: &str) {
        let lag = self.next_lag();
        if let Some(m) = self.inner.lock().unwrap().remove(id, lag)
            && let Some(w) = m.worker
        {
            w.delete();
            self.site
                .record
                .line(&format!("{id} is taken back by the cloud"));
        }
    }

    fn handle(self: &Arc<Cloud>, r: &Request) -> Response {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/catalog") => Response::new(200, &map! {"rigs" => self.site.rigs.clone()}),
            ("POST", "/machines") => self.rent(r),
            ("POST", "/machines/delete") => {
                let names = Value::decode(&r.body).unwrap_or(Value::Nil).list("vessels");
                let lag = self.next_lag();
                for name in names {
                    let Value::Text(name) = name else { continue };
                    let removed = self.inner.lock().unwrap().remove(&name, lag);
                    if let Some(m) = removed {
                        if let Some(w) = m.worker {
                            w.delete();
                        }
                        self.site.record.line(&format!("{name} deleted"));
                    }
                }
                Response::empty(200)
            }
            ("GET", "/machines") => {
                let since = r.query.get("since").cloned().unwrap_or_default();
                let most = r
                    .query
                    .get("most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(500usize)
                    .min(500);
                let mut inner = self.inner.lock().unwrap();
                let lag = self.lag;
                inner
                    .lagging
                    .retain(|_, (_, gone, lag)| gone.elapsed() < *lag);
                let mut all: BTreeMap<String, Value> = inner
                    .lagging
                    .iter()
                    .map(|(id, (v, ..))| (id.clone(), v.clone()))
                    .collect();
                // A new machine is missing until the list has come so far.
                let old = inner
                    .machines
                    .iter()
                    .filter(|(_, m)| m.since.elapsed() + m.age >= lag);
                all.extend(old.map(|(id, m)| (id.clone(), entry(id, m))));
                let mut after = all.into_iter().filter(|(id, _)| *id > since);
                let page: Vec<Value> = after.by_ref().take(most).map(|(_, v)| v).collect();
                let more = after.next().is_some();
                Response::new(200, &map! {"vessels" => page, "more" => more})
            }
            _ => Response::empty(400),
        }
    }

    fn rent(self: &Arc<Cloud>, r: &Request) -> Response {
        let Some(q) = Value::decode(&r.body) else {
            return Response::empty(400);
        };
        let charter = q.text("charter");
        self.inner.lock().unwrap().asked += 1;
        if let Some(a) = self.inner.lock().unwrap().answers.get(&charter) {
            return Response::new(200, a);
        }
        let free = self
            .capacity
            .lock()
            .unwrap()
            .saturating_sub(self.inner.lock().unwrap().machines.len());
        let number = (q.int("number").unwrap_or(0) as usize).min(50).min(free);
        if number == 0 {
            return Response::new(503, &map! {"error" => "no capacity"});
        }
        let names: Vec<Value> = (0..number)
            .map(|_| {
                let boot = self.slow_boots.lock().unwrap().pop().unwrap_or(self.boot);
                Value::from(self.rent_one(
                    &q.text("rig"),
                    &q.text("basin"),
                    q.is_true("driftboats"),
                    boot,
                ))
            })
            .collect();
        let answer = map! {"vessels" => names};
        self.site
            .record
            .line(&format!("cloud rents {charter}: {}", answer.json()));
        self.inner
            .lock()
            .unwrap()
            .answers
            .insert(charter, answer.clone());
        Response::new(200, &answer)
    }
}
