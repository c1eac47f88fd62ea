//! What happens to one request.

use {
    engine::{CallCause, CallError},
    kernel::{ResultCode, UpstreamId},
    std::time::Duration,
};

/// A failed call, as the steps see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// What went wrong.
    pub cause: CallCause,
    /// Whether the call may have run.
    pub may_have_run: bool,
}

impl From<&CallError> for CallFailure {
    fn from(error: &CallError) -> Self {
        Self {
            cause: error.cause,
            may_have_run: error.may_have_run,
        }
    }
}

/// One event of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowEvent {
    /// The caller went away.
    CallerGone,
    /// The close limit of the instance ended the request.
    CloseLimit,
    /// The decode call, or its stream, failed.
    DecodeFailed(CallFailure),
    /// The allocator granted a decode place and the link.
    GrantDecode(UpstreamId),
    /// The allocator granted a prefill engine.
    GrantPrefill(UpstreamId),
    /// The prompt is read.
    PrefillDone,
    /// The prefill call failed.
    PrefillFailed(CallFailure),
    /// The allocator refused.
    Refused {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Duration,
    },
    /// A stream could not be taken up again.
    ResumeFailed(CallFailure),
    /// The request's ticket ended before the next dispatch.
    DeadlinePassed,
    /// The engine's end marker came.
    StreamDone,
    /// A token came.
    Token,
}
