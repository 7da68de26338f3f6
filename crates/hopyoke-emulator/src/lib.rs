//! A site on loopback: stand-ins of the state service, the cloud and the workers, by the published
//! protocol, around real controller processes. For tests, figures and trying things out; not for
//! work that matters.
//!
//! What the stand-ins leave out: workers run no commands (a task takes its job's estimate, times a
//! factor), gangs start together but do not lose members, and spot machines are never taken.

pub mod cloud;
pub mod site;
pub mod state;
pub mod worker;

use hopyoke_event_loop::http::{self, OpenConnections, Request, Response, ServerLimits};
use hopyoke_event_loop::{self as runtime, CancellationToken, TcpListener};
use hopyoke_types::Micros;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Serves requests on a loopback port of the system's choice.
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
    let end = cancel.clone();
    runtime::spawn_until(cancel.clone(), async move {
        http::serve(listener, limits, OpenConnections::default(), end, handler).await
    });
    Ok(addr)
}

/// A path without its query, and the query's pairs.
pub(crate) fn target(path: &str) -> (&str, Vec<(&str, &str)>) {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    (
        path,
        query.split('&').filter_map(|p| p.split_once('=')).collect(),
    )
}

pub(crate) fn param<'a>(query: &[(&'a str, &'a str)], name: &str) -> Option<&'a str> {
    query.iter().find(|(k, _)| *k == name).map(|(_, v)| *v)
}
