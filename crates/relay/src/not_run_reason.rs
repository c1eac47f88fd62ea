//! Why a call counts as not run.

/// Why a call to an upstream counts as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// A rule of the instance kept it from sending the call.
    Blocked,
    /// The upstream rejected it, and the rejection names the request.
    Rejected,
    /// The upstream rejected it by the first answer of a connection, which names no request.
    RejectedUnnamed,
    /// There was no connection, or nothing was written.
    Unsent,
}

impl NotRunReason {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Blocked,
        Self::Rejected,
        Self::RejectedUnnamed,
        Self::Unsent,
    ];

    /// The label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Blocked => "blocked",
            Self::Rejected => "rejected",
            Self::RejectedUnnamed => "rejected_unnamed",
            Self::Unsent => "unsent",
        }
    }
}
