//! The outcome of a close.

/// What the close of an instance did not finish.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CloseReport {
    /// How many requests the close limit cut off.
    pub cut: u64,
}
