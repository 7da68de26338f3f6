//! Who of those that bring new work is let in: what this node may spend on it of the changes that the
//! state service takes (see [`hopyoke_limits`]).

use crate::node::Node;
use hopyoke_limits::{Bounds, Gate, Need, RetryAfter, Share};
use hopyoke_runtime as runtime;
use hopyoke_types::Micros;
use std::cell::RefCell;

pub struct Door {
    gate: RefCell<Gate>,
    share: RefCell<Share>,
    need: RefCell<Need>,
}

impl Door {
    /// `changes`: what the state service takes a second from all nodes, and how many nodes there are.
    pub fn new(changes: Bounds) -> Door {
        let now = runtime::now();
        let share = Share::new(changes);
        Door {
            gate: RefCell::new(Gate::new(share.rate(now), now)),
            share: RefCell::new(share),
            need: RefCell::new(Need::new(changes, now)),
        }
    }

    /// One asks to be let in with a job.
    ///
    /// # Errors
    /// There is no room: when to come back.
    pub fn enter(&self, node: &Node) -> Result<(), RetryAfter> {
        self.turn(node).enter(runtime::now())
    }

    /// One was let in, and found no room further on.
    pub fn refuse(&self, node: &Node) -> RetryAfter {
        self.turn(node).refuse(runtime::now())
    }

    fn turn(&self, node: &Node) -> std::cell::RefMut<'_, Gate> {
        let now = runtime::now();
        if node.leading().is_some() {
            let need = self.need(now);
            self.share.borrow_mut().heard(need, now);
        }
        let mut gate = self.gate.borrow_mut();
        gate.set_rate(self.share.borrow().rate(now), now);
        gate
    }

    /// The leader told what its records need, in answer to what was sent at `sent`.
    pub fn heard(&self, need: f64, sent: Micros) {
        self.share.borrow_mut().heard(need, sent);
    }

    /// What we ask our peers for: as much as they can spare, while users wait.
    pub fn wants(&self) -> f64 {
        if self.is_pressed() { self.share.borrow().part(runtime::now()) } else { 0.0 }
    }

    /// A peer asks; what it gets.
    pub fn lend(&self, peer: usize, wants: f64) -> f64 {
        let now = runtime::now();
        let used = self.gate.borrow_mut().used(now);
        self.share.borrow_mut().lend(peer, wants, used, self.is_pressed(), now)
    }

    /// A peer lent us changes, in answer to what was asked at `sent`.
    pub fn borrowed(&self, peer: usize, rate: f64, sent: Micros) {
        self.share.borrow_mut().borrowed(peer, rate, sent);
    }

    /// Some were refused and have not had the time to come back. The load balancer spreads users, so
    /// others are as crowded.
    pub fn is_pressed(&self) -> bool {
        self.gate.borrow().line(runtime::now()) > Micros::ZERO
    }

    /// We lead, and wrote so many changes, or have more to write than the rate allows.
    pub fn wrote(&self, changes: usize) {
        self.need.borrow_mut().wrote(changes, runtime::now());
    }

    pub fn short(&self) {
        self.need.borrow_mut().short(runtime::now());
    }

    /// What our records need while we lead.
    pub fn need(&self, now: Micros) -> f64 {
        self.need.borrow_mut().rate(now)
    }

    /// Let in, refused, the line, and the rate, for operators.
    pub fn counts(&self) -> (u64, u64, Micros, f64) {
        let now = runtime::now();
        let gate = self.gate.borrow();
        let (let_in, refused) = gate.counts();
        (let_in, refused, gate.line(now), self.share.borrow().rate(now))
    }
}
