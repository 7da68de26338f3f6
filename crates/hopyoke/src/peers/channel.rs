//! HTTP/2 connections to other controllers: hyper on the event loop, as a transport for `tonic`.

use hopyoke_event_loop::{self as runtime, CancellationToken, TcpStream};
use hopyoke_types::Micros;
use hyper::body::Incoming;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};

const CONNECT_TIMEOUT: Micros = Micros::from_millis(700);

/// Runs hyper's futures on this thread's event loop.
#[derive(Clone, Copy)]
pub(crate) struct LocalExec;

impl<F: Future<Output: 'static> + 'static> hyper::rt::Executor<F> for LocalExec {
    fn execute(&self, future: F) {
        runtime::spawn(async move {
            future.await;
        });
    }
}

/// Channel of a client: one HTTP/2 connection.
#[derive(Clone)]
pub(crate) struct Channel(hyper::client::conn::http2::SendRequest<tonic::body::Body>);

impl Channel {
    /// Connects to `addr`. Cancelling `cancel` closes the connection.
    pub(super) async fn connect(
        addr: SocketAddr,
        cancel: &CancellationToken,
    ) -> io::Result<Channel> {
        let stream = TcpStream::connect(addr, CONNECT_TIMEOUT).await?;
        let (sender, connection) = hyper::client::conn::http2::handshake(LocalExec, stream)
            .await
            .map_err(io::Error::other)?;
        runtime::spawn_until(cancel.clone(), async move {
            let _ = connection.await;
        });
        Ok(Channel(sender))
    }
}

impl tower_service::Service<http::Request<tonic::body::Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = std::pin::Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> Self::Future {
        // HTTP/2 requires an absolute URI; the server ignores its authority.
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        if let Ok(uri) = format!("http://mesh{path}").parse() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.0.send_request(request))
    }
}
