//! A single-threaded asynchronous runtime on `mio`, with timers, TCP sockets and HTTP/1.1.
//!
//! Futures are called *routines* here, since a task is what the cluster runs. Each connection and each periodic duty is a
//! routine of its own; a [`CancellationToken`] ends one at its next suspension point. One runtime runs per thread.
//!
//! - [`run`], [`spawn`]: the executor, which polls routines whose sockets, timers or wakers are ready.
//! - [`now`], [`sleep`], [`timeout`]: the monotonic clock and its timers.
//! - [`Notify`], [`CancellationToken`]: signals between routines.
//! - [`TcpListener`], [`TcpStream`]: non-blocking sockets.
//! - [`http`]: a server and a pooled client on these sockets.

mod cancel;
mod executor;
pub mod http;
mod net;
mod notify;
mod timer;

pub use cancel::CancellationToken;
pub use executor::{run, spawn, spawn_until};
pub use net::{TcpListener, TcpStream};
pub use notify::Notify;
pub use timer::{Sleep, TimedOut, now, sleep, sleep_until, timeout, unix_time};
