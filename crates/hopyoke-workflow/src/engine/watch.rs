//! Handling of record changes that the node's watches report.

use super::Engine;
use crate::ids::{RunId, parse_job_id};
use crate::messages::JobEnd;
use crate::record::Head;
use crate::run::{Phase, Run};
use hopyoke_types::{JobId, Micros, ModRevision};

impl Engine {
    /// Handles a run's head that was written at this revision.
    pub fn head_changed(&mut self, run: RunId, head: Head, mod_revision: ModRevision, now: Micros) {
        let r = match self.runs.get_mut(&run) {
            None if head.state.is_final() => return,
            None => {
                self.runs.insert(run, Run::new(head, mod_revision));
                self.schedule_claim(run, now);
                return;
            }
            Some(r) if mod_revision <= r.head_revision => return,
            Some(r) => r,
        };
        r.head = head;
        r.head_revision = mod_revision;
        if r.head.state.is_final() {
            self.remove_run(run);
        } else if r.phase == Phase::Executing {
            // Guards against steps that start after a cancellation was confirmed. Has no effect on a head that this
            // node wrote itself.
            self.begin_stop(run, now);
        }
    }

    /// Handles the absence of a run's head, as of this revision, from the heads of unfinished runs: the run has ended.
    pub fn head_deleted(&mut self, run: RunId, mod_revision: ModRevision) {
        if self
            .runs
            .get(&run)
            .is_some_and(|r| mod_revision > r.head_revision)
        {
            self.remove_run(run);
        }
    }

    /// Handles a claim of a run by `node` at this revision.
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
        if mod_revision > r.latest_claim_revision {
            r.latest_claim_revision = mod_revision;
            r.is_latest_claim_own = node == self.node;
        }
        if r.phase == Phase::NotOwned && r.is_latest_claim_own && r.may_claim() {
            // The response to this node's claim was lost. Guards against a run that no node executes.
            self.schedule_claim(run, now);
            return;
        }
        // Claims older than this node's own are ignored.
        if r.is_owned()
            && node != self.node
            && mod_revision > r.claim_revision
            && r.phase != Phase::Claiming
        {
            self.release(run, now);
        }
    }

    /// Handles the absence of a claim of a run, as of this revision.
    pub fn claim_deleted(&mut self, run: RunId, mod_revision: ModRevision, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.latest_unclaimed_revision = r.latest_unclaimed_revision.max(mod_revision);
        match r.phase {
            Phase::NotOwned if r.may_claim() => self.schedule_claim(run, now),
            Phase::Reading | Phase::Executing if mod_revision > r.claim_revision => {
                self.release(run, now)
            }
            _ => {}
        }
    }

    /// Handles an interruption of the watches, which may have missed changes: schedules another read of the records of
    /// all runs that this node owns.
    pub fn watch_interrupted(&mut self, now: Micros) {
        let owned = self
            .runs
            .iter()
            .filter(|(_, r)| matches!(r.phase, Phase::Reading | Phase::Executing));
        for run in owned.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.schedule_reread(run, now);
        }
    }

    /// Handles the expiry of this node's lease, which deleted all its claims: releases all runs.
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

    /// Handles the end of a job with an id of a workflow step.
    pub fn job_ended(&mut self, job: &JobId, end: JobEnd, now: Micros) {
        let Some((run, step, attempt)) = parse_job_id(job) else {
            return;
        };
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase == Phase::Reading {
            // The job may have ended after its record was read. Guards against a run that never ends.
            r.buffered_job_ends.push((job.clone(), end));
            return;
        }
        let Some(table) = r.table.as_mut().filter(|_| r.phase == Phase::Executing) else {
            return;
        };
        // Only a step in flight counts: the record may belong to another submitter or to an earlier attempt.
        if table.attempts(step) == attempt && table.in_flight.contains_key(&step) {
            table.job_ended(step, end, &r.head);
            self.steps_changed(run, now);
        }
    }
}
