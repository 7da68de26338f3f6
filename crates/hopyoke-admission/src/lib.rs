//! Whose turn it is among work that waits, without any I/O.
//!
//! [`turns`]: the order inside one tenant. Which tenant comes before which is decided elsewhere; the
//! places that a tenant's jobs hold together among all others stay the same. [`is_due`]: which gangs need
//! so much at once that turns don't serve them; [`is_overdue`]: which other jobs are at least to begin. [`KeptRoom`]: for
//! how long room is kept for those.

mod kept;
mod turns;
mod whole;

pub use kept::KeptRoom;
pub use turns::{MOST_WAIT, Waiting, take_turns};
pub use whole::{is_due, is_overdue};
