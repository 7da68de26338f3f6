//! Changes of records, as the node's watches report them.

use super::Engine;
use crate::ids::{RunId, parse_job_id};
use crate::messages::JobEnd;
use crate::record::Head;
use crate::run::{Phase, Run};
use hopyoke_types::{JobId, Micros, ModRevision};

impl Engine {
    /// A run's head was written at this revision.
    pub fn head_changed(&mut self, run: RunId, head: Head, mod_revision: ModRevision, now: Micros) {
        let r = match self.runs.get_mut(&run) {
            None if head.state.is_final() => return,
            None => {
                self.runs.insert(run, Run::new(head, mod_revision));
                self.claim_later(run, now);
                return;
            }
            Some(r) if mod_revision <= r.head_revision => return,
            Some(r) => r,
        };
        r.head = head;
        r.head_revision = mod_revision;
        if r.head.state.is_final() {
            self.run_ended(run);
        } else if r.phase == Phase::Executing {
            // Cancelled, or written by this node, which changes nothing. (Guards against steps that start after a
            // cancellation was answered.)
            self.begin_stop(run, now);
        }
    }

    /// At this revision the run's head was not among those of unfinished runs: the run is over.
    pub fn head_deleted(&mut self, run: RunId, mod_revision: ModRevision) {
        if self
            .runs
            .get(&run)
            .is_some_and(|r| mod_revision > r.head_revision)
        {
            self.run_ended(run);
        }
    }

    /// A node claimed the run, at this revision.
    pub fn claim_changed(
        &mut self,
        run: RunId,
        node: &str,
        mod_revision: ModRevision,
        now: Micros,
    ) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if mod_revision > r.claimed_revision {
            r.claimed_revision = mod_revision;
            r.claimed_by_this_node = node == self.node;
        }
        if r.phase == Phase::NotOwned && r.claimed_by_this_node && r.may_claim() {
            // The response to this node's claim was lost. (Guards against a run that no node executes.)
            self.claim_later(run, now);
            return;
        }
        // A claim older than this node's own is of no consequence.
        if r.is_owned()
            && node != self.node
            && mod_revision > r.claim_revision
            && r.phase != Phase::Claiming
        {
            self.release(run, now);
        }
    }

    /// At this revision the run was not claimed.
    pub fn claim_deleted(&mut self, run: RunId, mod_revision: ModRevision, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.released_revision = r.released_revision.max(mod_revision);
        match r.phase {
            Phase::NotOwned if r.may_claim() => self.claim_later(run, now),
            Phase::Reading | Phase::Executing if mod_revision > r.claim_revision => {
                self.release(run, now)
            }
            _ => {}
        }
    }

    /// Changes may have been missed: reads the records of all runs that this node owns again.
    pub fn watch_interrupted(&mut self, now: Micros) {
        let owned = self
            .runs
            .iter()
            .filter(|(_, r)| matches!(r.phase, Phase::Reading | Phase::Executing));
        for run in owned.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.read_again(run, now);
        }
    }

    /// This node's lease expired, and all its claims with it.
    pub fn lease_lost(&mut self, now: Micros) {
        let owned: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, r)| r.is_owned())
            .map(|(id, _)| *id)
            .collect();
        for run in owned {
            self.release(run, now);
        }
    }

    /// A job under one of the runs' ids has ended.
    pub fn job_ended(&mut self, job: &JobId, end: JobEnd, now: Micros) {
        let Some((run, step, attempt)) = parse_job_id(job) else {
            return;
        };
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase == Phase::Reading {
            // It may have ended after its record was read. (Guards against a run that never ends.)
            r.early_ends.push((job.clone(), end));
            return;
        }
        let Some(table) = r.table.as_mut().filter(|_| r.phase == Phase::Executing) else {
            return;
        };
        // Only a step in flight: the record may be of another submitter, or of an earlier attempt.
        if table.attempts(step) == attempt && table.in_flight.contains_key(&step) {
            table.job_ended(step, end, &r.head);
            self.steps_changed(run, now);
        }
    }
}
