//! Reservations: room held for gangs, against work that would fit into it now.

use hopyoke_types::Micros;

/// No work is kept from reserved room for longer than this. Users count a job that waits 90 s beside free room as
/// failed; the rest is left for a late cycle and for the start.
const MAX_RESERVATION_TIME: Micros = Micros::from_secs(60);

/// Decides in which placement cycles room is reserved.
///
/// A gang needs room to accumulate: on machines, and in its team's limit. Meanwhile other work is kept from room that it
/// would fit into. How long that takes is unknown (running tasks may take long, a machine may never come up, and the
/// gang may be larger than any zone), so it is bounded: every `MAX_RESERVATION` one cycle reserves nothing, and work
/// that has waited beside the room gets it. In between room accumulates, so that a gang begins if the work that it
/// waits for ends within that time.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    last_suspended_at: Micros,
}

impl Reservations {
    /// Whether the cycle at `now` reserves room.
    pub fn should_reserve(&mut self, now: Micros) -> bool {
        let should_reserve = now < self.last_suspended_at + MAX_RESERVATION_TIME;
        if !should_reserve {
            self.last_suspended_at = now;
        }
        should_reserve
    }
}
