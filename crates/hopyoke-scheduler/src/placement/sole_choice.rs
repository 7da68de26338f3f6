//! Machine types that are the only choice of some waiting work.

/// Catalog types, by index, that are the only choice of some waiting work.
///
/// Work that can run on several types avoids them: of two equally suitable types, the one that no
/// other work depends on costs the fleet less.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoleChoiceTypes {
    is_sole_choice: Vec<bool>,
}

impl SoleChoiceTypes {
    /// Returns an empty set for a catalog of `type_count` types.
    #[must_use]
    pub fn new(type_count: usize) -> SoleChoiceTypes {
        SoleChoiceTypes {
            is_sole_choice: vec![false; type_count],
        }
    }

    /// Records the eligible types of some waiting work. Indices outside the catalog are ignored.
    pub fn add(&mut self, eligible_types: impl Iterator<Item = usize>) {
        let mut eligible_types = eligible_types.filter(|t| *t < self.is_sole_choice.len());
        if let (Some(only), None) = (eligible_types.next(), eligible_types.next()) {
            self.is_sole_choice[only] = true;
        }
    }

    /// Returns whether work with `eligible_type_count` eligible types should avoid this type.
    #[must_use]
    pub fn should_avoid(&self, type_index: usize, eligible_type_count: usize) -> bool {
        eligible_type_count > 1
            && self
                .is_sole_choice
                .get(type_index)
                .copied()
                .unwrap_or(false)
    }

    /// Returns whether any type is the only choice of some work.
    #[must_use]
    pub fn any(&self) -> bool {
        self.is_sole_choice.contains(&true)
    }
}
