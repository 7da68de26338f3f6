//! Ownership of runs: claims, reads and releases.

use super::{Engine, Timer};
use crate::ids::RunId;
use crate::messages::Action;
use crate::run::Phase;
use hopyoke_types::{Micros, ModRevision};
use rand::RngExt;
use tracing::debug;

/// The maximum jitter of the first attempt to claim a run.
const MAX_CLAIM_JITTER: Micros = Micros::from_millis(50);
/// The minimum interval at which a node without capacity retries a claim.
const MIN_CLAIM_RETRY: Micros = Micros::from_secs(1);

impl Engine {
    /// Returns this node's rank, from 0, in the order in which nodes claim a run. Rendezvous hashing spreads runs over
    /// the nodes, and all nodes agree on it without communication.
    fn rank(&self, run: RunId) -> u64 {
        let weight =
            |node: &str| xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), run.number());
        let own = (weight(&self.node), self.node.as_str());
        self.nodes
            .iter()
            .filter(|n| (weight(n), n.as_str()) > own)
            .count() as u64
    }

    /// Schedules a claim, delayed by `claim_stagger` for each node of lower rank.
    pub(super) fn schedule_claim(&mut self, run: RunId, now: Micros) {
        let failures = self.runs.get(&run).map_or(0, |r| r.failures);
        let stagger = self.limits.claim_stagger.times(self.rank(run));
        let delay = if failures > 0 {
            self.retry_delay(failures)
        } else {
            Micros(self.rng.random_range(0..MAX_CLAIM_JITTER.0))
        };
        self.timers
            .insert((now + stagger + delay, run, Timer::Claim));
    }

    /// Claims a run if it is unclaimed and this node has capacity.
    pub(super) fn claim(&mut self, run: RunId, now: Micros) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        if r.phase != Phase::NotOwned || !r.may_claim() {
            return;
        }
        let steps = self.owned_steps + r.head.steps as usize;
        if self.owned_runs >= self.limits.max_owned_runs
            || (self.owned_runs > 0 && steps > self.limits.max_owned_steps)
        {
            // Another node may have capacity; otherwise this one has once one of its runs ends.
            let at = now + self.limits.claim_stagger.max(MIN_CLAIM_RETRY);
            self.timers.insert((at, run, Timer::Claim));
            return;
        }
        r.phase = Phase::Claiming;
        self.count_owned_run(run);
        self.actions.push_back(Action::Claim { run });
    }

    /// Adds a run to the counters of owned runs and steps.
    fn count_owned_run(&mut self, run: RunId) {
        self.owned_runs += 1;
        self.owned_steps += self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    /// Removes a run from the counters of owned runs and steps.
    pub(super) fn uncount_owned_run(&mut self, run: RunId) {
        self.owned_runs -= 1;
        self.owned_steps -= self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    /// Gives up the ownership of a run that another node owns or none does. Outcomes of earlier actions become stale.
    pub(super) fn release(&mut self, run: RunId, now: Micros) {
        self.start_new_epoch(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        debug!(%run, "run released");
        r.phase = Phase::NotOwned;
        r.claim_revision = ModRevision(0);
        r.buffered_job_ends.clear();
        self.uncount_owned_run(run);
        // This node's own claim may persist for a while; the watch reports its deletion.
        self.schedule_claim(run, now);
    }

    /// Starts a new epoch of a run: outcomes of earlier actions become stale, and its steps in flight and queued
    /// cancellations are no longer counted.
    pub(super) fn start_new_epoch(&mut self, run: RunId) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.epoch += 1;
        let counted_in_flight = std::mem::take(&mut r.counted_in_flight);
        self.runs_to_cancel.remove(&run);
        self.team(run).in_flight -= counted_in_flight;
    }

    /// Updates the in-flight counter of a run's team.
    pub(super) fn recount_in_flight(&mut self, run: RunId) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Executing)
        else {
            return;
        };
        let in_flight = r.table.as_ref().map_or(0, |t| t.in_flight.len());
        let before = std::mem::replace(&mut r.counted_in_flight, in_flight);
        let team = self.team(run);
        team.in_flight = team.in_flight + in_flight - before;
    }

    /// Removes a run that has ended.
    pub(super) fn remove_run(&mut self, run: RunId) {
        let Some(r) = self.runs.get(&run) else { return };
        if r.is_owned() {
            self.uncount_owned_run(run);
        }
        self.start_new_epoch(run);
        let name = self
            .runs
            .remove(&run)
            .map(|r| r.head.team)
            .unwrap_or_default();
        if let Some(team) = self.teams.get_mut(&name) {
            team.queue.retain(|r| *r != run);
            if team.queue.is_empty() && team.in_flight == 0 {
                self.teams.remove(&name);
            }
        }
    }

    /// Schedules another read of a run's records, with backoff, after a failed read or when they may differ from this
    /// node's state.
    pub(super) fn schedule_reread(&mut self, run: RunId, now: Micros) {
        self.start_new_epoch(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.phase = Phase::Reading;
        r.failures += 1;
        let failures = r.failures;
        let delay = self.retry_delay(failures);
        self.timers.insert((now + delay, run, Timer::Read));
    }

    /// Emits the read of a run's records.
    pub(super) fn emit_read(&mut self, run: RunId) {
        let Some(r) = self
            .runs
            .get_mut(&run)
            .filter(|r| r.phase == Phase::Reading)
        else {
            return;
        };
        r.epoch += 1;
        self.actions.push_back(Action::Read {
            run,
            epoch: r.epoch,
            with_plan: r.table.is_none(),
        });
    }
}
