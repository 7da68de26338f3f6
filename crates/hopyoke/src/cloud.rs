//! Client of the cloud provider's API: typed requests, within its rate limit.

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
/// Maximum number of machines per page of a list.
const LIST_PAGE_SIZE: u32 = 500;
/// Fraction of the API's rate limit that a node uses.
const RATE_UTILIZATION: f64 = 0.85;
/// Size of a burst: as many requests may be sent without delay as the rate limit admits in this time.
const BURST_TIME: Micros = Micros::from_secs(1);

/// Rate-limited client of the cloud provider's API.
pub(crate) struct CloudClient {
    client: Client,
    requests_per_second: f64,
    /// When the next request may be sent, not counting the burst.
    next_request_at: Cell<Micros>,
}

impl CloudClient {
    /// Creates a client. `requests_per_second` is the rate limit of the API.
    pub(crate) fn new(addr: SocketAddr, requests_per_second: f64) -> CloudClient {
        CloudClient {
            client: Client::new(addr),
            requests_per_second: requests_per_second * RATE_UTILIZATION,
            next_request_at: Cell::new(Micros::ZERO),
        }
    }

    /// Waits until the rate limit permits another request; callers are served first come, first served.
    async fn wait_for_rate(&self) {
        let interval = Micros::from_secs_f64(1.0 / self.requests_per_second);
        let now = runtime::now();
        let send_at = self
            .next_request_at
            .get()
            .max(now.saturating_sub(BURST_TIME));
        self.next_request_at.set(send_at + interval);
        if send_at > now {
            runtime::sleep_until(send_at).await;
        }
    }

    /// Reads the machine types on offer. Returns `None` if the request failed or its answer can't be decoded.
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

    /// Requests new machines. The outcome is unknown if there is no conclusive answer: machines may have been created.
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
            // A 503 means either that there is no capacity or, with "trouble" in its body, that the request failed.
            Ok(r) if r.status == 503 && !contains_bytes(&r.body, b"trouble") => {
                ScaleOutOutcome::NoCapacity
            }
            Ok(r) if r.status == 400 => ScaleOutOutcome::NoCapacity,
            _ => ScaleOutOutcome::Unknown,
        }
    }

    /// Deletes machines. Returns whether the cloud has confirmed their deletion.
    pub(crate) async fn delete(&self, ids: Vec<MachineId>) -> bool {
        self.wait_for_rate().await;
        let body = encode(&MachineNames { machines: ids });
        let result = self
            .client
            .send(Method::Post, "/machines/delete", &body, REQUEST_TIMEOUT)
            .await;
        matches!(result, Ok(r) if r.status == 200)
    }

    /// Lists all machines, page by page. Returns `None` if a page could not be read.
    pub(crate) async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            self.wait_for_rate().await;
            let after = all
                .last()
                .map_or(String::new(), |machine| format!("since={}&", machine.id));
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

fn contains_bytes(body: &[u8], needle: &[u8]) -> bool {
    body.windows(needle.len()).any(|w| w == needle)
}
