//! Why a message of the forwarding protocol can't be used.

use {peer::PeerError, snafu::Snafu};

/// An error of a forwarding session.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ForwardError {
    /// The other instance left before it had sent all.
    #[snafu(display("the session ended early"))]
    EndedEarly,
    /// A message can't be decoded, or holds a value that HTTP does not allow.
    #[snafu(display("a message can't be read: {detail}"))]
    Garbled {
        /// What is wrong.
        detail: String,
    },
    /// There is no memory for the body.
    #[snafu(display("no memory for a body of {bytes} bytes"))]
    NoMemory {
        /// The size of the body.
        bytes: usize,
    },
    /// The session failed.
    #[snafu(context(false), display("{source}"))]
    Session {
        /// The error of the link.
        source: PeerError,
    },
}

impl ForwardError {
    /// Whether what was sent may not have been read.
    pub(crate) fn is_lost(&self) -> bool {
        let Self::Session { source } = self else {
            return false;
        };
        matches!(source, PeerError::Lost { .. })
    }

    /// Whether the other instance had no room for the session: it has handled nothing of it.
    pub fn is_declined(&self) -> bool {
        let Self::Session { source } = self else {
            return false;
        };
        matches!(source, PeerError::Declined)
    }
}
