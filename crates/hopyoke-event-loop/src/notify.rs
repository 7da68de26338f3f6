//! Notification of one waiting routine by any number of others.

use crate::timer::{now, timeout};
use hopyoke_types::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Notifies one waiting routine. Clones share the same state.
///
/// A notification without a waiter is stored; several are coalesced into one. If several routines wait, only the last
/// one is woken.
#[derive(Clone, Default)]
pub struct Notify(Rc<State>);

#[derive(Default)]
struct State {
    is_notified: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting routine, or lets the next wait return immediately.
    pub fn notify(&self) {
        self.0.is_notified.set(true);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits for a notification and consumes it.
    pub async fn wait(&self) {
        std::future::poll_fn(|cx| {
            if self.0.is_notified.replace(false) {
                return Poll::Ready(());
            }
            *self.0.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Waits for a notification until `deadline` at most.
    pub async fn wait_until(&self, deadline: Micros) {
        let _ = timeout(deadline - now(), self.wait()).await;
    }
}
