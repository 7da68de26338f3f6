//! Cache of terminal job states.

use hopyoke_scheduler::EndRecord;
use hopyoke_types::JobId;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of entries; the oldest are evicted first.
const CAPACITY: usize = 4096;

/// Caches terminal job states that this node has written or read. They never change, so an entry is never stale.
#[derive(Default)]
pub(crate) struct TerminalStateCache {
    entries: RefCell<Entries>,
}

#[derive(Default)]
struct Entries {
    states: BTreeMap<JobId, EndRecord>,
    /// Cached jobs, oldest insertion first.
    insertion_order: VecDeque<JobId>,
}

impl TerminalStateCache {
    /// Returns a job's terminal state, or `None` if it is not cached.
    pub(crate) fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.entries.borrow().states.get(id).copied()
    }

    /// Inserts a job's terminal state, and evicts the oldest entry if the capacity is exceeded.
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
