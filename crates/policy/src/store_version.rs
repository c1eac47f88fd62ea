//! Versions of the content of the platform's store.

use serde::{Deserialize, Serialize};

/// A version of the content of the whole store. It grows with each write; when the store comes back from an older copy,
/// the number goes back and the era rises. So versions are ordered by their era first, and a number by itself says
/// nothing.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreVersion {
    /// How often the store came back from an older copy, counted from where the store counts from; 0 for a store that
    /// does not say.
    pub era: u64,
    /// The number of the version within its era.
    pub number: u64,
}
