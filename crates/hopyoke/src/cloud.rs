//! Client of the cloud: typed requests within its rate.

use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::cloud::{
    Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_scheduler::ScaleOutOutcome;
use hopyoke_types::{MachineId, Micros};
use std::cell::Cell;
use std::net::SocketAddr;

const REQUEST_TIMEOUT: Micros = Micros::from_secs(8);
/// Machines per page of a list.
const LIST_PAGE_SIZE: u32 = 500;
/// The part of the cloud's rate that a node uses.
const USED_RATE: f64 = 0.85;
/// Requests may be sent at once for as long as this is worth at the rate.
const BURST: Micros = Micros::from_secs(1);

/// Client of the cloud.
pub(crate) struct CloudClient {
    client: Client,
    requests_per_second: f64,
    /// When the next request may be sent.
    next_request_at: Cell<Micros>,
}

impl CloudClient {
    /// `requests_per_second`: what the cloud accepts.
    pub(crate) fn new(addr: SocketAddr, requests_per_second: f64) -> CloudClient {
        CloudClient {
            client: Client::new(addr),
            requests_per_second: requests_per_second * USED_RATE,
            next_request_at: Cell::new(Micros::ZERO),
        }
    }

    /// Spaces requests out, in the order of their callers.
    async fn wait_for_rate(&self) {
        let interval = Micros::from_secs_f64(1.0 / self.requests_per_second);
        let now = runtime::now();
        let send_at = self.next_request_at.get().max(now.saturating_sub(BURST));
        self.next_request_at.set(send_at + interval);
        if send_at > now {
            runtime::sleep_until(send_at).await;
        }
    }

    /// Reads the machine types on offer; `None` if there was no readable answer.
    pub(crate) async fn catalog(&self) -> Option<Vec<MachineType>> {
        self.wait_for_rate().await;
        let r = self
            .client
            .send(Method::Get, "/catalog", &[], REQUEST_TIMEOUT)
            .await
            .ok()?;
        (r.status == 200)
            .then(|| decode::<Catalog>(&r.body).ok())
            .flatten()
            .map(|c| c.types)
    }

    /// Requests new machines.
    pub(crate) async fn scale_out(&self, request: &ScaleOutRequest<'_>) -> ScaleOutOutcome {
        self.wait_for_rate().await;
        match self
            .client
            .send(Method::Post, "/machines", &encode(request), REQUEST_TIMEOUT)
            .await
        {
            Ok(r) if r.status == 200 => decode::<MachineNames>(&r.body)
                .map_or(ScaleOutOutcome::Unknown, |m| {
                    ScaleOutOutcome::Created(m.machines)
                }),
            // Both "no capacity" and "trouble" come as 503.
            Ok(r) if r.status == 503 && !contains(&r.body, b"trouble") => {
                ScaleOutOutcome::NoCapacity
            }
            Ok(r) if r.status == 400 => ScaleOutOutcome::NoCapacity,
            _ => ScaleOutOutcome::Unknown,
        }
    }

    /// Deletes machines. True once the cloud has confirmed that the machines are gone.
    pub(crate) async fn delete(&self, ids: Vec<MachineId>) -> bool {
        self.wait_for_rate().await;
        let body = encode(&MachineNames { machines: ids });
        let result = self
            .client
            .send(Method::Post, "/machines/delete", &body, REQUEST_TIMEOUT)
            .await;
        matches!(result, Ok(r) if r.status == 200)
    }

    /// Lists all machines, page by page; `None` if a page was not received.
    pub(crate) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            self.wait_for_rate().await;
            let after = all
                .last()
                .map_or(String::new(), |l| format!("since={}&", l.id));
            let path = format!("/machines?{after}most={LIST_PAGE_SIZE}");
            let r = self
                .client
                .send(Method::Get, &path, &[], REQUEST_TIMEOUT)
                .await
                .ok()?;
            if r.status != 200 {
                return None;
            }
            let page: MachineList = decode(&r.body).ok()?;
            let has_more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !has_more {
                return Some(all);
            }
        }
    }
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|w| w == part)
}
