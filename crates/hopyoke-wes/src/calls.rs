//! Calls to the controllers over the mesh, with failover. Every operation is idempotent and therefore safe
//! to retry.

use hopyoke::peers::client::call_workflows;
use hopyoke::peers::client::proto::flow_request::Operation;
use hopyoke::peers::client::proto::{FlowRequest, FlowResponse};
use hopyoke_event_loop as runtime;
use hopyoke_types::Micros;
use std::cell::Cell;
use std::net::SocketAddr;
use tracing::debug;

/// Client of a set of controllers, any of which can serve a call.
pub struct Controllers {
    addrs: Vec<SocketAddr>,
    /// Index of the controller that last served a call; the next call tries it first.
    preferred: Cell<usize>,
}

/// A failed call, with the response that it maps to.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// HTTP status code.
    pub status: u16,
    pub message: String,
    pub retry_after_s: Option<u32>,
}

impl ApiError {
    /// Creates an error; status 503 suggests a retry after one second.
    pub fn new(status: u16, message: impl Into<String>) -> ApiError {
        ApiError {
            status,
            message: message.into(),
            retry_after_s: (status == 503).then_some(1),
        }
    }
}

impl Controllers {
    pub fn new(addrs: Vec<SocketAddr>) -> Controllers {
        Controllers {
            addrs,
            preferred: Cell::new(0),
        }
    }

    /// Tries each controller in turn, with exponential backoff between rounds, until one completes or
    /// rejects the operation or `timeout` has passed.
    ///
    /// # Errors
    /// Returns the rejection, or the last error if `timeout` has passed.
    pub async fn call(
        &self,
        operation: Operation,
        timeout: Micros,
    ) -> Result<FlowResponse, ApiError> {
        let deadline = runtime::now() + timeout;
        let mut last_error = ApiError::new(503, "no controller responded");
        let mut backoff = Micros::from_millis(100);
        loop {
            for i in 0..self.addrs.len() {
                let index = (self.preferred.get() + i) % self.addrs.len();
                let addr = self.addrs[index];
                match call_workflows(
                    addr,
                    FlowRequest {
                        operation: Some(operation.clone()),
                    },
                )
                .await
                {
                    Ok(response) if response.status < 400 => {
                        self.preferred.set(index);
                        return Ok(response);
                    }
                    Ok(response) => {
                        let status = u16::try_from(response.status).unwrap_or(500);
                        let retry_after_s =
                            (response.retry_after_s > 0).then_some(response.retry_after_s);
                        last_error = ApiError {
                            status,
                            message: response.error,
                            retry_after_s,
                        };
                        // Another controller may accept runs or be able to reach the consensus store.
                        if !matches!(status, 501 | 503) {
                            return Err(last_error);
                        }
                    }
                    Err(e) => {
                        debug!(%addr, error = %e, "controller unreachable");
                        last_error = ApiError::new(503, format!("{addr}: {e}"));
                    }
                }
            }
            if runtime::now() + backoff >= deadline {
                return Err(last_error);
            }
            runtime::sleep(Micros(
                backoff.0 / 2 + rand::random_range(0..=backoff.0 / 2),
            ))
            .await;
            backoff = Micros((backoff.0 * 2).min(2_000_000));
        }
    }
}
