//! Writing of step pages and heads.

use super::{Engine, RATE_LIMIT_MARGIN, Timer};
use crate::ids::RunId;
use crate::messages::Action;
use crate::record::{Head, OnError, RunState};
use crate::run::{Phase, Run};
use crate::step_table::StepTable;
use hopyoke_types::{Micros, ModRevision};

/// The number of operations in a transaction besides its pages: the head's move takes two, the claim's deletion one.
const HEAD_OPS: usize = 3;

impl Engine {
    /// Emits a write of a run's dirty pages and head if it is due, or sets a timer for it. The end and the failure of a
    /// run are written at once, other progress in batches.
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
        let is_failing = table.failed > 0
            && r.head.on_error == OnError::Stop
            && r.head.state == RunState::Running;
        let is_finished = table.all_steps_final();
        if !is_failing && !is_finished {
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
        // The final head is written in the same transaction as the last dirty pages.
        let is_finished = is_finished && pages.len() == table.dirty_pages.len();
        let cost = pages.len() as f64 + if is_finished { HEAD_OPS as f64 } else { 1.0 };
        let rate = self.limits.max_writes_per_s;
        if !self.writes.try_take(cost, rate, now) {
            let at = self.writes.available_at(cost, rate, now) + RATE_LIMIT_MARGIN;
            self.timers.insert((at, run, Timer::WriteProgress));
            return;
        }
        let head = if is_finished {
            Some(final_head(&r.head, table))
        } else if is_failing {
            Some(failing_head(&r.head, table))
        } else {
            None
        };
        self.entities_visited += pages.len() as u64;
        self.actions.push_back(write_action(run, r, &pages, head));
    }
}

/// Returns the head of a run whose steps are all final.
fn final_head(head: &Head, table: &StepTable) -> Head {
    let state = match head.state {
        RunState::Cancelling => RunState::Cancelled,
        RunState::Failing => RunState::Failed,
        _ if table.failed > 0 => RunState::Failed,
        _ => RunState::Done,
    };
    let reason = if state == RunState::Failed {
        table.reason.as_str()
    } else {
        ""
    };
    Head {
        done: table.done(),
        ..head.in_state(state, reason)
    }
}

/// Returns the head of a run that stops because a step failed.
fn failing_head(head: &Head, table: &StepTable) -> Head {
    head.in_state(RunState::Failing, &table.reason)
}

/// Returns a write of these pages and the head, and marks the pages as clean.
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
