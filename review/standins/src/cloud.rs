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
    worker: Option<Arc<Worker>>,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    answers: BTreeMap<String, Value>,
    last: u64,
}

pub struct Cloud {
    inner: Mutex<Inner>,
    site: Arc<Site>,
    /// Greatest number of machines.
    pub capacity: Mutex<usize>,
    pub boot: Duration,
}

impl Cloud {
    pub fn start(site: Arc<Site>, capacity: usize, boot: Duration) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud { inner: Mutex::default(), site, capacity: Mutex::new(capacity), boot });
        let serving = cloud.clone();
        let addr = serve(Arc::new(move |r| serving.handle(&r)));
        (cloud, addr)
    }

    /// Machines that are there at the start.
    pub fn add(self: &Arc<Cloud>, rig: &str, basin: &str, spot: bool, boot: Duration) -> String {
        let mut inner = self.inner.lock().unwrap();
        inner.last += 1;
        let id = format!("m-{:06}", inner.last);
        let machine = Machine { rig: rig.into(), basin: basin.into(), spot, since: Instant::now(), worker: None };
        inner.machines.insert(id.clone(), machine);
        let (cloud, key) = (self.clone(), id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            let mut inner = cloud.inner.lock().unwrap();
            if let Some(m) = inner.machines.get_mut(&key) {
                m.worker = Some(Worker::start(cloud.site.clone(), &key, &m.rig, &m.basin, m.spot));
                cloud.site.record.line(&format!("{key} is up"));
            }
        });
        id
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.inner.lock().unwrap().machines.values().filter_map(|m| m.worker.clone()).collect()
    }

    pub fn worker(&self, id: &str) -> Option<Arc<Worker>> {
        self.inner.lock().unwrap().machines.get(id).and_then(|m| m.worker.clone())
    }

    fn handle(self: &Arc<Cloud>, r: &Request) -> Response {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/catalog") => Response::new(200, &map! {"rigs" => self.site.rigs.clone()}),
            ("POST", "/machines") => self.rent(r),
            ("POST", "/machines/delete") => {
                let names = Value::decode(&r.body).unwrap_or(Value::Nil).list("vessels");
                for name in names {
                    let Value::Text(name) = name else { continue };
                    let removed = self.inner.lock().unwrap().machines.remove(&name);
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
                let most = r.query.get("most").and_then(|m| m.parse().ok()).unwrap_or(500usize).min(500);
                let inner = self.inner.lock().unwrap();
                let mut after = inner.machines.iter().filter(|(id, _)| **id > since);
                let page: Vec<Value> = after
                    .by_ref()
                    .take(most)
                    .map(|(id, m)| {
                        let address = m.worker.as_ref().map(|w| w.address.lock().unwrap().clone());
                        map! {
                            "id" => id.clone(), "address" => address.map_or(Value::Nil, Value::from),
                            "rig" => m.rig.clone(), "basin" => m.basin.clone(), "driftboats" => m.spot,
                            "bearing" => if m.worker.is_some() { "running" } else { "booting" },
                            "held_s" => m.since.elapsed().as_secs_f64(),
                        }
                    })
                    .collect();
                let more = after.next().is_some();
                Response::new(200, &map! {"vessels" => page, "more" => more})
            }
            _ => Response::empty(400),
        }
    }

    fn rent(self: &Arc<Cloud>, r: &Request) -> Response {
        let Some(q) = Value::decode(&r.body) else { return Response::empty(400) };
        let charter = q.text("charter");
        if let Some(a) = self.inner.lock().unwrap().answers.get(&charter) {
            return Response::new(200, a);
        }
        let free = self.capacity.lock().unwrap().saturating_sub(self.inner.lock().unwrap().machines.len());
        let number = (q.int("number").unwrap_or(0) as usize).min(50).min(free);
        if number == 0 {
            return Response::new(503, &map! {"error" => "no capacity"});
        }
        let boot = self.boot;
        let names: Vec<Value> = (0..number)
            .map(|_| Value::from(self.add(&q.text("rig"), &q.text("basin"), q.is_true("driftboats"), boot)))
            .collect();
        let answer = map! {"vessels" => names};
        self.site.record.line(&format!("cloud rents {charter}: {}", answer.json()));
        self.inner.lock().unwrap().answers.insert(charter, answer.clone());
        Response::new(200, &answer)
    }
}
