//! Orderly cancellation: a token that many routines can watch.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// A cancellation token; clones share the same fate.
#[derive(Clone, Default)]
pub struct CancellationToken(Rc<State>);

#[derive(Default)]
struct State {
    cancelled: Cell<bool>,
    wakers: RefCell<slab::Slab<Waker>>,
}

impl CancellationToken {
    pub fn new() -> CancellationToken {
        CancellationToken::default()
    }

    pub fn cancel(&self) {
        self.0.cancelled.set(true);
        for w in self.0.wakers.borrow_mut().drain() {
            w.wake();
        }
    }

    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.get()
    }

    /// Runs `future` until it ends (`Some`) or the token is cancelled (`None`).
    pub async fn run<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        let mut slot = Slot {
            cancel: self.clone(),
            key: None,
        };
        std::future::poll_fn(|cx| {
            if self.is_cancelled() {
                return Poll::Ready(None);
            }
            if let Poll::Ready(out) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(out));
            }
            if slot.key.is_none() {
                slot.key = Some(self.0.wakers.borrow_mut().insert(cx.waker().clone()));
            }
            Poll::Pending
        })
        .await
    }
}

/// Removes the waker when the watching routine ends first.
struct Slot {
    cancel: CancellationToken,
    key: Option<usize>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(k) = self.key {
            let mut wakers = self.cancel.0.wakers.borrow_mut();
            if wakers.contains(k) {
                wakers.remove(k);
            }
        }
    }
}
