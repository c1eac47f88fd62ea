//! What holding a lease allows.

use {kernel::FencingToken, std::time::Instant};

/// A lease as its holder knows it. All times are by the holder's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseHold {
    /// The fencing number for every order.
    pub fence: FencingToken,
    /// From when on orders may go to upstreams that ignore the number: no earlier holder's order is at work then.
    pub unchecked_from: Instant,
    /// No order may be sent from here on.
    pub until: Instant,
}
