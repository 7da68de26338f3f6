//! When which pages of steps, and which head, are written.

use super::{Engine, RATE_LIMIT_MARGIN, Timer};
use crate::ids::RunId;
use crate::messages::Action;
use crate::record::{Head, OnError, RunState};
use crate::run::{Phase, Run};
use crate::step_table::StepTable;
use hopyoke_types::{Micros, ModRevision};

/// Operations of a transaction beside its pages: the head's move (two), and the claim's deletion.
const HEAD_OPS: usize = 3;

impl Engine {
    /// Writes what must or may be written now; what is left gets a timer.
    pub(super) fn write_progress(&mut self, run: RunId, now: Micros) {
        let batch_delay = self.limits.write_batch_delay;
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Executing)
        else {
            return;
        };
        let Some(table) = r.table.as_mut().filter(|t| !t.is_writing) else {
            return;
        };
        let fails = table.failed > 0
            && r.head.on_error == OnError::Stop
            && r.head.state == RunState::Running;
        let ends = table.is_settled();
        if !fails && !ends {
            if table.dirty_pages.is_empty() {
                return;
            }
            let dirty_since = *table.dirty_since.get_or_insert(now);
            if now < dirty_since + batch_delay {
                let at = dirty_since + batch_delay;
                self.timers.insert((at, run, Timer::WriteProgress));
                return;
            }
        }
        let max_pages = self.max_txn_ops.saturating_sub(HEAD_OPS).max(1);
        let pages: Vec<u32> = table.dirty_pages.iter().copied().take(max_pages).collect();
        // The head of a run that ends is written with the last of its pages.
        let ends = ends && pages.len() == table.dirty_pages.len();
        let cost = pages.len() as f64 + if ends { HEAD_OPS as f64 } else { 1.0 };
        let rate = self.limits.max_writes_per_s;
        if !self.writes.take(cost, rate, now) {
            let at = self.writes.available_at(cost, rate, now) + RATE_LIMIT_MARGIN;
            self.timers.insert((at, run, Timer::WriteProgress));
            return;
        }
        let head = if ends {
            Some(final_head(&r.head, table))
        } else if fails {
            Some(failing_head(&r.head, table))
        } else {
            None
        };
        self.entities_visited += pages.len() as u64;
        self.actions.push_back(write_action(run, r, &pages, head));
    }
}

fn final_head(head: &Head, table: &StepTable) -> Head {
    let state = match head.state {
        RunState::Cancelling => RunState::Cancelled,
        RunState::Failing => RunState::Failed,
        _ if table.failed > 0 => RunState::Failed,
        _ => RunState::Done,
    };
    let reason = if state == RunState::Failed {
        table.reason.clone()
    } else {
        String::new()
    };
    Head {
        state,
        reason,
        done: table.done(),
        ..head.clone()
    }
}

fn failing_head(head: &Head, table: &StepTable) -> Head {
    Head {
        state: RunState::Failing,
        reason: table.reason.clone(),
        ..head.clone()
    }
}

/// Takes the pages from the dirty ones.
fn write_action(run: RunId, r: &mut Run, pages: &[u32], head: Option<Head>) -> Action {
    let mut contents = Vec::with_capacity(pages.len());
    if let Some(table) = r.table.as_mut() {
        table.is_writing = true;
        table.dirty_since = None;
        for page in pages {
            table.dirty_pages.remove(page);
            let revision = table.page_revisions.get(page).copied();
            let revision = revision.unwrap_or(ModRevision(0));
            contents.push((*page, revision, table.page(*page)));
        }
    }
    Action::Write {
        run,
        epoch: r.epoch,
        claim_revision: r.claim_revision,
        pages: contents,
        release: head.as_ref().is_some_and(|h| h.state.is_final()),
        head: head.map(|h| (r.head_revision, h)),
    }
}
