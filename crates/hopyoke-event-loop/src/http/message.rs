//! Requests, responses and the reading of both from a socket.

use crate::TcpStream;
use serde::Serialize;
use std::io;

const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Method {
    Get,
    Post,
    Delete,
    #[default]
    Other,
}

impl Method {
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OTHER",
        }
    }
}

#[derive(Debug, Default)]
pub struct Request {
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
    /// `Authorization`, if there is one.
    pub authorization: Option<String>,
    /// `Content-Type`, unless it is that of the platform's interfaces.
    pub content_type: Option<String>,
    pub(super) close: bool,
}

impl Request {
    pub fn new(method: Method, path: String, body: Vec<u8>) -> Request {
        Request {
            method,
            path,
            body,
            ..Request::default()
        }
    }
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whole seconds for a `Retry-After` header.
    pub retry_after_s: Option<u32>,
    pub content_type: &'static str,
    pub(super) close: bool,
}

/// What the platform's interfaces speak.
pub(super) const MSGPACK: &str = "application/msgpack";

impl Response {
    pub fn empty(status: u16) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after_s: None,
            content_type: MSGPACK,
            close: false,
        }
    }

    /// A body of the platform's interfaces.
    pub fn of<T: Serialize>(status: u16, body: &T) -> Response {
        Response {
            body: hopyoke_protocol::encode(body),
            ..Response::empty(status)
        }
    }

    /// Any other body.
    pub fn with_body(status: u16, content_type: &'static str, body: Vec<u8>) -> Response {
        Response {
            body,
            content_type,
            ..Response::empty(status)
        }
    }

    pub fn retry_after(mut self, seconds: u32) -> Response {
        self.retry_after_s = Some(seconds);
        self
    }

    /// The connection is closed after this response.
    pub fn closing(mut self) -> Response {
        self.close = true;
        self
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        use std::io::Write;
        let mut out = Vec::with_capacity(160 + self.body.len());
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.content_type,
            self.body.len()
        );
        if self.status == 401 {
            out.extend_from_slice(b"WWW-Authenticate: Bearer\r\n");
        }
        if let Some(s) = self.retry_after_s {
            let _ = write!(out, "Retry-After: {s}\r\n");
        }
        if self.close {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the peer closed the connection")]
    Closed,
    #[error("malformed: {0}")]
    Malformed(&'static str),
    #[error("body over the limit")]
    TooLarge,
}

/// What a message's head says.
pub struct Head {
    pub method: Method,
    pub path: String,
    pub status: u16,
    length: Option<usize>,
    chunked: bool,
    pub close: bool,
    pub expects_continue: bool,
    pub authorization: Option<String>,
    pub content_type: Option<String>,
    pub retry_after_s: Option<u32>,
}

/// Reads messages from one connection; keeps what was read beyond a message's end.
#[derive(Default)]
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// True if a part of the next message is here already.
    pub fn has_some(&self) -> bool {
        !self.buf.is_empty()
    }

    pub async fn fill(&mut self, stream: &TcpStream) -> Result<(), ReadError> {
        let mut chunk = [0u8; 4096];
        let n = stream.read(&mut chunk).await?;
        if n == 0 {
            return Err(ReadError::Closed);
        }
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    /// Reads a head: of a request if `request`, else of a response.
    pub async fn head(&mut self, stream: &TcpStream, request: bool) -> Result<Head, ReadError> {
        loop {
            if !self.buf.is_empty()
                && let Some((head, used)) = parse(&self.buf, request)?
            {
                self.buf.drain(..used);
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD {
                return Err(ReadError::Malformed("head too long"));
            }
            self.fill(stream).await?;
        }
    }

    /// Reads the body that `head` announces, up to `max` bytes, and refuses to read on past it.
    pub async fn body(
        &mut self,
        stream: &TcpStream,
        head: &Head,
        max: usize,
    ) -> Result<Vec<u8>, ReadError> {
        if head.chunked {
            return self.chunked(stream, max).await;
        }
        let n = head.length.unwrap_or(0);
        if n > max {
            return Err(ReadError::TooLarge);
        }
        self.take(stream, n).await
    }

    async fn take(&mut self, stream: &TcpStream, n: usize) -> Result<Vec<u8>, ReadError> {
        while self.buf.len() < n {
            if n - self.buf.len() <= 4096 {
                self.fill(stream).await?;
                continue;
            }
            // A long body in few reads.
            let mut chunk = vec![0u8; 32 * 1024];
            let got = stream.read(&mut chunk).await?;
            if got == 0 {
                return Err(ReadError::Closed);
            }
            self.buf.extend_from_slice(&chunk[..got]);
        }
        let rest = self.buf.split_off(n);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    async fn chunked(&mut self, stream: &TcpStream, max: usize) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let (used, size) = loop {
                match httparse::parse_chunk_size(&self.buf) {
                    Ok(httparse::Status::Complete(x)) => break x,
                    Ok(httparse::Status::Partial) if self.buf.len() <= 256 => {
                        self.fill(stream).await?
                    }
                    _ => return Err(ReadError::Malformed("chunk size")),
                }
            };
            self.buf.drain(..used);
            if size > max as u64 || body.len() + size as usize > max {
                return Err(ReadError::TooLarge);
            }
            if size == 0 {
                return self.trailers(stream).await.map(|()| body);
            }
            body.extend(self.take(stream, size as usize).await?);
            if self.take(stream, 2).await? != b"\r\n" {
                return Err(ReadError::Malformed("chunk end"));
            }
        }
    }

    async fn trailers(&mut self, stream: &TcpStream) -> Result<(), ReadError> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                self.buf.drain(..end + 2);
                if end == 0 {
                    return Ok(());
                }
            } else if self.buf.len() > MAX_HEAD {
                return Err(ReadError::Malformed("trailers too long"));
            } else {
                self.fill(stream).await?;
            }
        }
    }
}

fn parse(buf: &[u8], request: bool) -> Result<Option<(Head, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let bad = |_| ReadError::Malformed("head");
    let (mut head, used, version, headers) = if request {
        let mut r = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(used) = r.parse(buf).map_err(bad)? else {
            return Ok(None);
        };
        let method = match r.method {
            Some("GET") => Method::Get,
            Some("POST") => Method::Post,
            Some("DELETE") => Method::Delete,
            _ => Method::Other,
        };
        (
            blank(method, r.path.unwrap_or("/").to_owned(), 0),
            used,
            r.version,
            r.headers,
        )
    } else {
        let mut r = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(used) = r.parse(buf).map_err(bad)? else {
            return Ok(None);
        };
        (
            blank(Method::Other, String::new(), r.code.unwrap_or(0)),
            used,
            r.version,
            r.headers,
        )
    };
    head.close = version == Some(0);
    for h in headers.iter() {
        let value = std::str::from_utf8(h.value)
            .map_err(|_| ReadError::Malformed("header"))?
            .trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n: usize = value
                .parse()
                .map_err(|_| ReadError::Malformed("content-length"))?;
            if head.length.is_some_and(|m| m != n) {
                return Err(ReadError::Malformed("content-length"));
            }
            head.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(ReadError::Malformed("transfer-encoding"));
            }
            head.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            if value.eq_ignore_ascii_case("close") {
                head.close = true;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                head.close = false;
            }
        } else if h.name.eq_ignore_ascii_case("content-type") {
            if !value.eq_ignore_ascii_case(MSGPACK) {
                head.content_type = Some(value.to_owned());
            }
        } else if h.name.eq_ignore_ascii_case("retry-after") {
            head.retry_after_s = value.parse().ok();
        } else if h.name.eq_ignore_ascii_case("authorization") {
            head.authorization = Some(value.to_owned());
        } else if h.name.eq_ignore_ascii_case("expect") {
            head.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    if head.chunked && head.length.is_some() {
        return Err(ReadError::Malformed("both content-length and chunked"));
    }
    Ok(Some((head, used)))
}

fn blank(method: Method, path: String, status: u16) -> Head {
    Head {
        method,
        path,
        status,
        length: None,
        chunked: false,
        close: false,
        expects_continue: false,
        authorization: None,
        content_type: None,
        retry_after_s: None,
    }
}
