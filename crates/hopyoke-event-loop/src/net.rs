//! Non-blocking TCP sockets for routines.

use super::{Inner, IoWaits, inner};
use hopyoke_types::Micros;
use mio::Interest;
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A socket's place in the event loop; given back on drop.
struct Registration {
    rt: Rc<Inner>,
    key: usize,
}

impl Registration {
    fn new(source: &mut impl mio::event::Source, interest: Interest) -> io::Result<Registration> {
        let rt = inner();
        let key = rt.io.borrow_mut().insert(IoWaits::default());
        let reg = Registration {
            rt: rt.clone(),
            key,
        };
        rt.registry.register(source, mio::Token(key), interest)?;
        Ok(reg)
    }

    fn wait_read(&self, cx: &Context<'_>) {
        if let Some(w) = self.rt.io.borrow_mut().get_mut(self.key) {
            w.read = Some(cx.waker().clone());
        }
    }

    fn wait_write(&self, cx: &Context<'_>) {
        if let Some(w) = self.rt.io.borrow_mut().get_mut(self.key) {
            w.write = Some(cx.waker().clone());
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.rt.io.borrow_mut().try_remove(self.key);
    }
}

/// A listening socket.
pub struct TcpListener {
    socket: mio::net::TcpListener,
    reg: Registration,
}

impl TcpListener {
    pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
        let mut socket = mio::net::TcpListener::bind(addr)?;
        let reg = Registration::new(&mut socket, Interest::READABLE)?;
        Ok(TcpListener { socket, reg })
    }

    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        poll_fn(|cx| {
            loop {
                match self.socket.accept() {
                    Ok((s, _)) => return Poll::Ready(TcpStream::new(s)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        self.reg.wait_read(cx);
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

/// A connected socket.
pub struct TcpStream {
    // Field order: the socket is deregistered (closed) before its place is given back.
    socket: mio::net::TcpStream,
    reg: Registration,
}

impl TcpStream {
    fn new(mut socket: mio::net::TcpStream) -> io::Result<TcpStream> {
        let _ = socket.set_nodelay(true);
        let reg = Registration::new(&mut socket, Interest::READABLE | Interest::WRITABLE)?;
        Ok(TcpStream { socket, reg })
    }

    /// Connects within `limit`.
    pub async fn connect(addr: SocketAddr, limit: Micros) -> io::Result<TcpStream> {
        let stream = TcpStream::new(mio::net::TcpStream::connect(addr)?)?;
        let connected = poll_fn(|cx| {
            if let Ok(Some(e)) | Err(e) = stream.socket.take_error() {
                return Poll::Ready(Err(e));
            }
            match stream.socket.peer_addr() {
                Ok(_) => Poll::Ready(Ok(())),
                Err(e)
                    if e.kind() == io::ErrorKind::NotConnected || e.raw_os_error() == Some(115) =>
                {
                    stream.reg.wait_write(cx);
                    Poll::Pending
                }
                Err(e) => Poll::Ready(Err(e)),
            }
        });
        match super::timeout(limit, connected).await {
            Ok(r) => r.map(|()| stream),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    pub fn poll_read(&self, cx: &Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            match (&self.socket).read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.reg.wait_read(cx);
                    return Poll::Pending;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                r => return Poll::Ready(r),
            }
        }
    }

    pub fn poll_write(&self, cx: &Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match (&self.socket).write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.reg.wait_write(cx);
                    return Poll::Pending;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                r => return Poll::Ready(r),
            }
        }
    }

    pub async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        poll_fn(|cx| self.poll_read(cx, buf)).await
    }

    pub async fn write_all(&self, mut buf: &[u8]) -> io::Result<()> {
        while !buf.is_empty() {
            let n = poll_fn(|cx| self.poll_write(cx, buf)).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            buf = &buf[n..];
        }
        Ok(())
    }

    /// True if the peer has closed an idle connection (or sent something unasked).
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
        let want = buf.remaining().min(chunk.len());
        match TcpStream::poll_read(&self, cx, &mut chunk[..want]) {
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
