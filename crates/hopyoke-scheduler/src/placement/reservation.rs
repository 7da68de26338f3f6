//! Time limits on reservations of resources and quota for gangs.

use hopyoke_types::Micros;

/// Maximum time for which work is kept from reserved resources. Users treat a job that waits 90 s
/// next to free resources as failed; the difference covers a late cycle and the start.
const MAX_RESERVATION_TIME: Micros = Micros::from_secs(60);

/// Decides which placement cycles reserve resources for gangs.
///
/// A gang needs free resources to accumulate, on machines and in its team's limit. In the meantime
/// other work is kept from resources that would fit it. How long this takes is unknown: running
/// tasks may take long, a machine may never come up, and the gang may be larger than any zone. So
/// every `MAX_RESERVATION_TIME` one cycle reserves nothing, and other waiting work takes what is
/// free. A gang starts if enough running work ends between two such cycles.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    last_suspended_at: Micros,
}

impl Reservations {
    /// Returns whether the cycle at `now` reserves resources. Records a cycle that does not.
    pub fn should_reserve(&mut self, now: Micros) -> bool {
        let should_reserve = now < self.last_suspended_at + MAX_RESERVATION_TIME;
        if !should_reserve {
            self.last_suspended_at = now;
        }
        should_reserve
    }
}
