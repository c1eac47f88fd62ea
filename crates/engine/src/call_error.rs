//! Why a call to an upstream gave no whole answer, and whether it may have run.

use snafu::Snafu;

/// What went wrong with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallCause {
    /// The KV cache was evicted before its transfer.
    Evicted,
    /// The engine has no place.
    Full,
    /// The answer can't be read.
    Garbled,
    /// The upstream says that it is leaving.
    Leaving,
    /// The connection was lost.
    Lost,
    /// The upstream refused the call for another reason.
    Refused,
    /// No answer within the time allowed.
    Silent,
}

/// A failed call.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub), display("{cause:?}: {detail}"))]
pub struct CallError {
    /// What went wrong.
    pub cause: CallCause,
    /// What the connection or the upstream said.
    pub detail: String,
    /// Whether the call may have run; `false` only when it is certain that it did not.
    pub may_have_run: bool,
}

impl CallError {
    /// An error of a call that was never written, or that the upstream says did not run.
    pub fn not_run(cause: CallCause, detail: impl ToString) -> Self {
        Self {
            cause,
            detail: detail.to_string(),
            may_have_run: false,
        }
    }

    /// An error of a call that may have run.
    pub fn unknown(cause: CallCause, detail: impl ToString) -> Self {
        Self {
            cause,
            detail: detail.to_string(),
            may_have_run: true,
        }
    }
}
