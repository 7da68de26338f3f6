//! Which runs this node claims, reads and releases.

use super::{Engine, Timer};
use crate::ids::RunId;
use crate::messages::Action;
use crate::run::Phase;
use hopyoke_types::{Micros, ModRevision};
use rand::RngExt;
use tracing::debug;

/// Of the first attempt to claim a run.
const MAX_CLAIM_JITTER: Micros = Micros::from_millis(50);
/// At the earliest then, a node without capacity checks again whether it may claim a run.
const MIN_CLAIM_RETRY: Micros = Micros::from_secs(1);

impl Engine {
    /// This node's rank in the order in which nodes claim a run, from 0, by rendezvous hashing: runs spread over the
    /// nodes, and all nodes agree without communication.
    fn rank(&self, run: RunId) -> u64 {
        let weight =
            |node: &str| xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), run.number());
        let own = (weight(&self.node), self.node.as_str());
        self.nodes
            .iter()
            .filter(|n| (weight(n), n.as_str()) > own)
            .count() as u64
    }

    /// Sets the timer of a claim: nodes of lower rank come first, each by `claim_stagger`.
    pub(super) fn claim_later(&mut self, run: RunId, now: Micros) {
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

    /// Claims a run, if it is not claimed and this node has capacity.
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
            // Other nodes may have capacity; if none has, some run here will end.
            let at = now + self.limits.claim_stagger.max(MIN_CLAIM_RETRY);
            self.timers.insert((at, run, Timer::Claim));
            return;
        }
        r.phase = Phase::Claiming;
        self.count_run(run);
        self.actions.push_back(Action::Claim { run });
    }

    /// Counts a run as owned.
    fn count_run(&mut self, run: RunId) {
        self.owned_runs += 1;
        self.owned_steps += self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    /// Counts a run as no longer owned.
    pub(super) fn uncount_run(&mut self, run: RunId) {
        self.owned_runs -= 1;
        self.owned_steps -= self.runs.get(&run).map_or(0, |r| r.head.steps as usize);
    }

    /// Another node owns the run, or none does: outcomes of earlier actions are stale.
    pub(super) fn release(&mut self, run: RunId, now: Micros) {
        self.uncount_steps(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        debug!(%run, "run released");
        r.phase = Phase::NotOwned;
        r.claim_revision = ModRevision(0);
        r.early_ends.clear();
        self.uncount_run(run);
        // This node's own claim may stand for a while yet; the watch reports its deletion.
        self.claim_later(run, now);
    }

    /// Takes a run's steps out of all counters, and makes outcomes of earlier actions stale.
    pub(super) fn uncount_steps(&mut self, run: RunId) {
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.epoch += 1;
        let counted_in_flight = std::mem::take(&mut r.counted_in_flight);
        self.runs_to_cancel.remove(&run);
        self.team(run).in_flight -= counted_in_flight;
    }

    /// Updates the team's counter to the run's steps in flight.
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

    /// Forgets a run that is over.
    pub(super) fn run_ended(&mut self, run: RunId) {
        let Some(r) = self.runs.get(&run) else { return };
        if r.is_owned() {
            self.uncount_run(run);
        }
        self.uncount_steps(run);
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

    /// The run's records differ from what this node knows: reads all of them again after a delay.
    pub(super) fn read_again(&mut self, run: RunId, now: Micros) {
        self.uncount_steps(run);
        let Some(r) = self.runs.get_mut(&run) else {
            return;
        };
        r.phase = Phase::Reading;
        r.failures += 1;
        let failures = r.failures;
        let delay = self.retry_delay(failures);
        self.timers.insert((now + delay, run, Timer::Read));
    }

    /// Emits the reading of a run's records.
    pub(super) fn read(&mut self, run: RunId) {
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
