//! Where work goes: what a choice of place leaves to others, without any I/O.
//!
//! [`Fragmentation`]: kinds of machine that some of the waiting work has no alternative to.

/// Kinds of machine (places in a catalog) that some work which waits can only run on.
///
/// Work that has a choice leaves them alone: of two places that are as good for it, the one that nobody else depends
/// on costs the fleet less.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fragmentation {
    wanted: Vec<bool>,
}

impl Fragmentation {
    /// None, of so many kinds.
    pub fn none(kinds: usize) -> Fragmentation {
        Fragmentation {
            wanted: vec![false; kinds],
        }
    }

    /// Some work that waits can run on these kinds.
    pub fn add(&mut self, runs_on: impl Iterator<Item = usize>) {
        let mut runs_on = runs_on.filter(|k| *k < self.wanted.len());
        if let (Some(only), None) = (runs_on.next(), runs_on.next()) {
            self.wanted[only] = true;
        }
    }

    /// Work that can run on `choices` kinds should leave this kind alone.
    pub fn avoids(&self, kind: usize, choices: usize) -> bool {
        choices > 1 && self.wanted.get(kind).copied().unwrap_or(false)
    }

    /// Any kind is depended on.
    pub fn any(&self) -> bool {
        self.wanted.contains(&true)
    }
}
