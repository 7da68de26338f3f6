//! Why a request to the key-value store failed.

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Certainly not executed. The HTTP status, or 0 if the request was not sent.
    #[error("refused ({0})")]
    Refused(u16),
    /// Not sent: this node's share of the store's rate is used up by requests of the same or higher priority.
    #[error("this node's share of the request rate is used up")]
    RateLimited,
    /// Not sent: by the measured latency the answer would come after its user has given up.
    #[error("no answer to be expected in time")]
    DeadlineExceeded,
    /// It may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
    /// The lease or the watched revision no longer exists.
    #[error("gone")]
    Gone,
    /// The answer is not of the expected form.
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

impl StoreError {
    /// The request was certainly not executed, and never will be.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(
            self,
            StoreError::Refused(_) | StoreError::RateLimited | StoreError::DeadlineExceeded
        )
    }
}
