//! Client of the Workflow Execution Service.

use crate::upload::{self, Form};
use crate::wire::{BASE_PATH, ErrorResponse, RunIdResponse, RunList, RunLog, RunStatus};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client as Http, Method, Response};
use hopyoke_types::Micros;
use serde::de::DeserializeOwned;
use std::net::{SocketAddr, ToSocketAddrs};

const REQUEST_TIMEOUT: Micros = Micros::from_secs(40);

/// Client of one service, authenticated by a bearer token.
pub struct Client {
    http: Http,
    /// Path prefix of all endpoints, ending in [`BASE_PATH`].
    base_path: String,
    headers: String,
    /// How long a request is retried.
    retry_timeout: Micros,
}

impl Client {
    /// Creates a client for `url`, which is `http://HOST[:PORT]`, optionally followed by the path of the service.
    ///
    /// # Errors
    /// Returns a message if the URL is malformed, its host has no IPv4 address or the token contains control
    /// characters.
    pub fn new(url: &str, token: &str, retry_timeout: Micros) -> Result<Client, String> {
        let rest = url
            .strip_prefix("http://")
            .ok_or_else(|| format!("{url}: must start with http://"))?;
        let (host, path) = rest.split_once('/').unwrap_or((rest, ""));
        let with_port = if host.contains(':') {
            host.to_owned()
        } else {
            format!("{host}:80")
        };
        let addr: SocketAddr = with_port
            .to_socket_addrs()
            .map_err(|e| format!("{host}: {e}"))?
            .find(SocketAddr::is_ipv4)
            .ok_or_else(|| format!("{host}: no IPv4 address"))?;
        if token.chars().any(char::is_control) {
            return Err("the token contains control characters".into());
        }
        let path = format!("/{}", path.trim_matches('/'));
        let base_path = if path.ends_with(BASE_PATH) {
            path
        } else {
            format!("{}{BASE_PATH}", path.trim_end_matches('/'))
        };
        Ok(Client {
            http: Http::new(addr),
            base_path,
            headers: format!("Authorization: Bearer {token}\r\n"),
            retry_timeout,
        })
    }

    /// Sends a request, retrying connection errors and the statuses 429 and 503 with backoff.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: (&str, &[u8]),
    ) -> Result<T, String> {
        let deadline = runtime::now() + self.retry_timeout;
        let mut backoff = Micros::from_millis(300);
        loop {
            let path = format!("{}{path}", self.base_path);
            let (error, delay) = match self
                .http
                .send_with_headers(method, &path, body, &self.headers, REQUEST_TIMEOUT)
                .await
            {
                Ok(r) if r.status < 300 => {
                    return serde_json::from_slice(&r.body)
                        .map_err(|e| format!("invalid response: {e}"));
                }
                Ok(r) if !matches!(r.status, 429 | 503) => return Err(error_text(&r)),
                Ok(r) => (
                    error_text(&r),
                    Micros::from_secs(u64::from(r.retry_after_s.unwrap_or(0).min(30))),
                ),
                Err(e) => (e.to_string(), Micros::ZERO),
            };
            let delay = delay.max(Micros(
                backoff.0 / 2 + rand::random_range(0..=backoff.0 / 2),
            ));
            if runtime::now() + delay >= deadline {
                return Err(error);
            }
            runtime::sleep(delay).await;
            backoff = Micros((backoff.0 * 2).min(5_000_000));
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        self.call(Method::Get, path, ("application/json", &[]))
            .await
    }

    /// Submits a run and returns its id. The form should contain a `key`, which makes a retry idempotent.
    ///
    /// # Errors
    /// Returns the error message of the service or of the connection.
    pub async fn submit(&self, form: &Form) -> Result<String, String> {
        let (content_type, body) = upload::encode(form);
        let response: RunIdResponse = self
            .call(Method::Post, "/runs", (&content_type, &body))
            .await?;
        Ok(response.run_id)
    }

    /// Returns the state and progress of a run.
    ///
    /// # Errors
    /// As [`Client::submit`].
    pub async fn status(&self, run: &str) -> Result<RunStatus, String> {
        self.get(&format!("/runs/{run}/status")).await
    }

    /// Returns the log of a run, including its outputs.
    ///
    /// # Errors
    /// As [`Client::submit`].
    pub async fn log(&self, run: &str) -> Result<RunLog, String> {
        self.get(&format!("/runs/{run}")).await
    }

    /// Returns the page of runs at a page token; an empty token requests the first page.
    ///
    /// # Errors
    /// As [`Client::submit`].
    pub async fn list(&self, token: &str) -> Result<RunList, String> {
        self.get(&format!("/runs?page_token={token}")).await
    }

    /// Applies `action` (`cancel` or `resume`) to a run and returns the id of the cancelled or the new run.
    ///
    /// # Errors
    /// As [`Client::submit`].
    pub async fn change(&self, run: &str, action: &str) -> Result<String, String> {
        let path = format!("/runs/{run}/{action}");
        let response: RunIdResponse = self
            .call(Method::Post, &path, ("application/json", b"{}"))
            .await?;
        Ok(response.run_id)
    }
}

fn error_text(r: &Response) -> String {
    match serde_json::from_slice::<ErrorResponse>(&r.body) {
        Ok(p) => format!("{} ({})", p.msg, r.status),
        Err(_) => format!("status {}", r.status),
    }
}
