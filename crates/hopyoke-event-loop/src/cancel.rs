//! Cooperative cancellation of routines by a shared token.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// A cancellation token. Clones share the same state; a cancellation can't be undone.
#[derive(Clone, Default)]
pub struct CancellationToken(Rc<State>);

#[derive(Default)]
struct State {
    cancelled: Cell<bool>,
    wakers: RefCell<slab::Slab<Waker>>,
}

impl CancellationToken {
    /// Creates a token that isn't cancelled.
    pub fn new() -> CancellationToken {
        CancellationToken::default()
    }

    /// Cancels the token and wakes all routines that wait on it. Idempotent.
    pub fn cancel(&self) {
        self.0.cancelled.set(true);
        for waker in self.0.wakers.borrow_mut().drain() {
            waker.wake();
        }
    }

    /// Returns whether the token is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.get()
    }

    /// Runs `future` to completion and returns its output, or `None` if the token is cancelled first.
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

/// Removes the waker on drop, in case the routine ends before a cancellation.
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
