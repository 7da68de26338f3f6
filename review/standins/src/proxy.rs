//! A TCP proxy in front of one address. A cut is silent: bytes and new connections wait; or connections are reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub struct Proxy {
    pub addr: SocketAddr,
    mode: AtomicU8,
}

pub const PASS: u8 = 0;
/// Bytes wait; those held arrive when the cut ends.
pub const HOLD: u8 = 1;
/// Connections are closed at once.
pub const REFUSE: u8 = 2;

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("no address");
        let proxy = Arc::new(Proxy {
            addr,
            mode: AtomicU8::new(PASS),
        });
        let p = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let p = p.clone();
                std::thread::spawn(move || p.connection(client, target));
            }
        });
        proxy
    }

    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    fn wait(&self) -> u8 {
        loop {
            match self.mode.load(Ordering::SeqCst) {
                HOLD => std::thread::sleep(Duration::from_millis(5)),
                mode => return mode,
            }
        }
    }

    fn connection(self: Arc<Proxy>, client: TcpStream, target: SocketAddr) {
        let began_cut = self.mode.load(Ordering::SeqCst) == HOLD;
        if self.wait() == REFUSE {
            return;
        }
        if began_cut {
            // A connection attempt that was given up does not complete afterwards.
            client.set_nonblocking(true).ok();
            let mut byte = [0];
            if matches!(client.peek(&mut byte), Ok(0)) {
                return;
            }
            client.set_nonblocking(false).ok();
        }
        let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else {
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let (Ok(c), Ok(s)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let p = self.clone();
        std::thread::spawn(move || p.copy(c, s));
        self.copy(server, client);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 * 1024];
        from.set_read_timeout(Some(Duration::from_millis(100))).ok();
        loop {
            if self.mode.load(Ordering::SeqCst) == REFUSE {
                break;
            }
            match from.read(&mut buf) {
                Ok(0) => {
                    self.wait();
                    break;
                }
                Ok(n) => {
                    if self.wait() == REFUSE || to.write_all(&buf[..n]).is_err() {
                        break;
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
