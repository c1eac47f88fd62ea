//! What the allocator keeps for one row of the table.

use {
    crate::{queue_place::QueuePlace, request_key::RequestKey},
    std::collections::BTreeMap,
};

/// The queue of a row, what runs, and the row's place in the turns of its rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowState {
    /// The service received over the weight; the row with the least goes next.
    pub(crate) pass: f64,
    /// The requests that wait.
    pub(crate) queue: BTreeMap<QueuePlace, RequestKey>,
    /// Requests that hold something.
    pub(crate) running: u32,
}
