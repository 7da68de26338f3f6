//! Linearizable reads from the leader's scheduler: one query to the key-value store serves all pending reads. See
//! [`hopyoke_consistency::read_index`].

use hopyoke_consistency::deadline::USER_POLL_TIMEOUT;
use hopyoke_consistency::read_index::{Limits, ReadIndex, ReadOutcome, ReadQuery};
use hopyoke_event_loop as runtime;
use hopyoke_event_loop::Notify;
use hopyoke_types::Micros;
use std::cell::RefCell;
use std::task::{Poll, Waker};

/// Pending reads at the leader, and the tasks that await them.
pub(crate) struct WaitingReads {
    index: RefCell<ReadIndex>,
    /// Notified when a read arrives.
    read_arrived: Notify,
    wakers: RefCell<Vec<Waker>>,
}

/// Maximum number of queries in flight to a slow store: one per [`Limits::overlap_interval`] within a poll's timeout.
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
    /// Waits until the scheduler is known to include all writes that preceded this call. Returns false if that is not
    /// known by `deadline`. Relies on [`run_read_queries`](crate::store::watch::run_read_queries) or an equivalent
    /// loop.
    pub(crate) async fn wait_until_current(&self, deadline: Micros) -> bool {
        let now = runtime::now();
        let Some(ticket) = self.index.borrow_mut().enqueue(now) else {
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

    /// Waits until a query is due, and begins it. Returns `None` if the reads that it was due for have timed out.
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

    /// Records that a query was answered and its response applied to the scheduler.
    pub(crate) fn query_answered(&self, query: ReadQuery, now: Micros) {
        self.index.borrow_mut().query_answered(query, now);
        self.read_arrived.notify();
    }

    /// Records that a query failed; the next one follows after a backoff.
    pub(crate) fn query_failed(&self, query: ReadQuery, now: Micros) {
        self.index
            .borrow_mut()
            .query_failed(query, rand::random(), now);
        self.read_arrived.notify();
    }

    /// Wakes the waiting tasks, so that they look up the outcomes of their reads.
    pub(crate) fn wake_readers(&self) {
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Returns the numbers of queries sent and of reads served in time.
    pub(crate) fn counts(&self) -> (u64, u64) {
        self.index.borrow().counts()
    }
}
