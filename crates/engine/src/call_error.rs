//! The error of a call to an upstream, with its cause and whether the call may have run.

use snafu::Snafu;

/// The cause of a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallCause {
    /// The KV cache was evicted before its transfer.
    Evicted,
    /// The engine has no free slot.
    Full,
    /// The answer is malformed.
    Garbled,
    /// The upstream reports that it is draining.
    Leaving,
    /// The connection was lost.
    Lost,
    /// The upstream refused the call for another reason.
    Refused,
    /// No answer within the timeout.
    Silent,
    /// No address of the upstream is known, so nothing was sent.
    Unlisted,
}

impl CallCause {
    /// Whether the upstream takes no calls at the moment, whatever the request.
    pub fn is_unavailable(self) -> bool {
        matches!(
            self,
            Self::Full | Self::Leaving | Self::Lost | Self::Silent | Self::Unlisted
        )
    }
}

/// A failed call.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub), display("{cause:?}: {detail}"))]
pub struct CallError {
    /// The cause of the failure.
    pub cause: CallCause,
    /// The error message of the connection or of the upstream.
    pub detail: String,
    /// Whether the call may have run. `false` only if it is certain that it did not.
    pub may_have_run: bool,
}

impl CallError {
    /// Creates the error of a call that was never sent, or that did not run according to the upstream.
    pub fn not_run(cause: CallCause, detail: impl ToString) -> Self {
        Self {
            cause,
            detail: detail.to_string(),
            may_have_run: false,
        }
    }

    /// Creates the error of a call that may have run.
    pub fn unknown(cause: CallCause, detail: impl ToString) -> Self {
        Self {
            cause,
            detail: detail.to_string(),
            may_have_run: true,
        }
    }
}
