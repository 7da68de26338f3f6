//! Requests and responses.

use serde::Serialize;

/// Request method. Only the methods that the APIs use are distinguished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other method; never sent.
    #[default]
    Other,
}

impl Method {
    /// Returns the method's name for the request line.
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

/// A request as passed to a server's handler.
#[derive(Debug, Default)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target as sent: the percent-encoded path, with the query if there is one.
    pub path: String,
    /// The complete body; empty if there is none.
    pub body: Vec<u8>,
    /// `Authorization`, if present.
    pub authorization: Option<String>,
    /// `Content-Type`, unless it is `application/msgpack`.
    pub content_type: Option<String>,
}

impl Request {
    /// Creates a request with a MessagePack body and without authorization.
    pub fn new(method: Method, path: String, body: Vec<u8>) -> Request {
        Request {
            method,
            path,
            body,
            ..Request::default()
        }
    }
}

/// A response as returned by a handler or received by a client.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The complete body; empty if there is none.
    pub body: Vec<u8>,
    /// `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// `Content-Type`. A client doesn't set it from the received header; it is always `application/msgpack` there.
    pub content_type: &'static str,
    pub(super) close: bool,
}

/// Content type of the platform's APIs.
pub(super) const MSGPACK: &str = "application/msgpack";

impl Response {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after_s: None,
            content_type: MSGPACK,
            close: false,
        }
    }

    /// Creates a response with `body` encoded as MessagePack.
    pub fn msgpack<T: Serialize>(status: u16, body: &T) -> Response {
        Response {
            body: hopyoke_protocol::encode(body),
            ..Response::empty(status)
        }
    }

    /// Creates a response with a body of any content type.
    pub fn with_body(status: u16, content_type: &'static str, body: Vec<u8>) -> Response {
        Response {
            body,
            content_type,
            ..Response::empty(status)
        }
    }

    /// Sets `Retry-After`, in seconds.
    pub fn retry_after(mut self, seconds: u32) -> Response {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Closes the connection after the response.
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
            reason_phrase(self.status),
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

fn reason_phrase(status: u16) -> &'static str {
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
