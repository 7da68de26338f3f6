//! Room that is kept for work that needs much at once, against work that would fit into it now.

use hopyoke_types::Micros;

/// Nobody is kept from room for longer than this. Users count a job that waits 90 s beside room as given up; what is
/// left of that is for a plan that comes late, and for the start.
const LONGEST: Micros = Micros::from_secs(60);

/// Says when room is kept and when it is not.
///
/// A gang needs room to collect: on machines, and in its team's limit. While it does, lesser work is kept off
/// pieces that it would fit into. How long that takes is not known (what runs there may take its time, a
/// machine may never come up, and the gang may be larger than any zone), so it is bounded: every so often one plan
/// keeps nothing, and whoever has waited beside room takes it. In between pieces collect as before, so a gang begins if
/// the work that it waits for ends within that time.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    lent_at: Micros,
}

impl Reservations {
    /// Whether the plan that is made now keeps room for anybody.
    pub fn keeps(&mut self, now: Micros) -> bool {
        let keeps = now < self.lent_at + LONGEST;
        if !keeps {
            self.lent_at = now;
        }
        keeps
    }
}
