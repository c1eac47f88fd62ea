//! Events of one request.

use {
    engine::{CallCause, CallError},
    kernel::{ResultCode, UpstreamId},
    std::time::Duration,
};

/// A failed call, reduced to what the state machine needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// The cause of the failure.
    pub cause: CallCause,
    /// Whether the engine may have run the call.
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
    /// The caller disconnected.
    CallerGone,
    /// The instance is closing and its close limit has passed.
    CloseLimit,
    /// The decode call or its stream failed.
    DecodeFailed(CallFailure),
    /// The allocator granted a decode place and the transfer.
    GrantDecode(UpstreamId),
    /// The allocator granted a prefill engine.
    GrantPrefill(UpstreamId),
    /// Prefill is complete.
    PrefillDone,
    /// The prefill call failed.
    PrefillFailed(CallFailure),
    /// The allocator refused the request.
    Refused {
        /// The result code for the caller.
        code: ResultCode,
        /// The retry delay for the caller.
        retry_after: Duration,
    },
    /// A stream could not be resumed.
    ResumeFailed(CallFailure),
    /// The request's ticket expired before the next dispatch.
    DeadlinePassed,
    /// The engine ended the stream regularly.
    StreamDone,
    /// A token arrived.
    Token,
}
