//! A single-threaded asynchronous runtime on `mio`, with timers, TCP sockets and HTTP/1.1.
//!
//! A spawned future is called a *routine*, as tasks are what the cluster runs. Each connection and each periodic job is
//! a routine; a [`CancellationToken`] ends one at its next suspension point. There is at most one runtime per thread.
//!
//! - [`run`], [`spawn`]: the executor, which polls routines that were woken by sockets, timers or other routines.
//! - [`now`], [`sleep`], [`timeout`]: the monotonic clock and timers; [`unix_time`]: the wall clock.
//! - [`Notify`], [`CancellationToken`]: signals between routines.
//! - [`TcpListener`], [`TcpStream`]: non-blocking sockets.
//! - [`http`]: an HTTP server and a client with a connection pool.

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
