//! Users: submit, poll and cancel, with the retries of PROTOCOL-hopyoke.

use crate::map;
use crate::site::Site;
use crate::wire::{Client, Value};
use std::time::Duration;

/// A job of one task or more; a case changes what it needs.
pub fn job(id: &str, hull: &str, crew: &str, oars: u64) -> Value {
    map! {
        "id" => id, "berth" => "routecast", "crew" => crew, "hull" => hull, "rank" => "standard", "oars" => oars,
        "cpus" => 6.0, "cards" => 1.0, "mem_gb" => 24.0, "cargo" => "img-01", "pull_gb" => 0.5,
        "rigs" => Value::Nil, "basin" => Value::Nil, "together" => false, "apart" => false, "driftboats" => false,
        "voyage_s" => 10.0, "logbook_s" => 0.0, "stow_s" => 0.0, "ashore_s" => Value::Nil,
    }
}

pub fn with(mut job: Value, key: &str, value: impl Into<Value>) -> Value {
    if let Value::Map(m) = &mut job {
        m.retain(|(k, _)| k != key);
        m.push((key.into(), value.into()));
    }
    job
}

impl Site {
    /// Sends one request to a controller; writes it and its answer into the record.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        limit_s: f64,
    ) -> Option<(u16, Value)> {
        let addr = self.nodes()[node].1;
        let answer = Client::new(addr).send(method, path, body, Duration::from_secs_f64(limit_s));
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(s, v)| format!("{s} {}", v.json()));
        self.record
            .line(&format!("user {method} {path} at node {node}: {text}"));
        answer
    }

    /// Submits until accepted, at the nodes in turn, for 60 s at the most. Returns whether it was accepted.
    pub fn submit(&self, spec: &Value, first: usize) -> bool {
        let id = spec.text("id");
        self.upload(&id, spec);
        let begin = self.record.now();
        let mut node = first;
        while self.record.now() < begin + 60.0 {
            match self.ask(
                node % self.nodes().len(),
                "POST",
                "/api/jobs",
                &spec.encode(),
                5.0,
            ) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_millis(1100)),
            }
            node += 1;
        }
        false
    }

    /// Cancels until told `aborted` or `done`. Returns what was told, and when.
    pub fn withdraw(&self, id: &str, first: usize) -> Option<(String, f64)> {
        let begin = self.record.now();
        let mut node = first;
        while self.record.now() < begin + 60.0 {
            let path = format!("/api/jobs/{id}/withdraw");
            match self.ask(node % self.nodes().len(), "POST", &path, &[], 5.0) {
                Some((200, v)) => {
                    let told = v.text("bearing");
                    if told == "aborted" {
                        self.told_cancelled(id);
                    }
                    return Some((told, self.record.now()));
                }
                _ => std::thread::sleep(Duration::from_millis(1100)),
            }
            node += 1;
        }
        None
    }

    pub fn poll(&self, id: &str, node: usize) -> Option<(u16, String)> {
        let path = format!("/api/jobs/{id}");
        self.ask(node % self.nodes().len(), "GET", &path, &[], 2.0)
            .map(|(s, v)| (s, v.text("bearing")))
    }
}
