//! Sets of task numbers, kept as sorted inclusive ranges.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    pub fn all(n: u32) -> Ranges {
        if n == 0 { Ranges::default() } else { Ranges(vec![(0, n - 1)]) }
    }

    /// Sorts and merges what was read from outside; drops what lies beyond `n`.
    pub fn tidy(self, n: u32) -> Ranges {
        let mut parts: Vec<_> = self.0.into_iter().filter(|&(a, b)| a <= b && b < n).collect();
        parts.sort_unstable();
        let mut out: Vec<(u32, u32)> = Vec::new();
        for (a, b) in parts {
            match out.last_mut() {
                Some(last) if a <= last.1.saturating_add(1) => last.1 = last.1.max(b),
                _ => out.push((a, b)),
            }
        }
        Ranges(out)
    }

    pub fn contains(&self, x: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < x);
        self.0.get(i).is_some_and(|&(a, _)| a <= x)
    }

    /// Adds `x`; true if it was not there.
    pub fn insert(&mut self, x: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < x);
        if self.0.get(i).is_some_and(|&(a, _)| a <= x) {
            return false;
        }
        let joins_left = i > 0 && self.0[i - 1].1 + 1 == x;
        let joins_right = self.0.get(i).is_some_and(|&(a, _)| x + 1 == a);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[i - 1].1 = self.0[i].1;
                self.0.remove(i);
            }
            (true, false) => self.0[i - 1].1 = x,
            (false, true) => self.0[i].0 = x,
            (false, false) => self.0.insert(i, (x, x)),
        }
        true
    }

    pub fn merge(&mut self, other: &Ranges) {
        for &(a, b) in &other.0 {
            for x in a..=b {
                self.insert(x);
            }
        }
    }

    /// How many numbers are in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|&(a, b)| b - a + 1).sum()
    }

    pub fn parts(&self) -> usize {
        self.0.len()
    }

    /// The numbers below `n` that are not in the set, in order.
    pub fn missing(&self, n: u32) -> impl Iterator<Item = u32> + '_ {
        let mut next = 0;
        let starts = self.0.iter().copied().chain(std::iter::once((n, n)));
        starts.flat_map(move |(a, b)| {
            let gap = next..a.min(n);
            next = b.saturating_add(1);
            gap
        })
    }
}
