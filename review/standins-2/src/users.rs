//! Users: submit, ask and cancel, and the rules that they can see.

use crate::fleet::Fleet;
use crate::world::{Record, Upload, Uploads};
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_event_loop::{self as runtime};
use hopyoke_protocol::{decode, encode};
use hopyoke_types::Micros;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What users were told of a job, and when.
#[derive(Default, Clone)]
pub struct Told {
    pub accepted: Option<Micros>,
    pub asked_cancel: bool,
    pub fin: Option<(Micros, String)>,
}

pub struct Users {
    pub record: Rc<Record>,
    pub fleet: Rc<Fleet>,
    pub uploads: Uploads,
    clients: Vec<Client>,
    pub told: RefCell<BTreeMap<String, Told>>,
}

impl Users {
    pub fn new(
        record: &Rc<Record>,
        fleet: &Rc<Fleet>,
        uploads: &Uploads,
        api: &[SocketAddr],
    ) -> Rc<Users> {
        Rc::new(Users {
            record: record.clone(),
            fleet: fleet.clone(),
            uploads: uploads.clone(),
            clients: api.iter().map(|a| Client::new(*a)).collect(),
            told: RefCell::default(),
        })
    }

    async fn send(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &[u8],
        limit_s: u64,
    ) -> (u16, Value) {
        let sent = runtime::now();
        let r = self.clients[node]
            .send(method, path, body, Micros::from_secs(limit_s))
            .await;
        let (status, value) = match r {
            Ok(r) => (r.status, decode::<Value>(&r.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        };
        let took = (runtime::now() - sent).as_millis();
        self.record.line(&format!(
            "user {} {path} at mooring-{node}: {status} {value} after {took} ms",
            method.as_str()
        ));
        (status, value)
    }

    /// Notes an answer about a job to a request that was sent at `sent`, and checks it against what was told before.
    fn note(&self, id: &str, sent: Micros, status: u16, body: &Value, submission: bool) {
        let now = runtime::now();
        let mut told = self.told.borrow_mut();
        let t = told.entry(id.to_owned()).or_default();
        let known_before = t.accepted.is_some_and(|a| a < sent);
        if known_before && status == 404 {
            self.record
                .broken(&format!("forgotten: {id} was accepted and gets 404"));
        }
        if known_before && submission && matches!(status, 400 | 422) {
            self.record.broken(&format!(
                "forgotten: repeated submission of {id} gets {status}"
            ));
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        t.accepted.get_or_insert(now);
        let bearing = body["bearing"].as_str().unwrap_or("").to_owned();
        if let Some((at, fin)) = &t.fin
            && *at < sent
            && *fin != bearing
        {
            self.record.broken(&format!(
                "went_back: {id} was called {fin} and is now called {bearing}"
            ));
        }
        if bearing == "aborted" && !t.asked_cancel {
            self.record.broken(&format!(
                "went_back: {id} is called aborted, and its user did not cancel it"
            ));
        }
        if bearing == "done" {
            let oars = self.uploads.borrow().get(id).map_or(0.0, |u| u.num("oars")) as u32;
            let done = self.fleet.done.borrow();
            if (0..oars).any(|i| !done.contains(&format!("{id}/{i}"))) {
                self.record
                    .broken(&format!("not_done: {id} is called done"));
            }
        }
        if matches!(bearing.as_str(), "done" | "aborted") && t.fin.is_none() {
            t.fin = Some((now, bearing.clone()));
            if bearing == "aborted" {
                self.fleet
                    .cancelled
                    .borrow_mut()
                    .entry(id.to_owned())
                    .or_insert(now);
            }
        }
    }

    /// Uploads a job and submits it once at a node.
    pub async fn submit(&self, node: usize, spec: &Value, run_s: f64) -> u16 {
        let id = spec["id"].as_str().unwrap_or("").to_owned();
        self.uploads
            .borrow_mut()
            .entry(id.clone())
            .or_insert(Upload {
                spec: spec.clone(),
                run_s,
            });
        let sent = runtime::now();
        let (status, body) = self
            .send(node, Method::Post, "/api/jobs", &encode(spec), 5)
            .await;
        self.note(&id, sent, status, &body, true);
        status
    }

    /// Submits until it is accepted, for at most 60 s, at one node after the other.
    pub async fn submit_until_accepted(&self, node: usize, spec: &Value, run_s: f64) -> bool {
        let until = runtime::now() + Micros::from_secs(60);
        let mut n = node;
        while runtime::now() < until {
            match self.submit(n % self.clients.len(), spec, run_s).await {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => {}
            }
            n += 1;
            runtime::sleep(Micros::from_secs(1)).await;
        }
        false
    }

    pub async fn poll(&self, node: usize, id: &str) -> Option<String> {
        let sent = runtime::now();
        let (status, body) = self
            .send(node, Method::Get, &format!("/api/jobs/{id}"), &[], 2)
            .await;
        self.note(id, sent, status, &body, false);
        (status == 200).then(|| body["bearing"].as_str().unwrap_or("").to_owned())
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Option<String> {
        self.told
            .borrow_mut()
            .entry(id.to_owned())
            .or_default()
            .asked_cancel = true;
        let sent = runtime::now();
        let (status, body) = self
            .send(
                node,
                Method::Post,
                &format!("/api/jobs/{id}/withdraw"),
                &[],
                5,
            )
            .await;
        self.note(id, sent, status, &body, false);
        (status == 200).then(|| body["bearing"].as_str().unwrap_or("").to_owned())
    }

    pub async fn healthy(&self, node: usize) -> bool {
        let r = self.clients[node]
            .send(Method::Get, "/healthz", &[], Micros::from_secs(1))
            .await;
        matches!(r, Ok(r) if r.status == 200)
    }
}

/// A job of one class of the small deployment; tests change single fields.
pub fn job(id: &str, crew: &str, hull: &str, oars: u32) -> Value {
    json!({"id":id,"berth":"routecast","crew":crew,"hull":hull,"rank":"standard","oars":oars,"cpus":6.0,"cards":1.0,
        "mem_gb":24.0,"cargo":"img-07","pull_gb":0.3,"rigs":[crate::world::cfg().rig],"basin":null,"together":false,"apart":false,
        "driftboats":false,"voyage_s":10.0,"logbook_s":0.0,"stow_s":0.0,"ashore_s":null})
}
