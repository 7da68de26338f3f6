//! Polls answered from the leader's replica of the records: one question to the state service serves
//! all that wait (see [`hopyoke_consistency::read_index`]).

use hopyoke_consistency::read_index::{Limits, ReadIndex, ReadOutcome};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::Notify;
use std::cell::RefCell;
use std::task::{Poll, Waker};

/// What the leader has to answer polls by itself.
pub struct Replica {
    pub(crate) reads: RefCell<ReadIndex>,
    /// Rung when a read arrives while none waited.
    pub(crate) wakeup: Notify,
    waiters: RefCell<Vec<Waker>>,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica {
            reads: RefCell::new(ReadIndex::new(Limits::default())),
            wakeup: Notify::default(),
            waiters: RefCell::default(),
        }
    }
}

impl Replica {
    /// Waits until the core is known to include all that was written before now, for as long as somebody
    /// [asks](crate::store::watch::ask).
    pub(crate) async fn current(&self) -> bool {
        let Some(ticket) = self.reads.borrow_mut().arrive(runtime::now()) else {
            return false;
        };
        self.wakeup.notify();
        let verdict = std::future::poll_fn(|cx| {
            if let Some(v) = self.reads.borrow().verdict(ticket) {
                return Poll::Ready(v);
            }
            self.waiters.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        });
        verdict.await == ReadOutcome::Current
    }

    pub(crate) fn wake(&self) {
        for w in self.waiters.borrow_mut().drain(..) {
            w.wake();
        }
    }

    /// Questions asked, and reads served by them.
    pub fn counts(&self) -> (u64, u64) {
        self.reads.borrow().counts()
    }
}
