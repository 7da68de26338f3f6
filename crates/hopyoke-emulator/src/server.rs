//! HTTP servers on loopback, and parsing of request targets.

use hopyoke_event_loop::http::{self, OpenConnections, Request, Response, ServerLimits};
use hopyoke_event_loop::{self as runtime, CancellationToken, TcpListener};
use hopyoke_types::Micros;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Serves requests on an ephemeral loopback port until cancelled, and returns the address.
///
/// # Errors
/// Returns an error if it cannot listen.
pub(crate) fn serve<F, G>(cancel: &CancellationToken, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Request) -> G + 'static,
    G: Future<Output = Response> + 'static,
{
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let addr = listener.local_addr()?;
    let limits = ServerLimits {
        max_connections: 4000,
        max_persistent_connections: 4000,
        idle_timeout: Micros::from_secs(600),
        request_timeout: Micros::from_secs(30),
        max_body_bytes: 1 << 20,
    };
    let handler = Rc::new(move |request: Request| Box::pin(handler(request)) as _);
    let token = cancel.clone();
    runtime::spawn_until(cancel.clone(), async move {
        http::serve(listener, limits, OpenConnections::default(), token, handler).await
    });
    Ok(addr)
}

/// Splits a request target into path and query.
pub(crate) fn target(path: &str) -> (&str, Query<'_>) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let pairs = query.split('&').filter_map(|p| p.split_once('=')).collect();
    (path, Query(pairs))
}

/// Query parameters, not percent-decoded.
pub(crate) struct Query<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Query<'a> {
    /// Returns the value of a parameter, or an empty string if it is missing.
    pub(crate) fn text(&self, name: &str) -> &'a str {
        let pair = self.0.iter().find(|(key, _)| *key == name);
        pair.map_or("", |(_, value)| value)
    }

    /// Returns the value of a numeric parameter, or `None` if it is missing or malformed.
    pub(crate) fn number<N: std::str::FromStr>(&self, name: &str) -> Option<N> {
        self.text(name).parse().ok()
    }
}
