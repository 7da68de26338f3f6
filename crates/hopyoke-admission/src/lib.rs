//! Whose turn it is among work that waits, without any I/O.
//!
//! [`turns`]: the order inside one tenant. Which tenant comes before which is decided elsewhere; the
//! places that a tenant's jobs hold together among all others stay the same.

mod turns;

pub use turns::{MOST_WAIT, Waiting, take_turns};
