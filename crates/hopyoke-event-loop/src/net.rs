//! Non-blocking TCP sockets for routines.

use crate::executor::{Runtime, SocketWakers, runtime};
use crate::timer::timeout;
use hopyoke_types::Micros;
use mio::Interest;
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// `EINPROGRESS` on Linux: the connection is being established.
const EINPROGRESS: i32 = 115;

/// Registration of a socket with the poll. Frees its key on drop.
struct Registration {
    runtime: Rc<Runtime>,
    key: usize,
}

impl Registration {
    fn new(source: &mut impl mio::event::Source, interest: Interest) -> io::Result<Registration> {
        let runtime = runtime();
        let key = runtime.sockets.borrow_mut().insert(SocketWakers::default());
        let registration = Registration {
            runtime: runtime.clone(),
            key,
        };
        runtime
            .registry
            .register(source, mio::Token(key), interest)?;
        Ok(registration)
    }

    fn wait_read(&self, cx: &Context<'_>) {
        if let Some(wakers) = self.runtime.sockets.borrow_mut().get_mut(self.key) {
            wakers.read = Some(cx.waker().clone());
        }
    }

    fn wait_write(&self, cx: &Context<'_>) {
        if let Some(wakers) = self.runtime.sockets.borrow_mut().get_mut(self.key) {
            wakers.write = Some(cx.waker().clone());
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.runtime.sockets.borrow_mut().try_remove(self.key);
    }
}

/// A listening socket.
pub struct TcpListener {
    // Field order: the socket is closed before its key is freed.
    socket: mio::net::TcpListener,
    registration: Registration,
}

impl TcpListener {
    /// Listens on `addr`. Port 0 selects any free port.
    ///
    /// # Errors
    /// Returns an operating system error, such as address in use, permission denied or too many open files.
    pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        let mut socket = mio::net::TcpListener::bind(addr)?;
        let registration = Registration::new(&mut socket, Interest::READABLE)?;
        Ok(TcpListener {
            socket,
            registration,
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// Returns an operating system error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    /// Returns an operating system error, usually too many open files. The listener stays usable.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            loop {
                match self.socket.accept() {
                    Ok((socket, _)) => return Poll::Ready(TcpStream::new(socket)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        self.registration.wait_read(cx);
                        return Poll::Pending;
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) => return Poll::Ready(Err(e)),
                }
            }
        })
        .await
    }
}

/// A connected socket with `TCP_NODELAY`.
pub struct TcpStream {
    // Field order: the socket is closed before its key is freed.
    socket: mio::net::TcpStream,
    registration: Registration,
}

impl TcpStream {
    fn new(mut socket: mio::net::TcpStream) -> io::Result<TcpStream> {
        let _ = socket.set_nodelay(true);
        let registration = Registration::new(&mut socket, Interest::READABLE | Interest::WRITABLE)?;
        Ok(TcpStream {
            socket,
            registration,
        })
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    /// Returns `TimedOut` after `limit`, or an operating system error.
    pub async fn connect(addr: SocketAddr, limit: Micros) -> io::Result<TcpStream> {
        let stream = TcpStream::new(mio::net::TcpStream::connect(addr)?)?;
        let connected = poll_fn(|cx| {
            if let Ok(Some(e)) | Err(e) = stream.socket.take_error() {
                return Poll::Ready(Err(e));
            }
            match stream.socket.peer_addr() {
                Ok(_) => Poll::Ready(Ok(())),
                Err(e)
                    if e.kind() == io::ErrorKind::NotConnected
                        || e.raw_os_error() == Some(EINPROGRESS) =>
                {
                    stream.registration.wait_write(cx);
                    Poll::Pending
                }
                Err(e) => Poll::Ready(Err(e)),
            }
        });
        match timeout(limit, connected).await {
            Ok(result) => result.map(|()| stream),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Reads into `buf` and returns the number of bytes; 0 means the end of the stream. Registers the waker if no data
    /// is available.
    ///
    /// # Errors
    /// Returns an operating system error.
    pub fn poll_read(&self, cx: &Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            match (&self.socket).read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.registration.wait_read(cx);
                    return Poll::Pending;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Writes a part of `buf` and returns the number of bytes. Registers the waker if the send buffer is full.
    ///
    /// # Errors
    /// Returns an operating system error.
    pub fn poll_write(&self, cx: &Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match (&self.socket).write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.registration.wait_write(cx);
                    return Poll::Pending;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Waits for data, reads into `buf` and returns the number of bytes; 0 means the end of the stream.
    ///
    /// # Errors
    /// Returns an operating system error.
    pub async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        poll_fn(|cx| self.poll_read(cx, buf)).await
    }

    /// Writes all of `buf`. If it fails, a part may have been sent.
    ///
    /// # Errors
    /// Returns `WriteZero` if the socket accepts no more data, or an operating system error.
    pub async fn write_all(&self, mut buf: &[u8]) -> io::Result<()> {
        while !buf.is_empty() {
            let written = poll_fn(|cx| self.poll_write(cx, buf)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            buf = &buf[written..];
        }
        Ok(())
    }

    /// Returns whether the peer has closed an idle connection or sent unrequested data on it.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0u8; 1];
        !matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl hyper::rt::Read for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0u8; 4096];
        let length = buf.remaining().min(chunk.len());
        match TcpStream::poll_read(&self, cx, &mut chunk[..length]) {
            Poll::Ready(Ok(n)) => {
                buf.put_slice(&chunk[..n]);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl hyper::rt::Write for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        TcpStream::poll_write(&self, cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match self.socket.shutdown(Shutdown::Write) {
            Err(e) if e.kind() != io::ErrorKind::NotConnected => Err(e),
            _ => Ok(()),
        })
    }
}
