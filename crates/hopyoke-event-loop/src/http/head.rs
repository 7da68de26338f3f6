//! Parses the heads of requests and responses.

use super::error::ReadError;
use super::message::{MSGPACK, Method};

/// Maximum number of header fields.
const MAX_HEADERS: usize = 48;

/// Kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    Request,
    Response,
}

/// Head of a message. `method` and `path` are set for a request, `status` for a response.
#[derive(Debug, Default)]
pub(super) struct Head {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) status: u16,
    /// `Content-Length`, in bytes.
    pub(super) content_length: Option<usize>,
    /// Whether `Transfer-Encoding` is `chunked`.
    pub(super) is_chunked: bool,
    /// Whether the connection is closed after this message.
    pub(super) close: bool,
    /// Whether `Expect` is `100-continue`.
    pub(super) expects_continue: bool,
    pub(super) authorization: Option<String>,
    /// `Content-Type`, unless it is `application/msgpack`.
    pub(super) content_type: Option<String>,
    /// `Retry-After` in seconds; `None` if it is absent or a date.
    pub(super) retry_after_s: Option<u32>,
}

/// Parses the head at the start of `buf`. Returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// Returns [`ReadError::Malformed`] if the head is invalid, has more than [`MAX_HEADERS`] fields, or has conflicting
/// body lengths, which would allow request smuggling.
pub(super) fn parse(buf: &[u8], kind: MessageKind) -> Result<Option<(Head, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let malformed = |_| ReadError::Malformed("head");
    let (mut head, length, version, headers) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = request.parse(buf).map_err(malformed)? else {
                return Ok(None);
            };
            let head = Head {
                method: request.method.map_or(Method::Other, Method::parse),
                path: request.path.unwrap_or("/").to_owned(),
                ..Head::default()
            };
            (head, length, request.version, request.headers)
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let httparse::Status::Complete(length) = response.parse(buf).map_err(malformed)? else {
                return Ok(None);
            };
            let head = Head {
                status: response.code.unwrap_or(0),
                ..Head::default()
            };
            (head, length, response.version, response.headers)
        }
    };
    head.close = version == Some(0);
    for header in headers.iter() {
        head.apply(header)?;
    }
    if head.is_chunked && head.content_length.is_some() {
        return Err(ReadError::Malformed("both content-length and chunked"));
    }
    Ok(Some((head, length)))
}

impl Head {
    fn apply(&mut self, header: &httparse::Header<'_>) -> Result<(), ReadError> {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| ReadError::Malformed("header"))?
            .trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let length: usize = value
                .parse()
                .map_err(|_| ReadError::Malformed("content-length"))?;
            if self.content_length.is_some_and(|other| other != length) {
                return Err(ReadError::Malformed("content-length"));
            }
            self.content_length = Some(length);
        } else if is("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(ReadError::Malformed("transfer-encoding"));
            }
            self.is_chunked = true;
        } else if is("connection") {
            if value.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                self.close = false;
            }
        } else if is("content-type") {
            if !value.eq_ignore_ascii_case(MSGPACK) {
                self.content_type = Some(value.to_owned());
            }
        } else if is("retry-after") {
            self.retry_after_s = value.parse().ok();
        } else if is("authorization") {
            self.authorization = Some(value.to_owned());
        } else if is("expect") {
            self.expects_continue = value.eq_ignore_ascii_case("100-continue");
        }
        Ok(())
    }
}
