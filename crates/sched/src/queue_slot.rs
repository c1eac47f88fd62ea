//! Where a request stands in the queue while time does not matter.

use {admit::QueuePosition, kernel::CustomerId, table::Rank};

/// The key of the queue: requests of one rank and customer are neighbours, in the order of that customer.
///
/// `is_late` of the position is always false here, since it changes with time. It is worked out with each order.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueSlot {
    pub(crate) rank: Rank,
    /// `None` where no customers are declared; these requests share one position in the fair queueing.
    pub(crate) customer: Option<CustomerId>,
    pub(crate) position: QueuePosition,
}
