//! How a close went.

/// What the close of an instance left undone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CloseReport {
    /// How many requests the close limit cut off.
    pub cut: u64,
}
