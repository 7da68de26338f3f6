//! Whether any machine still reaches the leader.

use hopyoke_types::Micros;

/// A leader that no worker reaches is no leader worth having; how soon that is certain depends on how many
/// should have come.
///
/// Each worker reports every `report`, give or take a quarter. When many do, not one report for one and a half
/// intervals is no chance; of a few, or after a takeover, before the first has found us, it may be. Only
/// time in which this process ran and was entitled to answer counts: after a standstill the reports of that time
/// wait in buffers yet, and silence then speaks against nobody. (Guards against leadership that is
/// given away on waking, and against machines whose leases lapse while a deaf leader waits.)
#[derive(Debug, Clone)]
pub struct Hearing {
    report: Micros,
    heard: bool,
    quiet: Micros,
    looked: Micros,
}

/// So many machines are many.
const MANY: usize = 8;
/// Between two looks no more than this counts: a process that runs looks more often.
const STEP: Micros = Micros::from_millis(500);

impl Hearing {
    /// Nothing is heard yet. `report` is the time between two reports of one worker.
    pub fn new(report: Micros, now: Micros) -> Hearing {
        Hearing { report, heard: false, quiet: Micros::ZERO, looked: now }
    }

    /// A worker's report came.
    pub fn heard(&mut self) {
        self.heard = true;
        self.quiet = Micros::ZERO;
    }

    /// Looks again, several times a second; true if no worker reaches us although so many `machines` should.
    pub fn is_cut_off(&mut self, machines: usize, entitled: bool, now: Micros) -> bool {
        let span = now - self.looked;
        self.looked = self.looked.max(now);
        if !entitled {
            // Workers that are refused look for another node, and need a while to come back.
            (self.heard, self.quiet) = (false, Micros::ZERO);
            return false;
        }
        self.quiet += span.min(STEP);
        machines >= 2 && self.quiet > self.patience(machines)
    }

    fn patience(&self, machines: usize) -> Micros {
        if self.heard && machines >= MANY {
            return Micros(self.report.0 * 3 / 2) + STEP;
        }
        self.report.times(3).max(Micros::from_secs(6))
    }
}
