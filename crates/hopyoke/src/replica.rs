//! Polls answered from the leader's replica of the records: one question to the state service serves
//! all that wait (see [`hopyoke_reads`]).

use crate::node::{Leading, Node};
use crate::state::{JOBS, StateError};
use hopyoke_core::JobRecord;
use hopyoke_reads::{Limits, Reads, Verdict};
use hopyoke_runtime as runtime;
use hopyoke_runtime::Bell;
use hopyoke_types::{JobId, Micros};
use hopyoke_wire::state::{Events, Pair};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Poll, Waker};
use tracing::debug;

/// What the leader has to answer polls by itself.
pub struct Replica {
    reads: RefCell<Reads>,
    /// Rung when a read arrives while none waited.
    bell: Bell,
    waiters: RefCell<Vec<Waker>>,
    /// All changes of jobs' records up to this revision are in the core.
    pub applied: Cell<u64>,
}

impl Replica {
    pub fn new(revision: u64) -> Replica {
        Replica {
            reads: RefCell::new(Reads::new(Limits::default())),
            bell: Bell::default(),
            waiters: RefCell::default(),
            applied: Cell::new(revision),
        }
    }

    /// Waits until the core is known to include all that was written before now.
    pub async fn current(&self) -> bool {
        let Some(ticket) = self.reads.borrow_mut().arrive(runtime::now()) else { return false };
        self.bell.ring();
        let verdict = std::future::poll_fn(|cx| {
            if let Some(v) = self.reads.borrow().verdict(ticket) {
                return Poll::Ready(v);
            }
            self.waiters.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        });
        verdict.await == Verdict::Current
    }

    fn wake(&self) {
        for w in self.waiters.borrow_mut().drain(..) {
            w.wake();
        }
    }

    /// Questions asked, and reads served by them.
    pub fn counts(&self) -> (u64, u64) {
        self.reads.borrow().counts()
    }
}

/// Asks, whenever reads wait.
pub async fn ask(node: Rc<Node>, leading: Rc<Leading>) {
    let replica = &leading.replica;
    loop {
        let due = replica.reads.borrow().due();
        let Some(due) = due else {
            replica.bell.wait().await;
            continue;
        };
        runtime::sleep_until(due).await;
        let question = replica.reads.borrow_mut().ask(runtime::now());
        let Some(question) = question else {
            replica.wake();
            continue;
        };
        let sent = runtime::now();
        let since = replica.applied.get();
        let result: Result<Events<JobRecord>, StateError> =
            node.state.changes(JOBS, since.max(1), Micros::ZERO).await;
        match result {
            Ok(events) => {
                apply(&leading, events, sent);
                replica.reads.borrow_mut().answered(question, runtime::now());
            }
            // If the revision is too old, the watch reads all records again.
            Err(e) => {
                debug!(error = %e, "no answer for reads that wait");
                replica.reads.borrow_mut().failed(question, rand::random(), runtime::now());
            }
        }
        replica.wake();
    }
}

/// Brings the core up to what the state service said. Events may come twice, by the watch and by a
/// question: those of a mark that is known change nothing, and a job that is over stays over.
pub fn apply(leading: &Leading, events: Events<JobRecord>, sent: Micros) {
    let now = runtime::now();
    leading.right.borrow_mut().heard(sent);
    let any = !events.events.is_empty();
    let mut core = leading.core.borrow_mut();
    for e in events.events {
        if let Some(id) = e.drop.as_deref().and_then(job_id_of) {
            core.job_dropped(&id);
        } else if let (Some(key), Some(value)) = (e.put, e.value)
            && let Some((id, record, mark)) = crate::lead::job_of(Pair { key, value, mark: e.mark })
        {
            core.job_seen(id, record, mark, now);
        }
    }
    drop(core);
    let applied = &leading.replica.applied;
    applied.set(applied.get().max(events.revision));
    if any {
        leading.bell.ring();
    }
}

fn job_id_of(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(JOBS)?)
}
