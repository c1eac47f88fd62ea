//! Whether reading may start.

/// What becomes of a request whose turn it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PrefillDecision {
    /// It waits, and so does everything behind it: places or the link are scarce.
    Blocked,
    /// It waits, and the one behind it may go: its reading is too long just now.
    Skip,
    /// Reading starts.
    Start,
}
