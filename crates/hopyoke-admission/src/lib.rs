//! What a node may ask of a service that all nodes share, by importance, without any I/O.
//!
//! The state service counts requests and changes of all nodes together, and refuses above its
//! limits whoever comes: leases and takeovers stand in line behind what users ask. So every node
//! keeps to its own part, which needs no agreement, and inside its part to an order:
//!
//! - [`Pace`]: one limit. Each [`Importance`] may take from the node's part only while more than its
//!   own floor is left, so what matters more always finds room, whatever the others offer.
//! - [`Gate`]: who is let in of those that ask for work, by team, and when those refused are to come back to the
//!   place that they keep.
//! - [`Need`]: what the leader's own records need of the changes, which it tells the others.
//! - [`Share`]: the changes that a node may spend on new work: by that word while it is fresh, and by
//!   what the nodes lend each other.
//!
//! - [`Door`]: the last three together.
//!
//! Time is a parameter everywhere: events and `now` in, decisions out.

mod bucket;
mod door;
mod gate;
mod line;
mod need;
mod pace;
mod share;
mod tenants;
mod words;

pub use door::Door;
pub use gate::{Gate, RetryAfter};
pub use need::Need;
pub use pace::{Bounds, Importance, Pace};
pub use share::Share;
pub use words::Word;
