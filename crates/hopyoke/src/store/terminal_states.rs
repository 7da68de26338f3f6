//! Final states that a node remembers.

use hopyoke_scheduler::EndRecord;
use hopyoke_types::JobId;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// Final states never change, so a few of them are remembered.
#[derive(Default)]
pub struct TerminalStateCache {
    known: RefCell<(BTreeMap<JobId, EndRecord>, VecDeque<JobId>)>,
}

const MOST_FINALS: usize = 4096;

impl TerminalStateCache {
    pub fn get(&self, id: &JobId) -> Option<EndRecord> {
        self.known.borrow().0.get(id).copied()
    }

    pub fn add(&self, id: &JobId, end: EndRecord) {
        let mut known = self.known.borrow_mut();
        if known.0.insert(id.clone(), end).is_none() {
            known.1.push_back(id.clone());
        }
        if known.1.len() > MOST_FINALS
            && let Some(old) = known.1.pop_front()
        {
            known.0.remove(&old);
        }
    }
}
