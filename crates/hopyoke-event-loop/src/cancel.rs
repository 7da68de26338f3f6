//! Cooperative cancellation: one token that many routines observe.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// A cancellation token; clones observe the same cancellation, which is final.
#[derive(Clone, Default)]
pub struct CancellationToken(Rc<State>);

#[derive(Default)]
struct State {
    cancelled: Cell<bool>,
    wakers: RefCell<slab::Slab<Waker>>,
}

impl CancellationToken {
    /// A token that is not cancelled.
    pub fn new() -> CancellationToken {
        CancellationToken::default()
    }

    /// Cancels the token and wakes all routines that observe it. Cancelling again has no effect.
    pub fn cancel(&self) {
        self.0.cancelled.set(true);
        for waker in self.0.wakers.borrow_mut().drain() {
            waker.wake();
        }
    }

    /// Whether the token is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.get()
    }

    /// Runs `future` until it completes (`Some`) or the token is cancelled (`None`).
    pub async fn run<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        let mut registration = WakerRegistration {
            token: self.clone(),
            key: None,
        };
        std::future::poll_fn(|cx| {
            if self.is_cancelled() {
                return Poll::Ready(None);
            }
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            if registration.key.is_none() {
                registration.key = Some(self.0.wakers.borrow_mut().insert(cx.waker().clone()));
            }
            Poll::Pending
        })
        .await
    }
}

/// Removes the waker when the observing routine ends before a cancellation.
struct WakerRegistration {
    token: CancellationToken,
    key: Option<usize>,
}

impl Drop for WakerRegistration {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            let mut wakers = self.token.0.wakers.borrow_mut();
            if wakers.contains(key) {
                wakers.remove(key);
            }
        }
    }
}
