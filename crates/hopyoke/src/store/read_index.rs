//! Linearizable reads from the leader's scheduler: one query to the key-value store serves all reads that wait (see
//! [`hopyoke_consistency::read_index`]).

use hopyoke_consistency::deadline::USER_POLL_TIMEOUT;
use hopyoke_consistency::read_index::{Limits, ReadIndex, ReadOutcome, ReadQuery};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::Notify;
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::task::{Poll, Waker};

/// The reads that wait at the leader, and the tasks that wait for them.
pub(crate) struct WaitingReads {
    index: RefCell<ReadIndex>,
    /// Notified when a read arrives.
    read_arrived: Notify,
    wakers: RefCell<Vec<Waker>>,
}

/// Queries to a slow store that are under way at once: one each [`Limits::overlap_interval`] in the time that a poll has.
const MAX_QUERIES_IN_FLIGHT: usize = 20;

impl Default for WaitingReads {
    fn default() -> WaitingReads {
        let limits = Limits {
            read_timeout: USER_POLL_TIMEOUT,
            max_in_flight: MAX_QUERIES_IN_FLIGHT,
            ..Limits::default()
        };
        WaitingReads {
            index: RefCell::new(ReadIndex::new(limits)),
            read_arrived: Notify::default(),
            wakers: RefCell::default(),
        }
    }
}

impl WaitingReads {
    /// Waits until the scheduler is known to include all that was written before now; false if that is not known by
    /// `deadline`. Rests on [queries](crate::store::watch::run_read_queries).
    pub(crate) async fn wait_until_current(&self, deadline: Micros) -> bool {
        let now = runtime::now();
        let Some(ticket) = self.index.borrow_mut().arrive(now) else {
            return false;
        };
        self.read_arrived.notify();
        let outcome = std::future::poll_fn(|cx| {
            if let Some(outcome) = self.index.borrow().outcome(ticket) {
                return Poll::Ready(outcome);
            }
            self.wakers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        });
        runtime::timeout(deadline - now, outcome).await == Ok(ReadOutcome::Current)
    }

    /// Waits until a query is due, and begins it. `None`: the reads that it was due for have been given up.
    pub(crate) async fn next_query(&self) -> Option<ReadQuery> {
        let due_at = loop {
            let due_at = self.index.borrow().due_at();
            match due_at {
                Some(due_at) => break due_at,
                None => self.read_arrived.wait().await,
            }
        };
        runtime::sleep_until(due_at).await;
        self.index.borrow_mut().begin_query(runtime::now())
    }

    /// A query was answered, and its answer applied to the scheduler.
    pub(crate) fn query_answered(&self, query: ReadQuery, now: Micros) {
        self.index.borrow_mut().query_answered(query, now);
        self.read_arrived.notify();
    }

    /// A query failed; another one follows after a pause.
    pub(crate) fn query_failed(&self, query: ReadQuery, now: Micros) {
        self.index
            .borrow_mut()
            .query_failed(query, rand::random(), now);
        self.read_arrived.notify();
    }

    /// Wakes the tasks that wait, so that they look up their reads' outcomes.
    pub(crate) fn wake_readers(&self) {
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Queries sent, and reads served by them.
    pub(crate) fn counts(&self) -> (u64, u64) {
        self.index.borrow().counts()
    }
}
