//! The server: a routine per connection, with limits on connections, bodies and time.

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

/// Bounds on what a server's peers take up.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub max_connections: usize,
    /// With more connections open than this, each is closed after its response: a peer that sends requests now and
    /// then holds a socket only meanwhile. (Guards against peers that find no free connection because others sit
    /// idle.)
    pub max_persistent_connections: usize,
    /// An idle connection is closed after this.
    pub idle_timeout: Micros,
    /// A request must be complete this long after its first byte, and a response be taken this long after it is ready.
    pub request_timeout: Micros,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// A server's open connections; clones refer to the same server.
#[derive(Clone, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
    accept_paused_until: Rc<Cell<Micros>>,
}

impl OpenConnections {
    /// Accepts no new connection before `time` (replaces an earlier one): requests already begun come first. Connections
    /// that arrive meanwhile wait in the operating system's backlog, as far as it goes.
    pub fn pause_accept_until(&self, time: Micros) {
        self.accept_paused_until.set(time);
    }

    /// How many are open.
    pub fn count(&self) -> u64 {
        self.count.get() as u64
    }
}

/// How often a paused server checks whether the pause was ended early.
const PAUSE_CHECK_INTERVAL: Micros = Micros::from_millis(25);
/// After a failed accept, for which sockets have usually run out.
const ACCEPT_RETRY_DELAY: Micros = Micros::from_millis(50);

type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;

/// Serves `listener` by `handler`, one request at a time on each connection. It and its connections end when `cancel`
/// is cancelled.
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

/// Counts a connection as open while it lives.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(serde::Serialize)]
struct Refusal<'a> {
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
                let refusal = refusal(&e).encode();
                let _ = runtime::timeout(limits.request_timeout, stream.write_all(&refusal)).await;
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

/// 400 even for an oversized body: users retry on any other status.
fn refusal(error: &ReadError) -> Response {
    let error = &error.to_string();
    Response::msgpack(400, &Refusal { error }).closing()
}

/// Reads a request, and whether the connection ends with it.
async fn read_request(
    reader: &mut Reader,
    stream: &TcpStream,
    max_body_bytes: usize,
) -> Result<(Request, bool), ReadError> {
    let head = reader.head(stream, MessageKind::Request).await?;
    if head.expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = reader.body(stream, &head, max_body_bytes).await?;
    let request = Request {
        method: head.method,
        path: head.path,
        body,
        authorization: head.authorization,
        content_type: head.content_type,
    };
    Ok((request, head.close))
}
