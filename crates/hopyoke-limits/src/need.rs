//! How the changes that the state service takes are divided between the leader's records and new work.

use crate::pace::Bounds;
use hopyoke_types::Micros;

/// The leader's records may take this part of all changes.
pub const RECORDS: f64 = 0.5;
/// Of all changes this much is given out.
const GIVEN_OUT: f64 = 0.95;
/// Kept for the leader's records however little it needs: its need can rise before others hear.
const LEAST: f64 = 0.1;
/// A word of the leader holds for this long from when it was asked for.
pub const FRESH: Micros = Micros::from_millis(2_500);
/// Changes are counted over this span.
const SPAN: Micros = Micros::from_secs(1);

/// What the leader's records need, a second: what it tells the others.
#[derive(Debug, Clone)]
pub struct Need {
    most: f64,
    began: Micros,
    count: f64,
    last: f64,
    short_until: Micros,
}

impl Need {
    pub fn new(bounds: Bounds, now: Micros) -> Need {
        Need { most: bounds.per_second * RECORDS, began: now, count: 0.0, last: 0.0, short_until: Micros::ZERO }
    }

    /// So many changes were written.
    pub fn wrote(&mut self, n: usize, now: Micros) {
        self.turn(now);
        self.count += n as f64;
    }

    /// More waits than the rate allows.
    pub fn short(&mut self, now: Micros) {
        self.short_until = now + FRESH;
    }

    fn turn(&mut self, now: Micros) {
        let span = now - self.began;
        if span >= SPAN {
            self.last = self.count / span.as_secs_f64();
            self.count = 0.0;
            self.began = now;
        }
    }

    /// Changes a second.
    pub fn rate(&mut self, now: Micros) -> f64 {
        self.turn(now);
        if now < self.short_until { self.most } else { (self.last * 1.25 + 1.0).min(self.most) }
    }
}

/// The changes that one node may spend on new work.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    bounds: Bounds,
    /// What the leader said that it needs, and when that ends to hold.
    word: Option<(f64, Micros)>,
}

impl Share {
    pub fn new(bounds: Bounds) -> Share {
        Share { bounds, word: None }
    }

    /// The leader says what its records need; `sent` is when it was asked, so that no word is
    /// believed for longer than the leader means it.
    pub fn heard(&mut self, need: f64, sent: Micros) {
        let until = sent + FRESH;
        if need.is_finite() && need >= 0.0 && self.word.is_none_or(|(_, t)| until >= t) {
            self.word = Some((need, until));
        }
    }

    /// Changes a second. Without a fresh word it is what is safe whatever the leader needs: together
    /// with its records, the parts of all nodes stay below the limit.
    pub fn rate(&self, now: Micros) -> f64 {
        let need = match self.word {
            Some((need, until)) if now < until => need.clamp(LEAST * self.bounds.per_second, self.most_need()),
            _ => self.most_need(),
        };
        (self.bounds.per_second * GIVEN_OUT - need) / f64::from(self.bounds.nodes.max(1))
    }

    fn most_need(&self) -> f64 {
        self.bounds.per_second * RECORDS
    }
}
