//! The service from the other side.

use crate::upload::{self, Form};
use crate::wire::{BASE, Problem, RunIdAnswer, RunList, RunLog, RunStatus};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::{Client as Http, Method, Response};
use hopyoke_types::Micros;
use serde::de::DeserializeOwned;
use std::net::{SocketAddr, ToSocketAddrs};

const LIMIT: Micros = Micros::from_secs(40);

pub struct Client {
    http: Http,
    /// Path before the service's own.
    base: String,
    headers: String,
    /// How long what can be asked again is asked again.
    patience: Micros,
}

impl Client {
    /// `url`: `http://HOST:PORT`, perhaps with the service's path.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn new(url: &str, token: &str, patience: Micros) -> Result<Client, String> {
        let rest = url
            .strip_prefix("http://")
            .ok_or_else(|| format!("{url}: must begin with http://"))?;
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
            .ok_or_else(|| format!("{host}: no address"))?;
        if token.chars().any(char::is_control) {
            return Err("the token holds control characters".into());
        }
        let path = format!("/{}", path.trim_matches('/'));
        let base = if path.ends_with(BASE) {
            path
        } else {
            format!("{}{BASE}", path.trim_end_matches('/'))
        };
        Ok(Client {
            http: Http::new(addr),
            base,
            headers: format!("Authorization: Bearer {token}\r\n"),
            patience,
        })
    }

    /// Sends a request; what can be asked again is.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: (&str, &[u8]),
    ) -> Result<T, String> {
        let until = runtime::now() + self.patience;
        let mut pause = Micros::from_millis(300);
        loop {
            let path = format!("{}{path}", self.base);
            let (why, wait) = match self
                .http
                .send_with_headers(method, &path, body, &self.headers, LIMIT)
                .await
            {
                Ok(r) if r.status < 300 => {
                    return serde_json::from_slice(&r.body)
                        .map_err(|e| format!("unreadable answer: {e}"));
                }
                Ok(r) if !matches!(r.status, 429 | 503) => return Err(said(&r)),
                Ok(r) => (
                    said(&r),
                    Micros::from_secs(u64::from(r.retry_after_s.unwrap_or(0).min(30))),
                ),
                Err(e) => (e.to_string(), Micros::ZERO),
            };
            let wait = wait.max(Micros(pause.0 / 2 + rand::random_range(0..=pause.0 / 2)));
            if runtime::now() + wait >= until {
                return Err(why);
            }
            runtime::sleep(wait).await;
            pause = Micros((pause.0 * 2).min(5_000_000));
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        self.call(Method::Get, path, ("application/json", &[]))
            .await
    }

    /// Submits a run. The form should hold a `key`, so that asking again starts no second one.
    ///
    /// # Errors
    /// What the service said.
    pub async fn submit(&self, form: &Form) -> Result<String, String> {
        let (content_type, body) = upload::write(form);
        let answer: RunIdAnswer = self
            .call(Method::Post, "/runs", (&content_type, &body))
            .await?;
        Ok(answer.run_id)
    }

    /// # Errors
    /// What the service said.
    pub async fn status(&self, run: &str) -> Result<RunStatus, String> {
        self.get(&format!("/runs/{run}/status")).await
    }

    /// # Errors
    /// What the service said.
    pub async fn log(&self, run: &str) -> Result<RunLog, String> {
        self.get(&format!("/runs/{run}")).await
    }

    /// # Errors
    /// What the service said.
    pub async fn list(&self, token: &str) -> Result<RunList, String> {
        self.get(&format!("/runs?page_token={token}")).await
    }

    /// `verb`: `cancel` or `resume`.
    ///
    /// # Errors
    /// What the service said.
    pub async fn change(&self, run: &str, verb: &str) -> Result<String, String> {
        let path = format!("/runs/{run}/{verb}");
        let answer: RunIdAnswer = self
            .call(Method::Post, &path, ("application/json", b"{}"))
            .await?;
        Ok(answer.run_id)
    }
}

fn said(r: &Response) -> String {
    match serde_json::from_slice::<Problem>(&r.body) {
        Ok(p) => format!("{} ({})", p.msg, r.status),
        Err(_) => format!("status {}", r.status),
    }
}
