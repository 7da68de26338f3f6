//! Emulated cloud whose machines are tasks of this process.

use crate::agent::{Agent, Machine};
use crate::fleet::Fleet;
use crate::server::{Query, serve, target};
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

/// A machine that exists.
struct Instance {
    machine_type: String,
    zone: String,
    spot: bool,
    created_at: Micros,
    /// `None` until the machine has booted.
    agent: Option<Rc<Agent>>,
    cancel: CancellationToken,
}

/// A cloud on loopback.
pub struct Cloud {
    types: Vec<MachineType>,
    max_machines: usize,
    fleet: Rc<Fleet>,
    instances: RefCell<BTreeMap<MachineId, Instance>>,
    /// Machines created by each request, by idempotency key.
    created: RefCell<BTreeMap<String, Vec<MachineId>>>,
    last_number: Cell<u32>,
    cancel: CancellationToken,
}

#[derive(Deserialize)]
struct ScaleOutRequest {
    #[serde(rename = "charter")]
    idempotency_key: String,
    #[serde(rename = "rig")]
    machine_type: String,
    #[serde(rename = "basin")]
    zone: String,
    #[serde(rename = "driftboats", default)]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
}

#[derive(Deserialize)]
struct ScaleInRequest {
    #[serde(rename = "vessels")]
    machines: Vec<MachineId>,
}

/// Maximum number of machines created by one request.
const MAX_SCALE_OUT: usize = 50;
/// Maximum number of machines per page of the list.
const MAX_LIST: usize = 500;

impl Cloud {
    /// Starts a cloud, which stops when `cancel` is cancelled, and returns it with its address.
    ///
    /// # Errors
    /// Returns an error if it cannot listen.
    pub(crate) fn start(
        cancel: &CancellationToken,
        types: Vec<MachineType>,
        max_machines: usize,
        fleet: Rc<Fleet>,
    ) -> io::Result<(Rc<Cloud>, SocketAddr)> {
        let cloud = Rc::new(Cloud {
            types,
            max_machines,
            fleet,
            instances: RefCell::default(),
            created: RefCell::default(),
            last_number: Cell::new(0),
            cancel: cancel.clone(),
        });
        let c = cloud.clone();
        let addr = serve(cancel, move |request| {
            let c = c.clone();
            async move { c.answer(&request) }
        })?;
        Ok((cloud, addr))
    }

    /// Returns the number of machines that have booted.
    pub fn running_machines(&self) -> usize {
        self.instances
            .borrow()
            .values()
            .filter(|m| m.agent.is_some())
            .count()
    }

    fn answer(self: &Rc<Cloud>, request: &Request) -> Response {
        let (path, query) = target(&request.path);
        match (request.method, path) {
            (Method::Get, "/catalog") => Response::msgpack(200, &json!({ "rigs": self.types })),
            (Method::Post, "/machines") => match decode::<ScaleOutRequest>(&request.body) {
                Ok(r) => self.scale_out(&r),
                Err(_) => Response::empty(400),
            },
            (Method::Post, "/machines/delete") => match decode::<ScaleInRequest>(&request.body) {
                Ok(r) => {
                    for id in r.machines {
                        if let Some(m) = self.instances.borrow_mut().remove(&id) {
                            m.cancel.cancel();
                        }
                    }
                    Response::msgpack(200, &json!({}))
                }
                Err(_) => Response::empty(400),
            },
            (Method::Get, "/machines") => self.list(&query),
            _ => Response::empty(404),
        }
    }

    fn scale_out(self: &Rc<Cloud>, request: &ScaleOutRequest) -> Response {
        if let Some(known) = self.created.borrow().get(&request.idempotency_key) {
            return Response::msgpack(200, &json!({ "vessels": known }));
        }
        let Some(machine_type) = self.types.iter().find(|t| t.name == request.machine_type) else {
            return Response::empty(400);
        };
        let free = self
            .max_machines
            .saturating_sub(self.instances.borrow().len());
        let count = free.min(request.count as usize).min(MAX_SCALE_OUT);
        if count == 0 {
            return Response::msgpack(503, &json!({ "error": "no capacity" }));
        }
        let ids: Vec<MachineId> = (0..count)
            .map(|_| self.create(machine_type, &request.zone, request.spot))
            .collect();
        self.created
            .borrow_mut()
            .insert(request.idempotency_key.clone(), ids.clone());
        Response::msgpack(200, &json!({ "vessels": ids }))
    }

    /// Creates a machine, whose agent starts after the boot time.
    fn create(self: &Rc<Cloud>, machine_type: &MachineType, zone: &str, spot: bool) -> MachineId {
        self.last_number.set(self.last_number.get() + 1);
        let id = MachineId::new(&format!("m-{:06}", self.last_number.get()));
        let cancel = CancellationToken::new();
        let instance = Instance {
            machine_type: machine_type.name.clone(),
            zone: zone.to_owned(),
            spot,
            created_at: runtime::now(),
            agent: None,
            cancel: cancel.clone(),
        };
        self.instances.borrow_mut().insert(id.clone(), instance);
        let (cloud, boot) = (self.clone(), Micros::from_secs_f64(machine_type.boot_s));
        let machine = Machine {
            id: id.clone(),
            machine_type: machine_type.clone(),
            zone: zone.to_owned(),
            spot,
        };
        let key = id.clone();
        runtime::spawn_until(self.cancel.clone(), async move {
            runtime::sleep(boot).await;
            let agent = Agent::start(machine, cloud.fleet.clone(), &cancel);
            if let (Ok(agent), Some(instance)) = (agent, cloud.instances.borrow_mut().get_mut(&key))
            {
                instance.agent = Some(agent);
            }
        });
        id
    }

    fn list(&self, query: &Query) -> Response {
        let since = MachineId::new(query.text("since"));
        let limit = query.number("most").unwrap_or(MAX_LIST).min(MAX_LIST);
        let instances = self.instances.borrow();
        let mut after = instances.iter().filter(|(id, _)| **id > since);
        let page: Vec<_> = after
            .by_ref()
            .take(limit)
            .map(|(id, m)| {
                json!({
                    "id": id,
                    "address": m.agent.as_ref().map(|a| a.address.to_string()),
                    "rig": m.machine_type,
                    "basin": m.zone,
                    "driftboats": m.spot,
                    "bearing": if m.agent.is_some() { "running" } else { "booting" },
                    "held_s": (runtime::now() - m.created_at).as_secs_f64(),
                })
            })
            .collect();
        let more = after.next().is_some();
        Response::msgpack(200, &json!({ "vessels": page, "more": more }))
    }
}
