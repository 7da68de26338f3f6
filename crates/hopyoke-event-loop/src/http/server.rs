//! HTTP server with a routine per connection and limits on connections, body size and time.

use super::error::ReadError;
use super::head::MessageKind;
use super::message::{Request, Response};
use super::reader::Reader;
use crate::{self as runtime, CancellationToken, TcpListener, TcpStream};
use futures_util::future::LocalBoxFuture;
use hopyoke_types::Micros;
use std::cell::Cell;
use std::rc::Rc;
use tracing::debug;

/// Limits on the resources that clients of a server use.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// If more connections than this are open, each is closed after its response. Guards against idle connections that
    /// leave no free ones to other clients.
    pub max_persistent_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Time limit for reading a request, from its first byte, and for writing its response.
    pub request_timeout: Micros,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Open connections of a server. Clones refer to the same server.
#[derive(Clone, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
    accept_paused_until: Rc<Cell<Micros>>,
}

impl OpenConnections {
    /// Pauses accepting new connections until `time`, so that requests in progress are served first. Replaces an
    /// earlier pause. New connections meanwhile wait in the operating system's backlog, while it has space.
    pub fn pause_accept_until(&self, time: Micros) {
        self.accept_paused_until.set(time);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> u64 {
        self.count.get() as u64
    }
}

/// Interval at which a paused server checks whether the pause was ended early.
const PAUSE_CHECK_INTERVAL: Micros = Micros::from_millis(25);
/// Delay after a failed accept, which usually means too many open files.
const ACCEPT_RETRY_DELAY: Micros = Micros::from_millis(50);

type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;

/// Serves connections of `listener` with `handler`, one request at a time per connection. When `cancel` is cancelled,
/// its connections are closed.
pub async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    open: OpenConnections,
    cancel: CancellationToken,
    handler: Handler,
) {
    let (count, paused_until) = (open.count, open.accept_paused_until);
    loop {
        while runtime::now() < paused_until.get() {
            runtime::sleep(PAUSE_CHECK_INTERVAL).await;
        }
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(e) => {
                debug!(error = %e, "accept failed");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if count.get() >= limits.max_connections {
            drop(stream);
            continue;
        }
        count.set(count.get() + 1);
        let guard = ConnectionGuard(count.clone());
        let (handler, count) = (handler.clone(), count.clone());
        runtime::spawn_until(cancel.clone(), async move {
            let _guard = guard;
            serve_connection(stream, limits, &count, handler).await;
        });
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(serde::Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

async fn serve_connection(
    stream: TcpStream,
    limits: ServerLimits,
    open_count: &Cell<usize>,
    handler: Handler,
) {
    let mut reader = Reader::default();
    loop {
        if !reader.has_buffered() {
            match runtime::timeout(limits.idle_timeout, reader.fill(&stream)).await {
                Ok(Ok(())) => {}
                _ => return,
            }
        }
        let read = read_request(&mut reader, &stream, limits.max_body_bytes);
        let (request, close) = match runtime::timeout(limits.request_timeout, read).await {
            Ok(Ok(read)) => read,
            Ok(Err(e @ (ReadError::Malformed(_) | ReadError::TooLarge))) => {
                let encoded = error_response(&e).encode();
                let _ = runtime::timeout(limits.request_timeout, stream.write_all(&encoded)).await;
                return;
            }
            _ => return,
        };
        let mut response = handler(request).await;
        response.close |= close || open_count.get() > limits.max_persistent_connections;
        let encoded = response.encode();
        match runtime::timeout(limits.request_timeout, stream.write_all(&encoded)).await {
            Ok(Ok(())) if !response.close => {}
            _ => return,
        }
    }
}

/// Returns a response with status 400, even for an oversized body, as clients retry on other statuses.
fn error_response(error: &ReadError) -> Response {
    let error = &error.to_string();
    Response::msgpack(400, &ErrorBody { error }).closing()
}

/// Reads a request. Also returns whether the connection is to be closed after it.
async fn read_request(
    reader: &mut Reader,
    stream: &TcpStream,
    max_body_bytes: usize,
) -> Result<(Request, bool), ReadError> {
    let head = reader.read_head(stream, MessageKind::Request).await?;
    if head.expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = reader.read_body(stream, &head, max_body_bytes).await?;
    let request = Request {
        method: head.method,
        path: head.path,
        body,
        authorization: head.authorization,
        content_type: head.content_type,
    };
    Ok((request, head.close))
}
