//! Machine types that some waiting work has no alternative to.

/// Types of a catalog, by index, that are the only choice of some waiting work.
///
/// Work that can run on several types leaves them alone: of two types that suit it equally, the one that nothing else
/// depends on costs the fleet less.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoleChoiceTypes {
    is_sole_choice: Vec<bool>,
}

impl SoleChoiceTypes {
    /// No dependence yet, for a catalog of `types` types.
    #[must_use]
    pub fn new(type_count: usize) -> SoleChoiceTypes {
        SoleChoiceTypes {
            is_sole_choice: vec![false; type_count],
        }
    }

    /// Adds waiting work that can run on these types. Indices outside the catalog are ignored.
    pub fn add(&mut self, eligible_types: impl Iterator<Item = usize>) {
        let mut eligible_types = eligible_types.filter(|t| *t < self.is_sole_choice.len());
        if let (Some(only), None) = (eligible_types.next(), eligible_types.next()) {
            self.is_sole_choice[only] = true;
        }
    }

    /// Work that can run on `choices` types should leave this type alone.
    #[must_use]
    pub fn should_avoid(&self, type_index: usize, eligible_type_count: usize) -> bool {
        eligible_type_count > 1
            && self
                .is_sole_choice
                .get(type_index)
                .copied()
                .unwrap_or(false)
    }

    /// Some type is the only choice of some work.
    #[must_use]
    pub fn any(&self) -> bool {
        self.is_sole_choice.contains(&true)
    }
}
