//! Deadlines of users' requests. Each request has one deadline, which all requests to peers and to the key-value store
//! made on its behalf share.

use hopyoke_consistency::deadline::{TRANSFER_MARGIN, USER_POLL_TIMEOUT, USER_WRITE_TIMEOUT};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::Method;
use hopyoke_types::Micros;

/// The time by which a user's request must be answered, by this node's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestDeadline(Micros);

impl RequestDeadline {
    /// Returns the deadline of a request that arrives now.
    pub(crate) fn for_request(method: Method) -> RequestDeadline {
        let user_timeout = match method {
            Method::Get => USER_POLL_TIMEOUT,
            _ => USER_WRITE_TIMEOUT,
        };
        RequestDeadline(runtime::now() + user_timeout - TRANSFER_MARGIN)
    }

    /// Returns the deadline of a request that arrives now from a peer, which waits for the answer for `remaining`. Zero
    /// means that the peer gave no limit.
    pub(crate) fn for_forwarded_request(method: Method, remaining: Micros) -> RequestDeadline {
        let deadline = RequestDeadline::for_request(method);
        if remaining == Micros::ZERO {
            return deadline;
        }
        RequestDeadline(deadline.0.min(runtime::now() + remaining))
    }

    /// Returns the deadline as a time of this node's monotonic clock.
    pub(crate) fn at(self) -> Micros {
        self.0
    }

    /// Returns the time left until the deadline; zero once it has passed.
    pub(crate) fn remaining(self) -> Micros {
        self.0.saturating_sub(runtime::now())
    }
}
