//! A proxy on the way from one controller to another, which can hold packets or refuse connections.

use hopyoke_event_loop::{self as runtime, CancellationToken, TcpListener, TcpStream};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

pub struct Link {
    pub address: SocketAddr,
    pub to: Cell<Option<SocketAddr>>,
    /// Packets are held back, and delivered in order once this ends.
    pub held: Cell<bool>,
    /// Connections are closed at once, and open ones reset.
    pub refused: Cell<bool>,
    cut: RefCell<CancellationToken>,
}

impl Link {
    pub fn start() -> Rc<Link> {
        let listener =
            TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("no free port");
        let link = Rc::new(Link {
            address: listener.local_addr().expect("address"),
            to: Cell::new(None),
            held: Cell::new(false),
            refused: Cell::new(false),
            cut: RefCell::default(),
        });
        let l = link.clone();
        runtime::spawn(async move {
            loop {
                let Ok(stream) = listener.accept().await else {
                    runtime::sleep(Micros::from_millis(20)).await;
                    continue;
                };
                if l.refused.get() {
                    continue;
                }
                let l = l.clone();
                let cut = l.cut.borrow().clone();
                runtime::spawn_until(cut, async move { l.carry(stream).await });
            }
        });
        link
    }

    pub fn refuse(&self, refused: bool) {
        self.refused.set(refused);
        if refused {
            self.cut.replace(CancellationToken::new()).cancel();
        }
    }

    async fn carry(self: Rc<Link>, near: TcpStream) {
        let Some(to) = self.to.get() else { return };
        self.wait().await;
        let Ok(far) = TcpStream::connect(to, Micros::from_secs(5)).await else {
            return;
        };
        let (near, far) = (Rc::new(near), Rc::new(far));
        let done = CancellationToken::new();
        let (l, n, f, d) = (self.clone(), near.clone(), far.clone(), done.clone());
        let outer = self.cut.borrow().clone();
        runtime::spawn_until(outer, async move {
            d.run(l.pump(&f, &n)).await;
            d.cancel();
        });
        done.run(self.pump(&near, &far)).await;
        done.cancel();
    }

    async fn wait(&self) {
        while self.held.get() {
            runtime::sleep(Micros::from_millis(20)).await;
        }
    }

    async fn pump(&self, from: &TcpStream, to: &TcpStream) {
        let mut buf = vec![0u8; 16 * 1024];
        loop {
            let Ok(n) = from.read(&mut buf).await else {
                return;
            };
            self.wait().await;
            if n == 0 || to.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}
