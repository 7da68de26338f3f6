//! The one deadline of a user's request: whatever serves it, here or at a peer, spends what is left of it.

use hopyoke_consistency::deadline::{TRANSFER_MARGIN, USER_POLL_TIMEOUT, USER_WRITE_TIMEOUT};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::http::Method;
use hopyoke_types::Micros;

/// When a user's request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestDeadline(Micros);

impl RequestDeadline {
    /// That of a request that arrives now.
    pub(crate) fn for_request(method: Method) -> RequestDeadline {
        let user_timeout = match method {
            Method::Get => USER_POLL_TIMEOUT,
            _ => USER_WRITE_TIMEOUT,
        };
        RequestDeadline(runtime::now() + user_timeout - TRANSFER_MARGIN)
    }

    /// That of a request that a peer forwards, and for whose answer it waits for `remaining`. Zero: the peer does not say.
    pub(crate) fn for_forwarded_request(method: Method, remaining: Micros) -> RequestDeadline {
        let deadline = RequestDeadline::for_request(method);
        if remaining == Micros::ZERO {
            return deadline;
        }
        RequestDeadline(deadline.0.min(runtime::now() + remaining))
    }

    /// The time, by this node's monotonic clock.
    pub(crate) fn at(self) -> Micros {
        self.0
    }

    /// What is left; zero once it has passed.
    pub(crate) fn remaining(self) -> Micros {
        self.0.saturating_sub(runtime::now())
    }
}
