//! Requests and responses.

use serde::Serialize;

/// A request's method, as far as the interfaces have use for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other; it is never sent.
    #[default]
    Other,
}

impl Method {
    /// The method's name in a request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OTHER",
        }
    }

    pub(super) fn parse(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => Method::Other,
        }
    }
}

/// A request as a server's handler gets it.
#[derive(Debug, Default)]
pub struct Request {
    /// What is to be done.
    pub method: Method,
    /// The target as sent: the path, percent-encoded, with its query if there is one.
    pub path: String,
    /// The whole body; empty if there is none.
    pub body: Vec<u8>,
    /// `Authorization`, if there is one.
    pub authorization: Option<String>,
    /// `Content-Type`, unless it is that of the platform's interfaces.
    pub content_type: Option<String>,
}

impl Request {
    /// A request without an authorization, of the content type of the platform's interfaces.
    pub fn new(method: Method, path: String, body: Vec<u8>) -> Request {
        Request {
            method,
            path,
            body,
            ..Request::default()
        }
    }
}

/// A response, as a handler gives it and a client gets it.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The whole body; empty if there is none.
    pub body: Vec<u8>,
    /// `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// `Content-Type`; a client leaves it at that of the platform's interfaces, whatever was received.
    pub content_type: &'static str,
    pub(super) close: bool,
}

/// The content type of the platform's interfaces.
pub(super) const MSGPACK: &str = "application/msgpack";

impl Response {
    /// A response without a body.
    pub fn empty(status: u16) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after_s: None,
            content_type: MSGPACK,
            close: false,
        }
    }

    /// `body` as MessagePack, the form of the platform's interfaces.
    pub fn msgpack<T: Serialize>(status: u16, body: &T) -> Response {
        Response {
            body: hopyoke_protocol::encode(body),
            ..Response::empty(status)
        }
    }

    /// A body of any other content type.
    pub fn with_body(status: u16, content_type: &'static str, body: Vec<u8>) -> Response {
        Response {
            body,
            content_type,
            ..Response::empty(status)
        }
    }

    /// With a `Retry-After` of whole seconds.
    pub fn retry_after(mut self, seconds: u32) -> Response {
        self.retry_after_s = Some(seconds);
        self
    }

    /// With the connection closed after it.
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
