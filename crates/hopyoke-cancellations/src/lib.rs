//! Cancellations that users were told of, and which controllers may not know of them yet.
//!
//! A leader may outlive an outage of the state service while all its peers promise not to lead
//! (`hopyoke_core::entitlement`). It then hears of nothing from the service, so each promise has to
//! bring what the peer has told users since the leader last heard: else tasks of cancelled jobs would
//! be kept alive. (Guards `ran_cancelled`.) Three accounts, each without I/O:
//!
//! - [`Confirmed`], at every node: what was confirmed here, whoever wrote it, noted *before* the user is
//!   told. It is bounded by number; what it has forgotten is told apart by revision, and then nothing
//!   is promised.
//! - [`Delivered`], at the leader: how far it has each peer's account, so that an answer brings only
//!   what is new.
//! - [`Ended`], at the leader: jobs that are over, for as long as older news of them may still arrive.

mod confirmed;
mod delivered;
mod ended;

pub use confirmed::{Confirmed, Delta};
pub use delivered::{Cursor, Delivered};
pub use ended::Ended;
