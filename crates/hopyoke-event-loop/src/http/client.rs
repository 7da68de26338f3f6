//! A client for one address with kept-alive connections.

use super::message::{MSGPACK, ReadError, Reader};
use super::{Method, Response};
use crate::{self as runtime, TcpStream};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The state service's watches have no size limit; this bounds what one answer may cost.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
const MAX_IDLE: usize = 8;
const MAX_OPEN: usize = 64;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request was certainly not executed.
    #[error("not sent: {0}")]
    NotSent(&'static str),
    /// The request may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
}

/// A pool of connections to one address.
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: RefCell<Vec<TcpStream>>,
    open: Cell<usize>,
}

struct OpenGuard<'a>(&'a Cell<usize>);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            host: addr.to_string(),
            idle: RefCell::default(),
            open: Cell::new(0),
        }
    }

    /// Sends a request and waits for its answer, `limit` at most in all.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, ClientError> {
        self.send_as(method, path, (MSGPACK, body), "", limit).await
    }

    /// The same, if `may` still holds when the connection stands and the first byte is about to be
    /// written: connecting can take as long as this process is behind.
    pub async fn send_while(
        &self,
        may: impl Fn() -> bool,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, ClientError> {
        self.send_if(&may, method, path, (MSGPACK, body), "", limit)
            .await
    }

    /// The same with a body of any type, and further header lines, each with its end.
    pub async fn send_as(
        &self,
        method: Method,
        path: &str,
        body: (&str, &[u8]),
        headers: &str,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        self.send_if(&|| true, method, path, body, headers, limit)
            .await
    }

    async fn send_if(
        &self,
        may: &dyn Fn() -> bool,
        method: Method,
        path: &str,
        body: (&str, &[u8]),
        headers: &str,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        if self.open.get() >= MAX_OPEN {
            return Err(ClientError::NotSent("too many requests open"));
        }
        self.open.set(self.open.get() + 1);
        let _guard = OpenGuard(&self.open);
        let deadline = runtime::now() + limit;
        let stream = match self.pooled() {
            Some(s) => s,
            None => TcpStream::connect(self.addr, limit)
                .await
                .map_err(|_| ClientError::NotSent("no connection"))?,
        };
        if !may() {
            return Err(ClientError::NotSent("it may no longer be sent"));
        }
        let left = deadline - runtime::now();
        match runtime::timeout(left, self.exchange(&stream, method, path, body, headers)).await {
            Ok(Ok((response, keep))) => {
                if keep && self.idle.borrow().len() < MAX_IDLE {
                    self.idle.borrow_mut().push(stream);
                }
                Ok(response)
            }
            Ok(Err(_)) | Err(_) => Err(ClientError::Unknown),
        }
    }

    fn pooled(&self) -> Option<TcpStream> {
        loop {
            let stream = self.idle.borrow_mut().pop()?;
            if !stream.is_stale() {
                return Some(stream);
            }
        }
    }

    async fn exchange(
        &self,
        stream: &TcpStream,
        method: Method,
        path: &str,
        (content_type, body): (&str, &[u8]),
        headers: &str,
    ) -> Result<(Response, bool), ReadError> {
        use std::io::Write;
        let mut out = Vec::with_capacity(128 + path.len() + body.len());
        let _ = write!(
            out,
            "{} {} HTTP/1.1\r\nHost: {}\r\n{headers}",
            method.as_str(),
            path,
            self.host
        );
        if !body.is_empty() || method == Method::Post {
            let _ = write!(
                out,
                "Content-Type: {content_type}\r\nContent-Length: {}\r\n",
                body.len()
            );
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        stream.write_all(&out).await?;
        let mut reader = Reader::default();
        let mut head = reader.head(stream, false).await?;
        while head.status == 100 {
            head = reader.head(stream, false).await?;
        }
        let body = reader.body(stream, &head, MAX_ANSWER).await?;
        let keep = !head.close && !reader.has_some();
        let retry_after_s = head.retry_after_s;
        Ok((
            Response {
                body,
                retry_after_s,
                ..Response::empty(head.status)
            },
            keep,
        ))
    }
}
