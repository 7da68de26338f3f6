//! A node's door for new work: the gate, at the rate that its share of the changes allows.

use crate::gate::{AdmissionGate, RetryAfter};
use crate::gossip::QueueGossip;
use crate::rate_limiter::Bounds;
use crate::rate_share::RateShare;
use crate::write_demand::WriteDemand;
use hopyoke_types::{JobId, Micros};

/// Who of those that bring new work is let in, by what this node may spend on it of the changes that the
/// state service takes.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    gate: AdmissionGate,
    share: RateShare,
    write_demand: WriteDemand,
}

impl AdmissionController {
    /// `changes`: what the state service takes a second from all nodes, and how many nodes there are; `guaranteed`: of
    /// each team of the settings whether it has a guarantee.
    pub fn new(changes: Bounds, guaranteed: &[bool], now: Micros) -> AdmissionController {
        let share = RateShare::new(changes);
        let peers = changes.nodes.saturating_sub(1) as usize;
        AdmissionController {
            gate: AdmissionGate::new(share.rate(now), guaranteed, peers, now),
            share,
            write_demand: WriteDemand::new(changes, now),
        }
    }

    /// A team's job asks to be let in; `leads`: this node leads, so its own records need changes.
    ///
    /// # Errors
    /// There is no room: when to come back.
    pub fn enter(
        &mut self,
        job: &JobId,
        team: usize,
        leads: bool,
        now: Micros,
    ) -> Result<(), RetryAfter> {
        self.turn(leads, now).enter(job, team, now)
    }

    /// One was let in, and found no room further on.
    pub fn refuse(&mut self, job: &JobId, team: usize, leads: bool, now: Micros) -> RetryAfter {
        self.turn(leads, now).refuse(job, team, now)
    }

    fn turn(&mut self, leads: bool, now: Micros) -> &mut AdmissionGate {
        if leads {
            let write_demand = self.write_demand.rate(now);
            self.share.heard(write_demand, now);
        }
        self.gate
            .set_rate(self.share.rate(now), self.share.part(now), now);
        &mut self.gate
    }

    /// The leader told what its records need, in answer to what was sent at `sent`.
    pub fn heard(&mut self, write_demand: f64, sent: Micros) {
        self.share.heard(write_demand, sent);
    }

    /// What we ask our peers for, in changes a second: as much as they can spare, while users wait.
    pub fn wants(&mut self, now: Micros) -> f64 {
        if self.is_pressed(now) {
            self.share.part(now)
        } else {
            0.0
        }
    }

    /// A peer asks for `wants`; what it gets.
    pub fn lend(&mut self, peer: usize, wants: f64, now: Micros) -> f64 {
        let (used, pressed) = (self.gate.used(now), self.is_pressed(now));
        self.share.lend(peer, wants, used, pressed, now)
    }

    /// A peer lent us changes, in answer to what was asked at `sent`.
    pub fn borrowed(&mut self, peer: usize, rate: f64, sent: Micros) {
        self.share.borrowed(peer, rate, sent);
    }

    /// What to tell a peer of the line now.
    pub fn words(&mut self, peer: usize, now: Micros) -> Vec<QueueGossip> {
        self.gate.words(peer, now)
    }

    /// A peer told of its line.
    pub fn heard_words(&mut self, peer: usize, words: &[QueueGossip], now: Micros) {
        self.gate.heard(peer, words, now);
    }

    /// Some were refused and have not come back. The load balancer spreads users, so others are as crowded.
    pub fn is_pressed(&mut self, now: Micros) -> bool {
        self.gate.line(now) > Micros::ZERO
    }

    /// We lead, and wrote so many changes, or have more to write than the rate allows.
    pub fn wrote(&mut self, changes: usize, now: Micros) {
        self.write_demand.wrote(changes, now);
    }

    /// We lead, and have more to write than the rate allows.
    pub fn short(&mut self, now: Micros) {
        self.write_demand.short(now);
    }

    /// What our records need while we lead, in changes a second.
    pub fn write_demand(&mut self, now: Micros) -> f64 {
        self.write_demand.rate(now)
    }

    /// Let in, refused, the line, and the rate, for operators.
    pub fn counts(&mut self, now: Micros) -> (u64, u64, Micros, f64) {
        let (let_in, refused) = self.gate.counts();
        (let_in, refused, self.gate.line(now), self.share.rate(now))
    }

    /// Let in and refused by team of the settings; the last stands for all others.
    pub fn team_counts(&self) -> impl Iterator<Item = (u64, u64)> {
        self.gate.tenant_counts()
    }
}
