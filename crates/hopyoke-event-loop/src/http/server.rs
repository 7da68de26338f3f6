//! The server: a routine per connection, with caps on connections, bodies and time.

use super::message::{ReadError, Reader};
use super::{Request, Response};
use crate::{self as runtime, CancellationToken, TcpListener, TcpStream};
use futures_util::future::LocalBoxFuture;
use hopyoke_types::Micros;
use std::cell::Cell;
use std::rc::Rc;
use tracing::debug;

/// What one server allows its peers.
#[derive(Clone, Copy)]
pub struct Limits {
    pub connections: usize,
    /// With more open than this, each is closed after its answer: a peer that comes now and then
    /// holds a socket only while it asks. (Guards against peers that find no room because others
    /// sit idle.)
    pub crowded: usize,
    /// An idle connection is closed after this.
    pub idle: Micros,
    /// A request must be complete this long after its first byte.
    pub request: Micros,
    /// The largest body, in bytes.
    pub body: usize,
}

/// Connections that are open; clones count the same.
#[derive(Clone, Default)]
pub struct OpenCount(Rc<Cell<usize>>, Rc<Cell<Micros>>);

impl OpenCount {
    /// No new connection is taken before this: what a node has begun comes first. Those that come
    /// meanwhile wait, as far as there is room for that, or go elsewhere.
    pub fn hold_until(&self, time: Micros) {
        self.1.set(time);
    }

    pub fn count(&self) -> u64 {
        self.0.get() as u64
    }
}

type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;

/// Serves `listener` until cancelled.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    open: OpenCount,
    cancel: CancellationToken,
    handler: Handler,
) {
    let (open, held) = (open.0, open.1);
    loop {
        // In short spans: a hold may end early.
        while runtime::now() < held.get() {
            runtime::sleep(Micros::from_millis(25)).await;
        }
        let stream = match listener.accept().await {
            Ok(s) => s,
            Err(e) => {
                // Out of sockets: wait for some to be closed.
                debug!(error = %e, "accept failed");
                runtime::sleep(Micros::from_millis(50)).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            drop(stream);
            continue;
        }
        open.set(open.get() + 1);
        let guard = Open(open.clone());
        let (handler, open) = (handler.clone(), open.clone());
        runtime::spawn_until(cancel.clone(), async move {
            let _guard = guard;
            connection(stream, limits, &open, handler).await;
        });
    }
}

struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(serde::Serialize)]
struct Refusal<'a> {
    error: &'a str,
}

async fn connection(stream: TcpStream, limits: Limits, open: &Cell<usize>, handler: Handler) {
    let mut reader = Reader::default();
    loop {
        if !reader.has_some() {
            match runtime::timeout(limits.idle, reader.fill(&stream)).await {
                Ok(Ok(())) => {}
                _ => return,
            }
        }
        let request =
            match runtime::timeout(limits.request, read(&mut reader, &stream, limits.body)).await {
                Ok(Ok(r)) => r,
                Ok(Err(e @ (ReadError::Malformed(_) | ReadError::TooLarge))) => {
                    // 400 even for an oversized body: users retry any other status.
                    let refusal = Response::of(
                        400,
                        &Refusal {
                            error: &e.to_string(),
                        },
                    )
                    .closing();
                    let _ =
                        runtime::timeout(limits.request, stream.write_all(&refusal.encode())).await;
                    return;
                }
                _ => return,
            };
        let close = request.close;
        let mut response = handler(request).await;
        response.close |= close || open.get() > limits.crowded;
        match runtime::timeout(limits.request, stream.write_all(&response.encode())).await {
            Ok(Ok(())) if !response.close => {}
            _ => return,
        }
    }
}

async fn read(reader: &mut Reader, stream: &TcpStream, most: usize) -> Result<Request, ReadError> {
    let head = reader.head(stream, true).await?;
    if head.expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = reader.body(stream, &head, most).await?;
    Ok(Request {
        method: head.method,
        path: head.path,
        body,
        authorization: head.authorization,
        content_type: head.content_type,
        close: head.close,
    })
}
