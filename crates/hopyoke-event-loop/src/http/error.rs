//! Errors while reading a message.

use std::io;

/// Error while reading a message from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The stream ended before the message did.
    #[error("the peer closed the connection")]
    Closed,
    /// The message isn't valid or uses unsupported features of HTTP/1.1; names the part.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The body exceeds the size limit.
    #[error("body over the limit")]
    TooLarge,
}
