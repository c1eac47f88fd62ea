//! Whether a prefill may start.

/// The decision for the next request in the prefill order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PrefillDecision {
    /// The request waits, and so does everything behind it: decode places or the link are scarce.
    Blocked,
    /// The request waits because its prefill would take too long now, and the next one may start.
    Skip,
    /// Prefill starts.
    Start,
}
