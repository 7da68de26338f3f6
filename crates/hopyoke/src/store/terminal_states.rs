//! A cache of jobs' terminal states.

use hopyoke_scheduler::EndRecord;
use hopyoke_types::JobId;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Entries kept; the oldest are evicted first.
const CAPACITY: usize = 4096;

/// Terminal states that this node has written or read. They never change, so an entry is never stale.
#[derive(Default)]
pub(crate) struct TerminalStateCache {
    entries: RefCell<Entries>,
}

#[derive(Default)]
struct Entries {
    states: BTreeMap<JobId, EndRecord>,
    /// In the order of insertion.
    insertion_order: VecDeque<JobId>,
}

impl TerminalStateCache {
    /// A job's terminal state, if it is cached.
    pub(crate) fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.entries.borrow().states.get(id).copied()
    }

    /// Adds a job's terminal state, and evicts the oldest beyond the capacity.
    pub(crate) fn insert(&self, id: &JobId, end: EndRecord) {
        let mut entries = self.entries.borrow_mut();
        if entries.states.insert(id.clone(), end).is_none() {
            entries.insertion_order.push_back(id.clone());
        }
        if entries.insertion_order.len() > CAPACITY
            && let Some(oldest) = entries.insertion_order.pop_front()
        {
            entries.states.remove(&oldest);
        }
    }
}
