//! The cloud: typed requests within its rate.

use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client, Method};
use hopyoke_protocol::cloud::{
    Catalog, ListedMachine, MachineList, MachineNames, MachineType, ScaleOutRequest,
};
use hopyoke_protocol::{decode, encode};
use hopyoke_scheduler::ScaleOutOutcome;
use hopyoke_types::MachineId;
use hopyoke_types::Micros;
use std::cell::Cell;
use std::net::SocketAddr;

pub struct Cloud {
    client: Client,
    /// Our share of the cloud's rate.
    rps: f64,
    next: Cell<Micros>,
}

const LIMIT: Micros = Micros::from_secs(8);
const LIST_PAGE: u32 = 500;

impl Cloud {
    pub fn new(addr: SocketAddr, rps: f64) -> Cloud {
        Cloud {
            client: Client::new(addr),
            rps: rps * 0.85,
            next: Cell::new(Micros::ZERO),
        }
    }

    /// Spaces requests out; every caller gets the next free moment. A burst of one second's
    /// worth goes at once.
    async fn pace(&self) {
        let step = Micros::from_secs_f64(1.0 / self.rps);
        let now = runtime::now();
        let at = self
            .next
            .get()
            .max(now.saturating_sub(Micros::from_secs(1)));
        self.next.set(at + step);
        if at > now {
            runtime::sleep_until(at).await;
        }
    }

    pub async fn catalog(&self) -> Option<Vec<MachineType>> {
        self.pace().await;
        let r = self
            .client
            .send(Method::Get, "/catalog", &[], LIMIT)
            .await
            .ok()?;
        (r.status == 200)
            .then(|| decode::<Catalog>(&r.body).ok())
            .flatten()
            .map(|c| c.types)
    }

    pub async fn rent(&self, rent: &ScaleOutRequest<'_>) -> ScaleOutOutcome {
        self.pace().await;
        match self
            .client
            .send(Method::Post, "/machines", &encode(rent), LIMIT)
            .await
        {
            Ok(r) if r.status == 200 => decode::<MachineNames>(&r.body)
                .map_or(ScaleOutOutcome::Unknown, |m| {
                    ScaleOutOutcome::Created(m.machines)
                }),
            // Both "no capacity" and "trouble" come as 503.
            Ok(r) if r.status == 503 && !has_word(&r.body, b"trouble") => {
                ScaleOutOutcome::NoCapacity
            }
            Ok(r) if r.status == 400 => ScaleOutOutcome::NoCapacity,
            _ => ScaleOutOutcome::Unknown,
        }
    }

    /// True once the cloud has confirmed that the machines are gone.
    pub async fn delete(&self, ids: Vec<MachineId>) -> bool {
        self.pace().await;
        let body = encode(&MachineNames { machines: ids });
        matches!(self.client.send(Method::Post, "/machines/delete", &body, LIMIT).await, Ok(r) if r.status == 200)
    }

    pub async fn list(&self) -> Option<Vec<ListedMachine>> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            self.pace().await;
            let since = all
                .last()
                .map_or(String::new(), |l| format!("since={}&", l.id));
            let path = format!("/machines?{since}most={LIST_PAGE}");
            let r = self
                .client
                .send(Method::Get, &path, &[], LIMIT)
                .await
                .ok()?;
            if r.status != 200 {
                return None;
            }
            let page: MachineList = decode(&r.body).ok()?;
            let more = page.more && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Some(all);
            }
        }
    }
}

fn has_word(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|w| w == word)
}
