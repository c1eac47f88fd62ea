//! The rights of a lease holder.

use {kernel::FencingToken, std::time::Instant};

/// A held lease. All times are by the holder's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseHold {
    /// The fencing token for every order.
    pub fence: FencingToken,
    /// From when orders may be sent to upstreams that do not check the token: no order of an earlier holder is
    /// in progress by then.
    pub unchecked_from: Instant,
    /// When the lease expires: no order may be sent from then on.
    pub until: Instant,
}
