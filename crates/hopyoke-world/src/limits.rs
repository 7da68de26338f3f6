//! The state service's limits, and what the nodes make of them.

use super::World;
use hopyoke_limits::{Bounds, Gate, Importance, Need, Pace, Share};
use hopyoke_types::Micros;

/// The service's own count: it refuses above its rates, with bursts worth one second.
pub struct Limits {
    requests: f64,
    changes: f64,
    left: (f64, f64),
    at: Micros,
    /// Nodes ask as they please: what it was like before they kept to their parts.
    pub unpaced: bool,
    pub taken: u64,
    pub refused: u64,
}

/// What one node may ask.
pub struct Part {
    pub pace: Pace,
    pub gate: Gate,
    pub share: Share,
    pub need: Need,
}

impl Limits {
    pub fn new(requests: f64, changes: f64, unpaced: bool) -> Limits {
        let left = (requests, changes);
        Limits { requests, changes, left, at: Micros::ZERO, unpaced, taken: 0, refused: 0 }
    }

    fn takes(&mut self, changes: usize, now: Micros) -> bool {
        let span = (now - self.at).as_secs_f64();
        self.at = now;
        self.left.0 = (self.left.0 + self.requests * span).min(self.requests);
        self.left.1 = (self.left.1 + self.changes * span).min(self.changes);
        let ok = self.left.0 >= 1.0 && self.left.1 >= changes as f64;
        if ok {
            self.left = (self.left.0 - 1.0, self.left.1 - changes as f64);
            self.taken += 1;
        } else {
            self.refused += 1;
        }
        ok
    }

    pub fn part(&self, nodes: usize, now: Micros) -> Part {
        let bounds = |per_second| Bounds { per_second, nodes: nodes as u32 };
        let share = Share::new(bounds(self.changes));
        Part {
            pace: Pace::new(bounds(self.requests), now),
            gate: Gate::new(share.rate(now), now),
            share,
            need: Need::new(bounds(self.changes), now),
        }
    }
}

impl World {
    /// The state service takes one more request with so many changes, or answers 429.
    pub fn state_takes(&mut self, changes: usize) -> bool {
        let now = self.now;
        self.limits.as_mut().is_none_or(|l| l.takes(changes, now))
    }

    /// A node finds room in its part for a request; else how long until it may.
    pub fn finds_room(&mut self, i: usize, importance: Importance) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.unpaced) {
            return Ok(());
        }
        let now = self.now;
        self.nodes[i].part.as_mut().map_or(Ok(()), |p| p.pace.take(importance, 1, now))
    }

    /// A user's job is let in by a node; else when the user is to come back.
    pub fn let_in(&mut self, i: usize) -> Result<(), Micros> {
        if self.limits.as_ref().is_none_or(|l| l.unpaced) {
            return Ok(());
        }
        let (now, leads) = (self.now, self.nodes[i].lead.is_some());
        let Some(p) = self.nodes[i].part.as_mut() else { return Ok(()) };
        if leads {
            let need = p.need.rate(now);
            p.share.heard(need, now);
        }
        p.gate.set_rate(p.share.rate(now), now);
        let room = p
            .gate
            .enter(now)
            .and_then(|()| p.pace.take(Importance::Accepts, 1, now).map_err(|_| p.gate.refuse(now)));
        room.map_err(|after| Micros::from_secs(u64::from(after.0)))
    }
}
