//! How long a request waits for a slot.

use std::time::Instant;

/// The times until which a request waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotWait {
    /// While it asks engines by its own view, whose slots go to whoever asks first.
    pub by_own_view: Instant,
    /// While it has a position in the queue of a scheduler.
    pub in_queue: Instant,
}

impl SlotWait {
    /// The same time for both.
    pub fn until(until: Instant) -> Self {
        Self {
            by_own_view: until,
            in_queue: until,
        }
    }
}
