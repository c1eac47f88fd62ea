//! The next request to prefill.

use crate::request_key::RequestKey;

/// The request that is next in the prefill order.
#[derive(Clone, Debug)]
pub(crate) struct PrefillCandidate {
    /// Whether it waited so long that it is scheduled ahead of its rank.
    pub(crate) is_aged: bool,
    pub(crate) key: RequestKey,
    /// The index of its row.
    pub(crate) row: usize,
}
