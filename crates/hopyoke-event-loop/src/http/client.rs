//! A client for one address with kept-alive connections.

use super::error::ReadError;
use super::head::MessageKind;
use super::message::{MSGPACK, Method, Response};
use super::reader::Reader;
use crate::{self as runtime, TcpStream};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// In bytes. Responses to the key-value store's watches have no limit of their own; this bounds the memory of one.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Connections kept open between requests.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Requests under way at once.
const MAX_OPEN_REQUESTS: usize = 64;

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request was certainly not executed.
    #[error("not sent: {0}")]
    NotSent(NotSent),
    /// The request may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
}

/// Why a request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotSent {
    /// The client has as many requests under way as it may have.
    #[error("too many requests open")]
    TooManyOpen,
    /// No connection could be established in time.
    #[error("no connection")]
    NoConnection,
    /// The caller's condition no longer held when the connection was ready.
    #[error("it may no longer be sent")]
    ConditionFailed,
}

impl From<NotSent> for ClientError {
    fn from(reason: NotSent) -> ClientError {
        ClientError::NotSent(reason)
    }
}

/// An HTTP client of one address, with a pool of connections.
pub struct Client {
    addr: SocketAddr,
    host: String,
    idle: RefCell<Vec<TcpStream>>,
    open_requests: Cell<usize>,
}

/// Counts a request as under way while it lives.
struct OpenGuard<'a>(&'a Cell<usize>);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Client {
    /// A client without connections; each is made when a request needs it.
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            host: addr.to_string(),
            idle: RefCell::default(),
            open_requests: Cell::new(0),
        }
    }

    /// Sends a request with a MessagePack body and waits for its response, `limit` at most in all.
    ///
    /// # Errors
    /// [`ClientError`] tells whether the request may have been executed.
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

    /// As [`Client::send`], provided that `is_permitted` still holds once the connection stands and the first byte is
    /// about to be written: connecting can take as long as this process lags behind.
    ///
    /// # Errors
    /// As for [`Client::send`], and [`NotSent::ConditionFailed`].
    pub async fn send_if(
        &self,
        is_permitted: impl Fn() -> bool,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Micros,
    ) -> Result<Response, ClientError> {
        let message = Outgoing {
            method,
            path,
            content_type: MSGPACK,
            body,
            headers: "",
        };
        self.send_outgoing(&is_permitted, message, limit).await
    }

    /// As [`Client::send`], with a body of any content type (`(content_type, body)`) and further header lines, each
    /// with its line end.
    ///
    /// # Errors
    /// As for [`Client::send`].
    pub async fn send_with_headers(
        &self,
        method: Method,
        path: &str,
        (content_type, body): (&str, &[u8]),
        headers: &str,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        let message = Outgoing {
            method,
            path,
            content_type,
            body,
            headers,
        };
        self.send_outgoing(&|| true, message, limit).await
    }

    async fn send_outgoing(
        &self,
        is_permitted: &dyn Fn() -> bool,
        message: Outgoing<'_>,
        limit: Micros,
    ) -> Result<Response, ClientError> {
        if self.open_requests.get() >= MAX_OPEN_REQUESTS {
            return Err(NotSent::TooManyOpen.into());
        }
        self.open_requests.set(self.open_requests.get() + 1);
        let _guard = OpenGuard(&self.open_requests);
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
        match runtime::timeout(remaining, self.exchange(&stream, &message)).await {
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

    /// Writes a request and reads its response, and whether the connection can be used again.
    async fn exchange(
        &self,
        stream: &TcpStream,
        message: &Outgoing<'_>,
    ) -> Result<(Response, bool), ReadError> {
        stream.write_all(&message.encode(&self.host)).await?;
        let mut reader = Reader::default();
        let mut head = reader.head(stream, MessageKind::Response).await?;
        while head.status == 100 {
            head = reader.head(stream, MessageKind::Response).await?;
        }
        let body = reader.body(stream, &head, MAX_RESPONSE_BYTES).await?;
        let is_reusable = !head.close && !reader.has_buffered();
        let response = Response {
            body,
            retry_after_s: head.retry_after_s,
            ..Response::empty(head.status)
        };
        Ok((response, is_reusable))
    }
}

/// A request to be sent.
struct Outgoing<'a> {
    method: Method,
    path: &'a str,
    content_type: &'a str,
    body: &'a [u8],
    /// Further header lines, each with its line end.
    headers: &'a str,
}

impl Outgoing<'_> {
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
