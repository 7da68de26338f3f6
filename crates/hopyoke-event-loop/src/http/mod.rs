//! HTTP/1.1 over our own event loop, parsed by `httparse`: a server and a pooled client.

mod client;
mod message;
mod server;

pub use client::{Client, ClientError};
pub use message::{Method, Request, Response};
pub use server::{Limits, OpenCount, serve};
