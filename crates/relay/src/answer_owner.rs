//! Which call an answer belongs to.

use {
    crate::RequestId,
    std::fmt::{self, Display, Formatter},
};

/// Which call an answer belongs to, by the request id that it names. Upstreams echo the id of a request, and an answer that
/// they send twice names the request of the first copy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AnswerOwner {
    /// Another request, or several.
    Other(RequestId),
    /// The call that waits for it.
    Own,
    /// It names no request.
    #[default]
    Unnamed,
}

impl AnswerOwner {
    /// All labels.
    pub const LABELS: [&str; 3] = ["other", "own", "unnamed"];

    /// The label in the metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Other(_) => "other",
            Self::Own => "own",
            Self::Unnamed => "unnamed",
        }
    }
}

/// The owner as a step of a trace states it; empty for the call itself.
impl Display for AnswerOwner {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Other(id) => write!(formatter, " to {id}"),
            Self::Own => Ok(()),
            Self::Unnamed => write!(formatter, " to no request"),
        }
    }
}
