//! When placement cycles run: changes are batched, and the cost of a cycle bounds the rate of cycles.

use crate::{Scheduler, Tuning};
use hopyoke_types::Micros;

/// Maximum time between two cycles, even if nothing changed.
const PERIODIC_CYCLE_INTERVAL: Micros = Micros::from_millis(500);

/// Factor on the maximum interval between cycles while the leader receives fewer heartbeats than agents send.
const OVERLOAD_FACTOR: u64 = 4;

/// When the next placement cycle is due.
#[derive(Debug)]
pub(crate) struct PlacementSchedule {
    /// A change is pending that the next cycle must take into account.
    is_requested: bool,
    /// No cycle runs before this time, so that changes are batched.
    next_at: Micros,
    /// A cycle runs at this time even if nothing changed.
    next_periodic_at: Micros,
    /// Minimum time between cycles; follows from the cost of a cycle.
    min_interval: Micros,
    /// Number of cycles so far.
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

    /// Requests a cycle because of a change.
    pub(crate) fn request(&mut self) {
        self.is_requested = true;
    }

    pub(crate) fn request_if(&mut self, has_changed: bool) {
        self.is_requested |= has_changed;
    }

    /// Returns true if a cycle was requested and may run now.
    pub(crate) fn is_requested_cycle_due(&self, now: Micros) -> bool {
        self.is_requested && now >= self.next_at
    }

    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.is_requested_cycle_due(now) || now >= self.next_periodic_at
    }

    /// Records that a cycle starts.
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
    /// Returns when the next tick is due if no event occurs before.
    pub fn next_due(&self, now: Micros) -> Micros {
        let tick = now + Micros::from_millis(250);
        if self.placement_schedule.is_requested {
            tick.min(self.placement_schedule.next_at)
        } else {
            tick
        }
    }

    /// Returns the number of placement cycles so far.
    pub fn cycles(&self) -> u64 {
        self.placement_schedule.cycles
    }

    /// Records the duration of the latest cycle. The interval between cycles is set so that they take at most
    /// `share` of the time, above 0 and up to 1.
    pub fn record_cycle_cost(&mut self, cost: Micros, share: f64) {
        let interval = Micros::from_secs_f64(cost.as_secs_f64() / share.max(0.001));
        // An overloaded leader can't deliver the commands of a cycle, so it runs cycles less often.
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
