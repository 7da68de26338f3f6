//! HTTP/1.1 on the event loop, parsed by `httparse`: a server and a pooled client.
//!
//! Bodies are read whole; there is no streaming, pipelining or TLS.

mod client;
mod error;
mod head;
mod message;
mod reader;
mod server;

pub use client::{Client, ClientError, NotSent};
pub use message::{Method, Request, Response};
pub use server::{OpenConnections, ServerLimits, serve};
