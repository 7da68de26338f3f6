//! Which reports go to the leader together.

use hopyoke_types::Micros;
use std::collections::VecDeque;

/// A report that waits to be carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(u64);

/// Reports for one call.
pub type Load = Vec<(Number, Vec<u8>)>;

/// Reports wait this long for more, if fewer than [`MOST`] do.
const GATHER: Micros = Micros::from_millis(20);
/// Reports in one call.
const MOST: usize = 64;
/// Calls under way at once.
const MOST_CALLS: usize = 4;
/// Reports that wait; more are refused at once.
const MOST_WAITING: usize = 512;
/// A report that has waited for longer is not carried: its answer would come too late.
const PATIENCE: Micros = Micros::from_millis(2_500);

/// Gathers reports for calls to the leader. Bounded: what finds no room is refused at once, and the
/// worker tries the next node.
#[derive(Debug, Default)]
pub struct HeartbeatBatcher {
    waiting: VecDeque<(Number, Micros, Vec<u8>)>,
    next: u64,
    calls: usize,
    carried: u64,
    refused: u64,
}

impl HeartbeatBatcher {
    /// A report arrives. `None`: too many wait.
    pub fn arrive(&mut self, heartbeat: Vec<u8>, now: Micros) -> Option<Number> {
        if self.waiting.len() >= MOST_WAITING {
            self.refused += 1;
            return None;
        }
        self.next += 1;
        let number = Number(self.next);
        self.waiting.push_back((number, now, heartbeat));
        Some(number)
    }

    /// When the next call is due; `None`: nothing waits, or as many calls as may be are under way.
    pub fn due(&self) -> Option<Micros> {
        let (_, arrived, _) = self.waiting.front()?;
        if self.calls >= MOST_CALLS {
            return None;
        }
        Some(if self.waiting.len() >= MOST {
            Micros::ZERO
        } else {
            *arrived + GATHER
        })
    }

    /// The reports for a call, if one is due, and those that have waited for too long.
    pub fn load(&mut self, now: Micros) -> (Load, Vec<Number>) {
        let mut late = Vec::new();
        while let Some((number, arrived, _)) = self.waiting.front()
            && now > *arrived + PATIENCE
        {
            late.push(*number);
            self.refused += 1;
            self.waiting.pop_front();
        }
        if self.due().is_none_or(|t| now < t) {
            return (Load::new(), late);
        }
        let n = self.waiting.len().min(MOST);
        let load: Load = self
            .waiting
            .drain(..n)
            .map(|(number, _, heartbeat)| (number, heartbeat))
            .collect();
        self.calls += 1;
        self.carried += load.len() as u64;
        (load, late)
    }

    /// A call has ended, well or not.
    pub fn ended(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// Reports carried and refused, for operators.
    pub fn counts(&self) -> (u64, u64) {
        (self.carried, self.refused)
    }
}
