//! The cloud: machines are routines of this process.

use crate::worker::{Worker, Works};
use crate::{param, serve, target};
use hopyoke_event_loop::http::{Method, Request, Response};
use hopyoke_event_loop::{self as runtime, CancellationToken};
use hopyoke_protocol::cloud::MachineType;
use hopyoke_protocol::decode;
use hopyoke_types::{MachineId, Micros};
use serde::Deserialize;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    since: Micros,
    worker: Option<Rc<Worker>>,
    cancel: CancellationToken,
}

/// A cloud on loopback.
pub struct Cloud {
    pub types: Vec<MachineType>,
    /// Most machines at once.
    capacity: usize,
    works: Rc<Works>,
    machines: RefCell<BTreeMap<MachineId, Machine>>,
    charters: RefCell<BTreeMap<String, Vec<MachineId>>>,
    next: Cell<u32>,
    cancel: CancellationToken,
}

#[derive(Deserialize)]
struct ScaleOutRequest {
    charter: String,
    rig: String,
    basin: String,
    #[serde(default)]
    driftboats: bool,
    number: u32,
}

#[derive(Deserialize)]
struct Names {
    vessels: Vec<MachineId>,
}

impl Cloud {
    /// Starts it.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn start(
        cancel: &CancellationToken,
        types: Vec<MachineType>,
        capacity: usize,
        works: Rc<Works>,
    ) -> io::Result<(Rc<Cloud>, SocketAddr)> {
        let cloud = Rc::new(Cloud {
            types,
            capacity,
            works,
            machines: RefCell::default(),
            charters: RefCell::default(),
            next: Cell::new(0),
            cancel: cancel.clone(),
        });
        let c = cloud.clone();
        let addr = serve(cancel, move |request| {
            let c = c.clone();
            async move { c.answer(&request) }
        })?;
        Ok((cloud, addr))
    }

    /// Machines that are up.
    pub fn up(&self) -> usize {
        self.machines
            .borrow()
            .values()
            .filter(|m| m.worker.is_some())
            .count()
    }

    fn answer(self: &Rc<Cloud>, request: &Request) -> Response {
        let (path, query) = target(&request.path);
        match (request.method, path) {
            (Method::Get, "/catalog") => Response::of(200, &json!({ "rigs": self.types })),
            (Method::Post, "/machines") => match decode::<ScaleOutRequest>(&request.body) {
                Ok(r) => self.rent(&r),
                Err(_) => Response::empty(400),
            },
            (Method::Post, "/machines/delete") => match decode::<Names>(&request.body) {
                Ok(n) => {
                    for id in n.vessels {
                        if let Some(m) = self.machines.borrow_mut().remove(&id) {
                            m.cancel.cancel();
                        }
                    }
                    Response::of(200, &json!({}))
                }
                Err(_) => Response::empty(400),
            },
            (Method::Get, "/machines") => self.list(&query),
            _ => Response::empty(404),
        }
    }

    fn rent(self: &Rc<Cloud>, r: &ScaleOutRequest) -> Response {
        if let Some(known) = self.charters.borrow().get(&r.charter) {
            return Response::of(200, &json!({ "vessels": known }));
        }
        let Some(kind) = self.types.iter().find(|t| t.name == r.rig) else {
            return Response::empty(400);
        };
        let room = self.capacity.saturating_sub(self.machines.borrow().len());
        let n = room.min(r.number as usize).min(50);
        if n == 0 {
            return Response::of(503, &json!({ "error": "no capacity" }));
        }
        let ids: Vec<MachineId> = (0..n)
            .map(|_| self.add(kind, &r.basin, r.driftboats))
            .collect();
        self.charters
            .borrow_mut()
            .insert(r.charter.clone(), ids.clone());
        Response::of(200, &json!({ "vessels": ids }))
    }

    fn add(self: &Rc<Cloud>, kind: &MachineType, zone: &str, spot: bool) -> MachineId {
        self.next.set(self.next.get() + 1);
        let id = MachineId::new(&format!("m-{:06}", self.next.get()));
        let cancel = CancellationToken::new();
        let machine = Machine {
            kind: kind.name.clone(),
            zone: zone.to_owned(),
            spot,
            since: runtime::now(),
            worker: None,
            cancel: cancel.clone(),
        };
        self.machines.borrow_mut().insert(id.clone(), machine);
        let (cloud, boot) = (self.clone(), Micros::from_secs_f64(kind.boot_s));
        let (name, kind, zone) = (id.clone(), kind.clone(), zone.to_owned());
        runtime::spawn_until(self.cancel.clone(), async move {
            runtime::sleep(boot).await;
            let worker = Worker::start(
                name.clone(),
                &kind,
                &zone,
                spot,
                cloud.works.clone(),
                &cancel,
            );
            if let (Ok(w), Some(m)) = (worker, cloud.machines.borrow_mut().get_mut(&name)) {
                m.worker = Some(w);
            }
        });
        id
    }

    fn list(&self, query: &[(&str, &str)]) -> Response {
        let since = MachineId::new(param(query, "since").unwrap_or(""));
        let most: usize = param(query, "most")
            .and_then(|n| n.parse().ok())
            .unwrap_or(500);
        let machines = self.machines.borrow();
        let mut after = machines.iter().filter(|(id, _)| **id > since);
        let list: Vec<_> = after
            .by_ref()
            .take(most.min(500))
            .map(|(id, m)| {
                json!({
                    "id": id, "address": m.worker.as_ref().map(|w| w.address.to_string()), "rig": m.kind,
                    "basin": m.zone, "driftboats": m.spot,
                    "bearing": if m.worker.is_some() { "running" } else { "booting" },
                    "held_s": (runtime::now() - m.since).as_secs_f64(),
                })
            })
            .collect();
        let more = after.next().is_some();
        Response::of(200, &json!({ "vessels": list, "more": more }))
    }
}
