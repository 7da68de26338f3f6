//! HTTP client for one address, with persistent connections.

use super::error::ReadError;
use super::head::MessageKind;
use super::message::{MSGPACK, Method, Response};
use super::reader::Reader;
use crate::{self as runtime, TcpStream};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// Maximum size of a response, in bytes. Bounds memory, as responses to watches of the key-value store have no limit.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum number of concurrent requests.
const MAX_OPEN_REQUESTS: usize = 64;

/// Error of a request without a response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request wasn't sent, so it wasn't executed.
    #[error("not sent: {0}")]
    NotSent(NotSent),
    /// The request may have been executed, or may still be.
    #[error("no response")]
    Unknown,
}

/// Reason why a request wasn't sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotSent {
    /// The maximum number of concurrent requests is reached.
    #[error("too many concurrent requests")]
    TooManyOpen,
    /// No connection could be established in time.
    #[error("could not connect")]
    NoConnection,
    /// The caller's condition no longer held when the connection was ready.
    #[error("condition for sending no longer holds")]
    ConditionFailed,
}

impl From<NotSent> for ClientError {
    fn from(reason: NotSent) -> ClientError {
        ClientError::NotSent(reason)
    }
}

/// HTTP client for one address, with a connection pool.
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: RefCell<Vec<TcpStream>>,
    open_requests: Cell<usize>,
}

/// Counts a request as open until it is dropped.
struct OpenRequestGuard<'a>(&'a Cell<usize>);

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    /// Creates a client without connections; they are established on demand.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            host: addr.to_string(),
            idle: RefCell::default(),
            open_requests: Cell::new(0),
        }
    }

    /// Sends a request with a MessagePack body and waits for its response, for at most `limit` in total.
    ///
    /// # Errors
    /// Returns a [`ClientError`], which tells whether the request may have been executed.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, ClientError> {
        self.send_with_headers(method, path, (MSGPACK, body), "", limit)
            .await
    }

    /// Like [`Client::send`], but checks `is_permitted` after connecting, right before the first byte is written, as
    /// connecting takes longer when this process lags.
    ///
    /// # Errors
    /// Like [`Client::send`]. Returns [`NotSent::ConditionFailed`] if `is_permitted` returns false.
    pub async fn send_if(
        &self,
        is_permitted: impl Fn() -> bool,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, ClientError> {
        let request = OutgoingRequest {
            method,
            path,
            content_type: MSGPACK,
            body,
            headers: "",
        };
        self.send_request(&is_permitted, request, limit).await
    }

    /// Like [`Client::send`], with a body of any content type and additional header lines, each terminated by CRLF.
    ///
    /// # Errors
    /// Like [`Client::send`].
    pub async fn send_with_headers(
        &self,
        method: Method,
        path: &str,
        (content_type, body): (&str, &[u8]),
        headers: &str,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        let request = OutgoingRequest {
            method,
            path,
            content_type,
            body,
            headers,
        };
        self.send_request(&|| true, request, limit).await
    }

    async fn send_request(
        &self,
        is_permitted: &dyn Fn() -> bool,
        request: OutgoingRequest<'_>,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        if self.open_requests.get() >= MAX_OPEN_REQUESTS {
            return Err(NotSent::TooManyOpen.into());
        }
        self.open_requests.set(self.open_requests.get() + 1);
        let _guard = OpenRequestGuard(&self.open_requests);
        let deadline = runtime::now() + limit;
        let stream = match self.idle_connection() {
            Some(stream) => stream,
            None => TcpStream::connect(self.addr, limit)
                .await
                .map_err(|_| NotSent::NoConnection)?,
        };
        if !is_permitted() {
            return Err(NotSent::ConditionFailed.into());
        }
        let remaining = deadline - runtime::now();
        match runtime::timeout(remaining, self.exchange(&stream, &request)).await {
            Ok(Ok((response, is_reusable))) => {
                if is_reusable && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
                    self.idle.borrow_mut().push(stream);
                }
                Ok(response)
            }
            Ok(Err(_)) | Err(_) => Err(ClientError::Unknown),
        }
    }

    fn idle_connection(&self) -> Option<TcpStream> {
        loop {
            let stream = self.idle.borrow_mut().pop()?;
            if !stream.is_stale() {
                return Some(stream);
            }
        }
    }

    /// Writes a request and reads its response. Also returns whether the connection is reusable.
    async fn exchange(
        &self,
        stream: &TcpStream,
        request: &OutgoingRequest<'_>,
    ) -> Result<(Response, bool), ReadError> {
        stream.write_all(&request.encode(&self.host)).await?;
        let mut reader = Reader::default();
        let mut head = reader.read_head(stream, MessageKind::Response).await?;
        while head.status == 100 {
            head = reader.read_head(stream, MessageKind::Response).await?;
        }
        let body = reader.read_body(stream, &head, MAX_RESPONSE_BYTES).await?;
        let is_reusable = !head.close && !reader.has_buffered();
        let response = Response {
            body,
            retry_after_s: head.retry_after_s,
            ..Response::empty(head.status)
        };
        Ok((response, is_reusable))
    }
}

/// A request to send.
struct OutgoingRequest<'a> {
    method: Method,
    path: &'a str,
    content_type: &'a str,
    body: &'a [u8],
    /// Additional header lines, each terminated by CRLF.
    headers: &'a str,
}

impl OutgoingRequest<'_> {
    fn encode(&self, host: &str) -> Vec<u8> {
        use std::io::Write;
        let mut out = Vec::with_capacity(128 + self.path.len() + self.body.len());
        let _ = write!(
            out,
            "{} {} HTTP/1.1\r\nHost: {host}\r\n{}",
            self.method.as_str(),
            self.path,
            self.headers
        );
        if !self.body.is_empty() || self.method == Method::Post {
            let _ = write!(
                out,
                "Content-Type: {}\r\nContent-Length: {}\r\n",
                self.content_type,
                self.body.len()
            );
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(self.body);
        out
    }
}
