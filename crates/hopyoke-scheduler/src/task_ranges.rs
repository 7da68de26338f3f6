//! Sets of task numbers, as sorted inclusive ranges.
//!
//! The stored form is a list of ranges or, where that is shorter, a string: the first missing number, a colon,
//! and a bitmap of the numbers from there on, eight to a byte, least significant bit first, in base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A set of task numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskRanges(Vec<(u32, u32)>);

/// Maximum length of a range in the stored form, in characters.
pub(crate) const RANGE_CHARS: usize = 14;
/// Maximum length of the string form apart from its bitmap, in characters.
const TEXT_OVERHEAD: usize = 16;
/// Maximum number of tasks of a job. A string form with larger numbers is malformed.
const MAX_TASKS: u32 = 100_000;

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredForm {
    List(Vec<(u32, u32)>),
    Text(String),
}

impl Serialize for TaskRanges {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if self.text_len() < self.0.len() * RANGE_CHARS {
            return StoredForm::Text(self.to_text()).serialize(s);
        }
        self.0.serialize(s)
    }
}

impl<'de> Deserialize<'de> for TaskRanges {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<TaskRanges, D::Error> {
        match StoredForm::deserialize(d)? {
            StoredForm::List(ranges) => Ok(TaskRanges(ranges)),
            StoredForm::Text(text) => TaskRanges::from_text(&text)
                .ok_or_else(|| serde::de::Error::custom("malformed set of task numbers")),
        }
    }
}

impl TaskRanges {
    /// Returns the lowest number that is not in the set.
    #[must_use]
    pub fn first_missing(&self) -> u32 {
        self.0.first().filter(|p| p.0 == 0).map_or(0, |p| p.1 + 1)
    }

    /// Returns an upper bound on the length of the stored form, in characters without its outer brackets or quotes.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        (self.0.len() * RANGE_CHARS).min(self.text_len())
    }

    /// Returns this set with the lowest numbers of `other`, as many as the stored form certainly takes at most `max_len`
    /// characters for.
    #[must_use]
    pub fn with_lowest_of(&self, other: &TaskRanges, max_len: usize) -> TaskRanges {
        let with_below = |end: u32| self.union(&other.below(end));
        let (mut fitting_end, mut end) = (0, other.0.last().map_or(0, |p| p.1 + 1));
        // Bisection. Where filling a gap shortens the stored form, it may stop short of the largest number.
        while fitting_end < end {
            let middle = end - (end - fitting_end) / 2;
            if with_below(middle).max_encoded_len() <= max_len {
                fitting_end = middle;
            } else {
                end = middle - 1;
            }
        }
        with_below(fitting_end)
    }

    /// Returns the numbers of the set below `n`.
    fn below(&self, n: u32) -> TaskRanges {
        let cut = |&(a, b): &(u32, u32)| (a < n).then(|| (a, b.min(n - 1)));
        TaskRanges(self.0.iter().map_while(cut).collect())
    }

    fn union(&self, other: &TaskRanges) -> TaskRanges {
        TaskRanges([self.0.as_slice(), &other.0].concat()).normalized(u32::MAX)
    }

    fn text_len(&self) -> usize {
        let last = self.0.last().map_or(0, |p| p.1 + 1);
        let bits = last.saturating_sub(self.first_missing()) as usize;
        TEXT_OVERHEAD + bits.div_ceil(8).div_ceil(3) * 4
    }

    fn to_text(&self) -> String {
        let first = self.first_missing();
        let last = self.0.last().map_or(0, |p| p.1 + 1).max(first);
        let mut bytes = vec![0u8; ((last - first) as usize).div_ceil(8)];
        for &(a, b) in self.0.iter().filter(|p| p.0 >= first) {
            for x in a..=b {
                bytes[((x - first) / 8) as usize] |= 1 << ((x - first) % 8);
            }
        }
        format!("{first}:{}", STANDARD_NO_PAD.encode(bytes))
    }

    fn from_text(text: &str) -> Option<TaskRanges> {
        let (first, bits) = text.split_once(':')?;
        let first: u32 = first.parse().ok().filter(|f| *f <= MAX_TASKS)?;
        let bytes = STANDARD_NO_PAD
            .decode(bits)
            .ok()
            .filter(|b| b.len() <= MAX_TASKS as usize / 8 + 1)?;
        let mut out = TaskRanges::all(first);
        let set = |x: &u32| bytes[(x / 8) as usize] >> (x % 8) & 1 == 1;
        for x in (0..bytes.len() as u32 * 8).filter(set) {
            out.insert(first + x);
        }
        Some(out)
    }

    /// Returns the set of all numbers below `n`.
    #[must_use]
    pub fn all(n: u32) -> TaskRanges {
        if n == 0 {
            TaskRanges::default()
        } else {
            TaskRanges(vec![(0, n - 1)])
        }
    }

    /// Sorts and merges ranges that were decoded from a record. Drops ranges that do not end below `n`.
    #[must_use]
    pub fn normalized(self, n: u32) -> TaskRanges {
        let mut ranges: Vec<_> = self
            .0
            .into_iter()
            .filter(|&(a, b)| a <= b && b < n)
            .collect();
        ranges.sort_unstable();
        let mut out: Vec<(u32, u32)> = Vec::new();
        for (a, b) in ranges {
            match out.last_mut() {
                Some(last) if a <= last.1.saturating_add(1) => last.1 = last.1.max(b),
                _ => out.push((a, b)),
            }
        }
        TaskRanges(out)
    }

    /// Returns true if `x` is in the set.
    #[must_use]
    pub fn contains(&self, x: u32) -> bool {
        let i = self.0.partition_point(|&(_, b)| b < x);
        self.0.get(i).is_some_and(|&(a, _)| a <= x)
    }

    /// Adds `x`. Returns true if it was not in the set.
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

    /// Adds all numbers of `other`.
    pub fn merge(&mut self, other: &TaskRanges) {
        for &(a, b) in &other.0 {
            for x in a..=b {
                self.insert(x);
            }
        }
    }

    /// Returns the number of task numbers in the set.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.0.iter().map(|&(a, b)| b - a + 1).sum()
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.0.len()
    }

    /// Returns the numbers below `n` that are not in the set, in ascending order.
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
