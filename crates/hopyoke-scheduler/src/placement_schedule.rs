//! When plans are made: changes are gathered, and a plan's own cost bounds how often one is made.

use crate::{Scheduler, Tuning};
use hopyoke_types::Micros;

/// A plan is made at least this often, even if nothing changed.
const PERIODIC_CYCLE_INTERVAL: Micros = Micros::from_millis(500);

/// While heartbeats can't all be received, plans may be this many times further apart.
const OVERLOAD_FACTOR: u64 = 4;

/// When the next plan is due.
#[derive(Debug)]
pub(crate) struct PlacementSchedule {
    /// Something changed that a plan must take into account.
    is_requested: bool,
    /// No plan before this: changes are gathered.
    next_at: Micros,
    /// A plan at this time even if nothing changed.
    next_periodic_at: Micros,
    /// The shortest time between plans; follows from what a plan costs.
    min_interval: Micros,
    /// Plans made so far.
    cycles: u64,
}

impl PlacementSchedule {
    pub(crate) fn new(min_interval: Micros) -> PlacementSchedule {
        PlacementSchedule {
            is_requested: true,
            next_at: Micros::ZERO,
            next_periodic_at: Micros::ZERO,
            min_interval,
            cycles: 0,
        }
    }

    /// Something changed that a plan must take into account.
    pub(crate) fn request(&mut self) {
        self.is_requested = true;
    }

    pub(crate) fn request_if(&mut self, has_changed: bool) {
        self.is_requested |= has_changed;
    }

    /// Changes wait for a plan, and one may be made.
    pub(crate) fn is_requested_cycle_due(&self, now: Micros) -> bool {
        self.is_requested && now >= self.next_at
    }

    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.is_requested_cycle_due(now) || now >= self.next_periodic_at
    }

    /// A plan is about to be made.
    pub(crate) fn begin(&mut self, now: Micros) {
        self.is_requested = false;
        self.next_at = now + self.min_interval;
        self.next_periodic_at = now + PERIODIC_CYCLE_INTERVAL.max(self.min_interval);
    }

    pub(crate) fn count_cycle(&mut self) {
        self.cycles += 1;
    }
}

impl Scheduler {
    /// When a tick has something to do again, if no event comes before.
    pub fn next_due(&self, now: Micros) -> Micros {
        let tick = now + Micros::from_millis(250);
        if self.placement_schedule.is_requested {
            tick.min(self.placement_schedule.next_at)
        } else {
            tick
        }
    }

    /// Plans made so far.
    pub fn cycles(&self) -> u64 {
        self.placement_schedule.cycles
    }

    /// Notes what the latest plan cost; at most `share` (above 0, up to 1) of the time goes to plans.
    pub fn record_cycle_cost(&mut self, cost: Micros, share: f64) {
        let interval = Micros::from_secs_f64(cost.as_secs_f64() / share.max(0.001));
        // Commands of a plan that don't reach agents help nobody: an overloaded node plans less often.
        let factor = if self.is_receive_overloaded(self.last_tick_at) {
            OVERLOAD_FACTOR
        } else {
            1
        };
        let Tuning {
            plan_gap_least,
            plan_gap_most,
            ..
        } = self.tuning;
        self.placement_schedule.min_interval =
            interval.clamp(plan_gap_least, plan_gap_most.times(factor));
    }
}
