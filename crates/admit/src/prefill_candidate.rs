//! Whose turn it is to be read.

use crate::request_key::RequestKey;

/// The request whose turn it is.
#[derive(Clone, Debug)]
pub(crate) struct PrefillCandidate {
    /// Whether it goes before its rank, for it waited long.
    pub(crate) is_aged: bool,
    pub(crate) key: RequestKey,
    /// The index of its row.
    pub(crate) row: usize,
}
