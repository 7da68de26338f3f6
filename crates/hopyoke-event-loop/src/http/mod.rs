//! An HTTP/1.1 server and a client with a connection pool, based on the parser `httparse`.
//!
//! Bodies are read into memory as a whole. Streaming, pipelining and TLS aren't supported.

mod client;
mod error;
mod head;
mod message;
mod reader;
mod server;

pub use client::{Client, ClientError, NotSent};
pub use message::{Method, Request, Response};
pub use server::{OpenConnections, ServerLimits, serve};
