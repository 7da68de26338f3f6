//! Why a message could not be read.

use std::io;

/// Why a message could not be read from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The stream ended before the message did.
    #[error("the peer closed the connection")]
    Closed,
    /// Not HTTP/1.1 as it is supported here; names the part at fault.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The body is longer than permitted.
    #[error("body over the limit")]
    TooLarge,
}
