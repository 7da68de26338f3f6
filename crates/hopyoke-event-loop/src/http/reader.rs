//! Reads messages from a connection.

use super::error::ReadError;
use super::head::{Head, MessageKind, parse};
use crate::net::TcpStream;

/// Maximum size of a head, and of a trailer line, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a chunk-size line, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Size of a read, in bytes.
const READ_BYTES: usize = 4096;
/// Size of a read for long bodies, in bytes; saves system calls.
const LONG_READ_BYTES: usize = 32 * 1024;

/// Reads messages from one connection, and buffers data read beyond the end of a message.
#[derive(Default)]
pub(super) struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// Returns whether a part of the next message is buffered.
    pub(super) fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits for more data from the connection and buffers it.
    pub(super) async fn fill(&mut self, stream: &TcpStream) -> Result<(), ReadError> {
        let mut chunk = [0u8; READ_BYTES];
        self.fill_using(stream, &mut chunk).await
    }

    async fn fill_using(&mut self, stream: &TcpStream, chunk: &mut [u8]) -> Result<(), ReadError> {
        let length = stream.read(chunk).await?;
        if length == 0 {
            return Err(ReadError::Closed);
        }
        self.buf.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    /// Reads a head.
    pub(super) async fn read_head(
        &mut self,
        stream: &TcpStream,
        kind: MessageKind,
    ) -> Result<Head, ReadError> {
        loop {
            if !self.buf.is_empty()
                && let Some((head, length)) = parse(&self.buf, kind)?
            {
                self.buf.drain(..length);
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed("head too long"));
            }
            self.fill(stream).await?;
        }
    }

    /// Reads the body of the message with this `head`. A body of more than `max_bytes` is an error, and the rest of it
    /// isn't read.
    pub(super) async fn read_body(
        &mut self,
        stream: &TcpStream,
        head: &Head,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        if head.is_chunked {
            return self.read_chunked_body(stream, max_bytes).await;
        }
        let length = head.content_length.unwrap_or(0);
        if length > max_bytes {
            return Err(ReadError::TooLarge);
        }
        self.read_exact(stream, length).await
    }

    /// Reads exactly `length` bytes.
    async fn read_exact(
        &mut self,
        stream: &TcpStream,
        length: usize,
    ) -> Result<Vec<u8>, ReadError> {
        while self.buf.len() < length {
            if length - self.buf.len() <= READ_BYTES {
                self.fill(stream).await?;
            } else {
                let mut chunk = vec![0u8; LONG_READ_BYTES];
                self.fill_using(stream, &mut chunk).await?;
            }
        }
        let rest = self.buf.split_off(length);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    async fn read_chunked_body(
        &mut self,
        stream: &TcpStream,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let (line_length, size) = loop {
                match httparse::parse_chunk_size(&self.buf) {
                    Ok(httparse::Status::Complete(parsed)) => break parsed,
                    Ok(httparse::Status::Partial)
                        if self.buf.len() <= MAX_CHUNK_SIZE_LINE_BYTES =>
                    {
                        self.fill(stream).await?
                    }
                    _ => return Err(ReadError::Malformed("chunk size")),
                }
            };
            self.buf.drain(..line_length);
            if size > max_bytes as u64 || body.len() + size as usize > max_bytes {
                return Err(ReadError::TooLarge);
            }
            if size == 0 {
                return self.skip_trailers(stream).await.map(|()| body);
            }
            body.extend(self.read_exact(stream, size as usize).await?);
            if self.read_exact(stream, 2).await? != b"\r\n" {
                return Err(ReadError::Malformed("chunk end"));
            }
        }
    }

    /// Reads and discards the trailers of a chunked body.
    async fn skip_trailers(&mut self, stream: &TcpStream) -> Result<(), ReadError> {
        loop {
            if let Some(line_end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                self.buf.drain(..line_end + 2);
                if line_end == 0 {
                    return Ok(());
                }
            } else if self.buf.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed("trailers too long"));
            } else {
                self.fill(stream).await?;
            }
        }
    }
}
