//! Errors of requests to the key-value store.

/// Error of a request to the key-value store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Certainly not executed, for a reason that may pass. Holds the HTTP status, or 0 if the request was not sent.
    #[error("refused ({0})")]
    Refused(u16),
    /// Certainly not executed: the store rejects the request itself and would reject it again. Holds the HTTP status.
    #[error("rejected as invalid ({0})")]
    Invalid(u16),
    /// Not sent: requests of the same or a higher priority have used up this node's share of the request rate.
    #[error("this node's share of the request rate is used up")]
    RateLimited,
    /// Not sent: by the expected latency the response would miss the user's deadline.
    #[error("no answer to be expected in time")]
    DeadlineExceeded,
    /// No response: the request may have been executed, or may still be.
    #[error("no answer")]
    Unknown,
    /// The lease or the watched revision no longer exists.
    #[error("gone")]
    Gone,
    /// The response cannot be decoded.
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Returns the error that a response with an unexpected status stands for. A client error other than a timeout or a
    /// rate limit is due to the request itself.
    pub(crate) fn of_status(status: u16) -> StoreError {
        match status {
            408 | 425 | 429 => StoreError::Refused(status),
            400..=499 => StoreError::Invalid(status),
            _ => StoreError::Refused(status),
        }
    }

    /// Returns whether the request was certainly not executed and never will be.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(
            self,
            StoreError::Refused(_)
                | StoreError::Invalid(_)
                | StoreError::RateLimited
                | StoreError::DeadlineExceeded
        )
    }

    /// Returns whether the request was certainly not executed, for a reason that may pass: it can be repeated as it is.
    pub(crate) fn may_pass(&self) -> bool {
        self.is_refusal() && !matches!(self, StoreError::Invalid(_))
    }
}
