//! Machine types that some waiting work has no alternative to.

/// Types of a catalog, by index, that are the only choice of some waiting work.
///
/// Work that can run on several types leaves them alone: of two types that suit it equally, the one that nothing else
/// depends on costs the fleet less.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fragmentation {
    is_only_choice: Vec<bool>,
}

impl Fragmentation {
    /// No dependence yet, for a catalog of `types` types.
    #[must_use]
    pub fn new(types: usize) -> Fragmentation {
        Fragmentation {
            is_only_choice: vec![false; types],
        }
    }

    /// Adds waiting work that can run on these types. Indices outside the catalog are ignored.
    pub fn add(&mut self, runs_on: impl Iterator<Item = usize>) {
        let mut runs_on = runs_on.filter(|t| *t < self.is_only_choice.len());
        if let (Some(only), None) = (runs_on.next(), runs_on.next()) {
            self.is_only_choice[only] = true;
        }
    }

    /// Work that can run on `choices` types should leave this type alone.
    #[must_use]
    pub fn avoids(&self, type_index: usize, choices: usize) -> bool {
        choices > 1
            && self
                .is_only_choice
                .get(type_index)
                .copied()
                .unwrap_or(false)
    }

    /// Some type is the only choice of some work.
    #[must_use]
    pub fn any(&self) -> bool {
        self.is_only_choice.contains(&true)
    }
}
