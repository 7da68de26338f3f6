//! The controllers, whichever of them answers. Every call here may be repeated: it changes nothing
//! the second time.

use hopyoke::peers::client::call_workflows;
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{FlowRequest, FlowResponse};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::Cell;
use std::net::SocketAddr;
use tracing::debug;

pub struct Controllers {
    addrs: Vec<SocketAddr>,
    /// The one that answered last is asked first.
    first: Cell<usize>,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{error}")]
pub struct Refused {
    /// As in HTTP.
    pub status: u16,
    pub error: String,
    pub retry_after_s: Option<u32>,
}

impl Refused {
    pub fn new(status: u16, error: impl Into<String>) -> Refused {
        Refused {
            status,
            error: error.into(),
            retry_after_s: (status == 503).then_some(1),
        }
    }
}

impl Controllers {
    pub fn new(addrs: Vec<SocketAddr>) -> Controllers {
        Controllers {
            addrs,
            first: Cell::new(0),
        }
    }

    /// Asks one after the other until one decides, until `patience` has passed.
    ///
    /// # Errors
    /// What the last one said.
    pub async fn ask(&self, ask: Operation, patience: Micros) -> Result<FlowResponse, Refused> {
        let until = runtime::now() + patience;
        let mut last = Refused::new(503, "no controller answers");
        let mut pause = Micros::from_millis(100);
        loop {
            for i in 0..self.addrs.len() {
                let at = (self.first.get() + i) % self.addrs.len();
                let addr = self.addrs[at];
                match call_workflows(
                    addr,
                    FlowRequest {
                        operation: Some(ask.clone()),
                    },
                )
                .await
                {
                    Ok(a) if a.status < 400 => {
                        self.first.set(at);
                        return Ok(a);
                    }
                    Ok(a) => {
                        let status = u16::try_from(a.status).unwrap_or(500);
                        let retry_after_s = (a.retry_after_s > 0).then_some(a.retry_after_s);
                        last = Refused {
                            status,
                            error: a.error,
                            retry_after_s,
                        };
                        // Another may take runs, or reach the state service.
                        if !matches!(status, 501 | 503) {
                            return Err(last);
                        }
                    }
                    Err(e) => {
                        debug!(%addr, error = %e, "controller not reached");
                        last = Refused::new(503, format!("{addr}: {e}"));
                    }
                }
            }
            if runtime::now() + pause >= until {
                return Err(last);
            }
            runtime::sleep(Micros(pause.0 / 2 + rand::random_range(0..=pause.0 / 2))).await;
            pause = Micros((pause.0 * 2).min(2_000_000));
        }
    }
}
