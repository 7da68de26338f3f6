//! Event queue of the simulation, ordered by virtual time.

use crate::Simulation;
use crate::digest::Channel;
use hopyoke_types::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Interval between checks of the cluster-wide invariants if they aren't checked after each event.
const CHECK_INTERVAL: Micros = Micros::from_millis(250);

/// Effect of an event on the simulation.
type EventHandler = Box<dyn FnOnce(&mut Simulation)>;

/// An event with its due time. Events with equal due times run in the order in which they were scheduled.
struct ScheduledEvent {
    due_at: Micros,
    sequence: u64,
    handler: EventHandler,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.due_at, self.sequence).cmp(&(other.due_at, other.sequence))
    }
}

/// Priority queue of pending events, earliest first.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    fn push(&mut self, due_at: Micros, handler: EventHandler) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            due_at,
            sequence: self.last_sequence,
            handler,
        }));
    }

    /// Removes and returns the next event that is due by `end`. Returns `None` if there is none.
    fn pop_due(&mut self, end: Micros) -> Option<ScheduledEvent> {
        if self.events.peek()?.0.due_at > end {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event)
    }
}

impl Simulation {
    /// Schedules an event at a virtual time, or now if that time has passed.
    pub fn at(&mut self, t: Micros, handler: impl FnOnce(&mut Simulation) + 'static) {
        let due_at = t.max(self.now);
        self.events.push(due_at, Box::new(handler));
    }

    /// Schedules an event after a delay in virtual time.
    pub fn after(&mut self, delay: Micros, handler: impl FnOnce(&mut Simulation) + 'static) {
        self.at(self.now + delay, handler);
    }

    /// Runs the events that are due by `end` and checks the invariants. Stops at the first violation.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(event) = self.events.pop_due(end) {
            self.now = event.due_at;
            self.digest_bytes(Channel::Step, &[]);
            (event.handler)(self);
            if self.checks_each_event() || self.now >= self.next_check_at {
                self.check_invariants();
                self.next_check_at = self.now + CHECK_INTERVAL;
            }
            if !self.violations.is_empty() {
                return;
            }
        }
        self.now = end;
    }
}
